"""WSGI application for callers' requests."""

from __future__ import annotations

import uuid
from collections.abc import Iterable
from typing import Any

from hibiscustray.gateway import (
    Generation,
    InboundRequest,
    InboundResponse,
    RequestForwarder,
    digest_part,
)
from hibiscustray.platform.wire import (
    ATTEMPT_ID,
    AUTHORIZATION,
    BEARER_PREFIX,
    EXPECTED_OUTPUT_TOKENS,
    EXPECTED_REPLICA,
    EXPECTED_VERSION,
    LAST_EVENT_ID,
    MODEL,
    MS_PER_S,
    PROMPT_PARTS,
    TEAM,
    TIME_LEFT_MS,
    TOKEN_COUNTS,
    URGENCY,
)
from hibiscustray.web.headers import HOP_BY_HOP_HEADERS
from hibiscustray.web.numbers import read_number, read_numbers
from hibiscustray.web.server import END_WITH_CONNECTION, REASON_PHRASES, RECEIVED_AT, read_body

REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        ATTEMPT_ID,
        AUTHORIZATION,
        EXPECTED_REPLICA,
        EXPECTED_VERSION,
        LAST_EVENT_ID,
        TEAM,
        TIME_LEFT_MS,
        URGENCY,
        "Host",
    )
)
"""Headers that a caller cannot pass to a replica, because the gateway sets them itself."""
MAX_TIME_LEFT_MS = 86_400_000
MAX_TOKENS = 1_000_000_000
HEADER_PREFIX = "HTTP_"
"""Prefix of request headers in the WSGI environment."""


class GatewayApplication:
    """Parses callers' requests, forwards them to replicas and writes the responses."""

    def __init__(self, forwarder: RequestForwarder) -> None:
        self._forwarder = forwarder

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Handle one WSGI request."""
        response = self._forwarder.run(_read_request(environ))
        return _write_response(response, environ, start_response)


def _read_request(environ: dict[str, Any]) -> InboundRequest:
    headers = {
        key[len(HEADER_PREFIX) :].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith(HEADER_PREFIX)
    }
    options = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    forwarded = tuple(
        (name, value)
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in REPLACED_HEADERS and name not in options
    )
    target = environ["REQUEST_URI"]
    return InboundRequest(
        id=headers.get(ATTEMPT_ID.lower()) or uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        host=headers.get("host", ""),
        path=target.partition("?")[0],
        target=target,
        headers=forwarded,
        body=read_body(environ),
        received_at=environ[RECEIVED_AT],
        time_left_s=_read_time_left(headers.get(TIME_LEFT_MS.lower(), "")),
        key=_read_key(headers.get(AUTHORIZATION.lower(), "")),
        generation=_read_generation(headers),
        prompt_parts=_read_prompt_parts(headers.get(PROMPT_PARTS.lower(), "")),
        resume_after=headers.get(LAST_EVENT_ID.lower(), ""),
        is_disconnected=environ.get("waitress.client_disconnected", lambda: False),
    )


def _read_key(authorization: str) -> str | None:
    key = authorization.removeprefix(BEARER_PREFIX)
    return key if key != authorization else None


def _read_time_left(text: str) -> float | None:
    time_left_ms = read_number(text, MAX_TIME_LEFT_MS)
    return None if time_left_ms is None else time_left_ms / MS_PER_S


def _read_generation(headers: dict[str, str]) -> Generation | None:
    model = headers.get(MODEL.lower(), "")
    counts = read_numbers(headers.get(TOKEN_COUNTS.lower(), ""), 2, MAX_TOKENS)
    if not model or counts is None:
        return None
    hint = read_number(headers.get(EXPECTED_OUTPUT_TOKENS.lower(), ""), MAX_TOKENS)
    return Generation(model, *counts, hint or 0)


def _read_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the digests of the shared parts; the last part belongs to the request itself."""
    ids = [entry.partition(":")[0].strip().lower() for entry in text.split(",")]
    return tuple(digest_part(part_id) for part_id in ids[:-1] if part_id)


def _write_response(
    response: InboundResponse, environ: dict[str, Any], start_response
) -> Iterable[bytes]:
    body, headers = response.body, list(response.headers)
    if not response.is_delimited:
        environ[END_WITH_CONNECTION]()
    elif isinstance(body, bytes):
        headers.append(("Content-Length", str(len(body))))
    reason = REASON_PHRASES.get(response.status, "Status")
    start_response(f"{response.status} {reason}", headers)
    return [body] if isinstance(body, bytes) else body
