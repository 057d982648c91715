"""Sending of requests to replicas with the platform's headers."""

from __future__ import annotations

from collections.abc import Callable

from hibiscustray.gateway.interface import Headers, OutboundRequest
from hibiscustray.placement import LoadReport
from hibiscustray.platform.wire import (
    ATTEMPT_ID,
    EXPECTED_REPLICA,
    EXPECTED_VERSION,
    LAST_EVENT_ID,
    MS_PER_S,
    NOT_RUN,
    PROOF,
    REPLICA_LOAD,
    TEAM,
    TIME_LEFT_MS,
    URGENCY,
    VERSIONS,
)
from hibiscustray.web import HttpClient, HttpStream

MISPLACED = 421
SINGLE_CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that concern one connection or its framing, which is made anew on each side."""


class PlatformReplicaAnswer:
    """A replica's answer, with the platform's headers read into fields."""

    def __init__(self, stream: HttpStream) -> None:
        self._stream = stream
        headers = stream.headers
        self.status = stream.status
        self.is_misdirected = stream.status == MISPLACED
        self.is_not_run = NOT_RUN.lower() in headers
        self.is_authentic = PROOF.lower() in headers
        self.request_id = headers.get(ATTEMPT_ID.lower(), "")
        self.load = _read_load(headers.get(REPLICA_LOAD.lower(), ""))
        self.version = _read_whole(headers.get(VERSIONS.lower(), ""))
        self.headers: Headers = tuple(
            (name, value)
            for name, value in headers.items()
            if name not in SINGLE_CONNECTION_HEADERS
        )

    def read_block(self) -> bytes:
        """Return the next bytes of the body."""
        return self._stream.read_block()

    def read_all(self) -> bytes:
        """Return the rest of the body."""
        return self._stream.read_all()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class PlatformReplicaCaller:
    """Sends each request on a connection of its own, so that no answer can cross another."""

    def open(
        self,
        outbound: OutboundRequest,
        connect_timeout_s: float,
        on_connect: Callable[[Callable[[], None]], None],
    ) -> PlatformReplicaAnswer:
        """Send a request and return its answer with the body unread."""
        inbound = outbound.inbound
        client = HttpClient(f"http://{outbound.replica.address}", idle_connections=0)
        stream = client.open(
            inbound.method,
            inbound.target,
            inbound.body,
            _make_headers(outbound),
            timeout_s=outbound.time_left_s,
            is_fresh=True,
            on_connect=on_connect,
            connect_timeout_s=min(connect_timeout_s, outbound.time_left_s),
        )
        return PlatformReplicaAnswer(stream)


def _make_headers(outbound: OutboundRequest) -> dict[str, str]:
    headers = dict(outbound.inbound.headers)
    headers["Host"] = outbound.inbound.host
    headers[ATTEMPT_ID] = outbound.inbound.id
    headers[TIME_LEFT_MS] = str(max(1, int(outbound.time_left_s * MS_PER_S)))
    headers[EXPECTED_REPLICA] = outbound.replica.id
    if outbound.team:
        headers[TEAM] = outbound.team
    if outbound.required_version:
        headers[EXPECTED_VERSION] = str(outbound.required_version)
    if outbound.urgency is not None:
        headers[URGENCY] = str(outbound.urgency)
    if outbound.resume_after:
        headers[LAST_EVENT_ID] = outbound.resume_after
    return headers


def _read_load(text: str) -> LoadReport | None:
    """Read running, waiting and slots; None if absent or of another form."""
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)


def _read_whole(text: str) -> int:
    return int(text) if text.strip().isdigit() else 0
