"""Requests and responses within the gateway, and the interface to replicas."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from hibiscustray.placement import LoadReport
from hibiscustray.replicas import ReplicaNotice, ReplicaRecord
from hibiscustray.web import Framing

Headers = tuple[tuple[str, str], ...]
PART_DIGEST_B = 8
REQUEST_DIGEST_B = 8


def digest_part(part_id: str) -> str:
    """Return the digest of a prompt part's id, of a fixed length whatever the caller chose."""
    return hashlib.blake2b(part_id.encode(), digest_size=PART_DIGEST_B).hexdigest()


def digest_request(inbound: InboundRequest, team: str | None) -> str:
    """Return the digest of what a request shares with its repeats: target, team and body."""
    head = "\0".join((inbound.host.lower(), inbound.target, team or "", ""))
    digest = hashlib.blake2b(head.encode(errors="surrogateescape"), digest_size=REQUEST_DIGEST_B)
    digest.update(inbound.body)
    return digest.hexdigest()


def _never_disconnected() -> bool:
    return False


@dataclass(frozen=True)
class Generation:
    """The model and the sizes of a request in tokens; `output_tokens` is an upper bound.

    `expected_tokens` is the caller's estimate of the output, 0 if it gave none.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int = 0


@dataclass(frozen=True)
class InboundRequest:
    """A request as received from a caller; `received_at` is a time of `read_clock`.

    `target` is the path with its query as sent, `headers` are those to forward, `key` is the
    caller's team key or None, `prompt_parts` are digests of the parts of the prompt that other
    requests may share, and `resume_after` is the id of the last stream event that the caller has.
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
    key: str | None = None
    generation: Generation | None = None
    prompt_parts: tuple[str, ...] = ()
    resume_after: str = ""
    is_disconnected: Callable[[], bool] = _never_disconnected


@dataclass(frozen=True)
class InboundResponse:
    """The response to a caller; a body that is an iterator is streamed.

    Unless `is_delimited`, the body may have ended early, and only the end of the connection may
    mark its end.
    """

    status: int
    headers: Headers
    body: bytes | Iterator[bytes]
    is_delimited: bool = True


@dataclass(frozen=True)
class OutboundRequest:
    """One attempt to run a request on one replica.

    `required_version` is the version of the weights that the replica must use, 0 for any; `urgency`
    ranges from 0, the most urgent, to 9.
    """

    inbound: InboundRequest
    replica: ReplicaRecord
    time_left_s: float
    team: str | None = None
    required_version: int = 0
    urgency: int | None = None
    resume_after: str = ""


class ReplicaResponse(Protocol):
    """A replica's response whose body is read as it arrives.

    `is_not_run` is set if the replica states that it did not run the request, `is_misdirected` if
    the address serves another replica or another version. `request_id` is the request id in the
    response, and `is_authentic` is set if the response proves that it comes from the replica.
    `framing` tells what marks the end of the body, and `notice` has what the replica says of
    itself.
    """

    status: int
    headers: Headers
    is_not_run: bool
    is_misdirected: bool
    is_authentic: bool
    framing: Framing
    notice: ReplicaNotice
    request_id: str
    load: LoadReport | None
    version: int

    def read_block(self) -> bytes:
        """Return the next bytes, empty at the end of the body; raise `UpstreamConnectionLost`."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


def make_inbound_response(
    response: ReplicaResponse, body: bytes | Iterator[bytes]
) -> InboundResponse:
    """Return the response to a caller that passes a replica's response on."""
    return InboundResponse(response.status, response.headers, body, response.framing.is_delimited)


class ReplicaClient(Protocol):
    """Sends requests to replicas."""

    def open(
        self,
        outbound: OutboundRequest,
        connect_timeout_s: float,
        on_connect: Callable[[Callable[[], None]], None],
    ) -> ReplicaResponse:
        """Send a request on a new connection and return the response with its body unread.

        `on_connect` is passed a function that closes the connection. Raises `UpstreamUnreachable`
        when nothing was sent, `UpstreamConnectionLost` when the request may have run.
        """
        ...
