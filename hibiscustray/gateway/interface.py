"""Requests and answers as the gateway sees them, and the interface towards replicas."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from hibiscustray.placement import LoadReport
from hibiscustray.replicas import ReplicaRecord

Headers = tuple[tuple[str, str], ...]


def _never() -> bool:
    return False


@dataclass(frozen=True)
class Generation:
    """What a request asks of a model: sizes in tokens, `output_tokens` as an upper bound.

    `expected_tokens` is the caller's own estimate of the output, 0 for none.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int = 0


@dataclass(frozen=True)
class InboundRequest:
    """One try of a caller's request; `received_at` is in monotonic seconds.

    `target` is the path with its query as sent, `headers` are those to pass on, `key` names the
    caller's team, and `resume_after` is the last event of a stream that the caller holds.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    time_left_s: float | None = None
    key: str = ""
    generation: Generation | None = None
    resume_after: str = ""
    is_abandoned: Callable[[], bool] = _never


@dataclass(frozen=True)
class InboundResponse:
    """The answer to a caller; a body that is an iterator is sent as it comes."""

    status: int
    headers: Headers
    body: bytes | Iterator[bytes]


@dataclass(frozen=True)
class OutboundRequest:
    """One attempt of a request at one replica.

    `required_version` is the version that the replica must answer with, 0 for any; `urgency` runs
    from 0, the most urgent, to 9.
    """

    inbound: InboundRequest
    replica: ReplicaRecord
    time_left_s: float
    team: str = ""
    required_version: int = 0
    urgency: int | None = None
    resume_after: str = ""


class ReplicaResponse(Protocol):
    """A replica's answer whose body is read as it arrives.

    `is_not_run` is the replica's own word that it did not run the request; `is_misdirected` that
    another replica, or another version, is at the address. `request_id` is the id echoed, and
    `is_authentic` tells whether the replica proved that the answer is its own.
    """

    status: int
    headers: Headers
    is_not_run: bool
    is_misdirected: bool
    is_authentic: bool
    request_id: str
    load: LoadReport | None
    version: int

    def read_block(self) -> bytes:
        """Return the next bytes, empty once the body is whole; raise `UpstreamConnectionLost`."""
        ...

    def read_all(self) -> bytes:
        """Return the rest of the body; raise `UpstreamConnectionLost`."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class ReplicaClient(Protocol):
    """Sends requests to replicas."""

    def open(
        self,
        outbound: OutboundRequest,
        connect_timeout_s: float,
        on_connect: Callable[[Callable[[], None]], None],
    ) -> ReplicaResponse:
        """Send a request on a connection of its own and return the answer's head.

        `on_connect` is given a function that cuts the connection. Raises `UpstreamUnreachable`
        when nothing was sent, `UpstreamConnectionLost` when the request may have run.
        """
        ...
