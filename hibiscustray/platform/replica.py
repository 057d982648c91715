"""HTTP client that sends callers' requests to replicas with the platform's headers."""

from __future__ import annotations

from collections.abc import Callable

from hibiscustray.gateway.interface import Headers, OutboundRequest
from hibiscustray.placement import read_load
from hibiscustray.platform.wire import (
    ATTEMPT_ID,
    EXPECTED_REPLICA,
    EXPECTED_VERSION,
    LAST_EVENT_ID,
    MS_PER_S,
    NOT_RUN,
    RATE_LIMIT,
    REPLICA_ID,
    REPLICA_LOAD,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_SEAL,
    TEAM,
    TIME_LEFT_MS,
    URGENCY,
    WEIGHT_VERSIONS,
)
from hibiscustray.replicas import HealthReport, ReplicaRecord, read_notice
from hibiscustray.web import HttpClient, HttpStream
from hibiscustray.web.headers import HOP_BY_HOP_HEADERS
from hibiscustray.web.numbers import read_number

MISDIRECTED_REQUEST, SERVICE_UNAVAILABLE = 421, 503


class PlatformReplicaResponse:
    """A replica's response, with the platform's headers parsed into attributes."""

    def __init__(self, stream: HttpStream) -> None:
        self._stream = stream
        headers = stream.headers
        self.status = stream.status
        self.is_misdirected = stream.status == MISDIRECTED_REQUEST
        self.is_not_run = NOT_RUN.lower() in headers
        self.is_authentic = SERVER_SEAL.lower() in headers
        self.framing = stream.framing
        self.request_id = headers.get(ATTEMPT_ID.lower(), "")
        retry_after = headers.get(RETRY_AFTER.lower())
        pushback = retry_after if self.status == SERVICE_UNAVAILABLE else None
        limit, draining = headers.get(RATE_LIMIT.lower()), headers.get(SERVER_LEAVING.lower())
        self.notice = read_notice(limit, pushback, draining)
        self.load = read_load(headers.get(REPLICA_LOAD.lower(), ""))
        self.replica_id = headers.get(REPLICA_ID.lower(), "")
        self.version = read_number(headers.get(WEIGHT_VERSIONS.lower(), "")) or 0
        passed_on = (pair for pair in headers.items() if pair[0] not in HOP_BY_HOP_HEADERS)
        self.headers: Headers = tuple(passed_on)

    def read_block(self) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        return self._stream.read_block()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class PlatformReplicaClient:
    """Opens a new connection for each request, so that responses cannot be mixed up."""

    def open(
        self,
        outbound: OutboundRequest,
        connect_timeout_s: float,
        on_connect: Callable[[Callable[[], None]], None],
        find_work_time: Callable[[], float],
    ) -> PlatformReplicaResponse:
        """Send a request and return its response with the body still unread."""
        inbound = outbound.inbound
        client = HttpClient(f"http://{outbound.replica.address}", max_idle_connections=0)
        stream = client.open(
            inbound.method,
            inbound.target,
            inbound.body,
            _make_headers(outbound),
            timeout_s=outbound.time_left_s,
            is_fresh=True,
            on_connect=on_connect,
            make_late_headers=lambda: {TIME_LEFT_MS: str(max(1, int(find_work_time() * MS_PER_S)))},
            connect_timeout_s=min(connect_timeout_s, outbound.time_left_s),
        )
        return PlatformReplicaResponse(stream)

    def check(self, replica: ReplicaRecord, path: str, timeout_s: float) -> HealthReport:
        """Send a health check; raise `UpstreamError` without a response within `timeout_s`."""
        client = HttpClient(f"http://{replica.address}", timeout_s, max_idle_connections=0)
        headers = {EXPECTED_REPLICA: replica.id, TIME_LEFT_MS: str(int(timeout_s * MS_PER_S))}
        stream = client.open("GET", path, headers=headers, connect_timeout_s=timeout_s / 2)
        response = PlatformReplicaResponse(stream)
        response.close()
        facts = response.status, response.notice, response.replica_id, response.is_misdirected
        return HealthReport(*facts)


def _make_headers(outbound: OutboundRequest) -> dict[str, str]:
    headers = dict(outbound.inbound.headers)
    headers["Host"] = outbound.inbound.host
    headers[ATTEMPT_ID] = outbound.inbound.id
    headers[EXPECTED_REPLICA] = outbound.replica.id
    if outbound.team is not None:
        headers[TEAM] = outbound.team
    if outbound.required_version:
        headers[EXPECTED_VERSION] = str(outbound.required_version)
    if outbound.urgency is not None:
        headers[URGENCY] = str(outbound.urgency)
    if outbound.resume_after:
        headers[LAST_EVENT_ID] = outbound.resume_after
    return headers
