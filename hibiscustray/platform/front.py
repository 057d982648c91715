"""The callers' front and the readiness answer, as WSGI applications."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from hibiscustray.gateway import Generation, InboundRequest, InboundResponse, Relay
from hibiscustray.platform.replica import SINGLE_CONNECTION_HEADERS
from hibiscustray.platform.wire import (
    ATTEMPT_ID,
    AUTHORIZATION,
    EXPECTED_OUTPUT,
    EXPECTED_REPLICA,
    EXPECTED_VERSION,
    KEY_SCHEME,
    LAST_EVENT_ID,
    MODEL,
    MS_PER_S,
    READY_PATH,
    TEAM,
    TIME_LEFT_MS,
    TOKENS,
    URGENCY,
)
from hibiscustray.web.problem import PROBLEM_JSON, make_problem
from hibiscustray.web.server import REASONS

OWN_HEADERS = frozenset(
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
"""Headers that are set anew on the way to a replica, whatever the caller sent."""
ENVIRON_PREFIX = "HTTP_"


class FrontApplication:
    """Reads callers' requests, has them relayed and writes the answers."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Serve one request."""
        answer = self._relay.run(_read_request(environ))
        return _write_answer(answer, start_response)


class ReadinessApplication:
    """Tells the platform whether this process takes new connections, and serves metrics."""

    def __init__(
        self, is_ready: Callable[[], bool], render_metrics: Callable[[], tuple[bytes, str]]
    ) -> None:
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path == READY_PATH:
            status = 200 if self._is_ready() else 503
            answer = InboundResponse(status, (("Content-Type", "text/plain"),), b"")
        elif path == "/metrics":
            body, content_type = self._render_metrics()
            answer = InboundResponse(200, (("Content-Type", content_type),), body)
        else:
            answer = InboundResponse(
                404, (("Content-Type", PROBLEM_JSON),), make_problem(404, REASONS[404])
            )
        return _write_answer(answer, start_response)


def _read_request(environ: dict[str, Any]) -> InboundRequest:
    headers = {
        key[len(ENVIRON_PREFIX) :].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith(ENVIRON_PREFIX)
    }
    nominated = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    passed = tuple(
        (name, value)
        for name, value in headers.items()
        if name not in SINGLE_CONNECTION_HEADERS
        and name not in OWN_HEADERS
        and name not in nominated
    )
    target = environ["REQUEST_URI"]
    authorization = headers.get(AUTHORIZATION.lower(), "")
    return InboundRequest(
        id=headers.get(ATTEMPT_ID.lower()) or uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        host=headers.get("host", ""),
        path=target.partition("?")[0],
        target=target,
        headers=passed,
        body=environ["wsgi.input"].read(),
        received_at=time.monotonic(),
        time_left_s=_read_time_left(headers.get(TIME_LEFT_MS.lower(), "")),
        key=authorization[len(KEY_SCHEME) :] if authorization.startswith(KEY_SCHEME) else "",
        generation=_read_generation(headers),
        resume_after=headers.get(LAST_EVENT_ID.lower(), ""),
        is_abandoned=environ.get("waitress.client_disconnected", lambda: False),
    )


def _read_time_left(text: str) -> float | None:
    return int(text) / MS_PER_S if text.strip().isdigit() else None


def _read_generation(headers: dict[str, str]) -> Generation | None:
    model = headers.get(MODEL.lower(), "")
    sizes = headers.get(TOKENS.lower(), "").split(",")
    if not model or len(sizes) != 2 or not all(size.strip().isdigit() for size in sizes):
        return None
    hint = headers.get(EXPECTED_OUTPUT.lower(), "")
    return Generation(
        model, int(sizes[0]), int(sizes[1]), int(hint) if hint.strip().isdigit() else 0
    )


def _write_answer(answer: InboundResponse, start_response) -> Iterable[bytes]:
    reason = REASONS.get(answer.status, "Status")
    headers = list(answer.headers)
    if isinstance(answer.body, bytes):
        headers.append(("Content-Length", str(len(answer.body))))
    start_response(f"{answer.status} {reason}", headers)
    return [answer.body] if isinstance(answer.body, bytes) else answer.body
