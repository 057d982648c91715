"""gRPC clients of other processes: one channel per peer, made on first use."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from typing import Any

import grpc

from hibiscustray.exceptions import MessageInvalid, PeerConnectionLost, PeerUnreachable
from hibiscustray.peers.codec import (
    ATTEMPT,
    CHUNK,
    EXCHANGE,
    HOLDINGS,
    MANIFEST,
    METHODS,
    REVISION,
    STATUS,
    TICKET,
    encode_message,
    make_decoder,
)
from hibiscustray.peers.messages import (
    AttemptRequest,
    ChunkReply,
    ChunkRequest,
    ExchangeMessage,
    Frame,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
    RevisionReply,
    RevisionRequest,
    StatusReply,
    StatusRequest,
    TicketReply,
    TicketRequest,
)
from hibiscustray.peers.server import MAX_MESSAGE_B

OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_B),
    ("grpc.max_send_message_length", MAX_MESSAGE_B),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
)
CONNECT_MARK = "failed to connect to all addresses"


class AttemptCall:
    """A running attempt: frames to iterate over, and a way to cancel it from any thread."""

    def __init__(self, call: Any) -> None:
        self._call = call
        self._decode = make_decoder(Frame)

    def __iter__(self) -> Iterator[Frame]:
        """Yield frames; raise `PeerUnreachable` or `PeerConnectionLost`."""
        try:
            for body in self._call:
                yield self._decode(body)
        except grpc.RpcError as error:
            raise translate_error(error) from error
        except MessageInvalid as error:
            raise PeerConnectionLost(f"unreadable frame: {error}") from error

    def cancel(self) -> None:
        """Tell the agent to stop the attempt."""
        self._call.cancel()


class PeerClient:
    """Calls one peer over one channel."""

    def __init__(self, address: str, credentials: grpc.ChannelCredentials | None = None) -> None:
        self.address = address
        if credentials is None:
            self._channel = grpc.insecure_channel(address, OPTIONS)
        else:
            self._channel = grpc.secure_channel(address, credentials, OPTIONS)
        self._calls = {
            method.name: (
                self._channel.unary_stream(method.path)
                if method.is_stream
                else self._channel.unary_unary(method.path)
            )
            for method in METHODS
        }
        self._decoders = {method.name: make_decoder(method.reply) for method in METHODS}
        self._running = 0
        self._lock = threading.Lock()

    @property
    def is_idle(self) -> bool:
        """Tell whether no call is running."""
        with self._lock:
            return self._running == 0

    def exchange(self, message: ExchangeMessage, timeout_s: float) -> ExchangeMessage:
        """Swap heartbeats."""
        return self._call(EXCHANGE.name, message, timeout_s)

    def read_revision(self, timeout_s: float) -> RevisionReply:
        """Return the peer's revision in force."""
        return self._call(REVISION.name, RevisionRequest(), timeout_s)

    def read_status(self, timeout_s: float) -> StatusReply:
        """Return the peer's own record."""
        return self._call(STATUS.name, StatusRequest(), timeout_s)

    def read_manifest(self, digest: str, timeout_s: float) -> ManifestReply:
        """Return an encoded manifest, empty if the peer has none."""
        return self._call(MANIFEST.name, ManifestRequest(digest), timeout_s)

    def read_holdings(self, request: HoldingsRequest, timeout_s: float) -> HoldingsReply:
        """Return which chunks of a version the peer holds."""
        return self._call(HOLDINGS.name, request, timeout_s)

    def read_chunk(self, request: ChunkRequest, timeout_s: float) -> ChunkReply:
        """Return a chunk's bytes, unverified, or why there are none."""
        return self._call(CHUNK.name, request, timeout_s)

    def issue_ticket(self, team: str, service: str, timeout_s: float) -> TicketReply:
        """Return an idempotency key bound to the agent's incarnation."""
        return self._call(TICKET.name, TicketRequest(team, service), timeout_s)

    def open_attempt(self, request: AttemptRequest) -> AttemptCall:
        """Start an attempt; errors surface while its frames are read."""
        self._change_running(1)
        try:
            call = self._calls[ATTEMPT.name](encode_message(request), timeout=request.timeout_s)
        except ValueError as error:
            self._change_running(-1)
            raise PeerUnreachable(f"{self.address}: channel closed") from error
        call.add_done_callback(lambda _: self._change_running(-1))
        return AttemptCall(call)

    def close(self) -> None:
        """Close the channel, cutting running calls."""
        self._channel.close()

    def _change_running(self, change: int) -> None:
        with self._lock:
            self._running += change

    def _call(self, name: str, message: Any, timeout_s: float) -> Any:
        self._change_running(1)
        try:
            body = self._calls[name](encode_message(message), timeout=timeout_s)
        except grpc.RpcError as error:
            raise translate_error(error) from error
        except ValueError as error:
            raise PeerUnreachable(f"{self.address}: channel closed") from error
        finally:
            self._change_running(-1)
        return self._decoders[name](body)


class PeerPool:
    """The peer clients of one process, by address."""

    def __init__(self, credentials: grpc.ChannelCredentials | None = None) -> None:
        self._credentials = credentials
        self._clients: dict[str, PeerClient] = {}
        self._retired: list[PeerClient] = []
        self._lock = threading.Lock()

    def get(self, address: str) -> PeerClient:
        """Return the client of an address."""
        with self._lock:
            if address not in self._clients:
                self._clients[address] = PeerClient(address, self._credentials)
            return self._clients[address]

    def renew(self, address: str, client: PeerClient | None = None) -> None:
        """Let the next call to an address open a new connection, unless `client` was replaced.

        The calls that run on the old connection go on; it is closed once they have ended.
        """
        with self._lock:
            known = self._clients.get(address)
            if known is not None and client in (None, known):
                self._retired.append(self._clients.pop(address))
            idle = [retired for retired in self._retired if retired.is_idle]
            self._retired = [retired for retired in self._retired if retired not in idle]
        for retired in idle:
            retired.close()

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            clients = [*self._clients.values(), *self._retired]
            self._clients, self._retired = {}, []
        for client in clients:
            client.close()


def translate_error(error: grpc.RpcError) -> PeerUnreachable | PeerConnectionLost:
    """Map a gRPC error to a typed one; only a refused connection proves that nothing was sent."""
    code = error.code()
    details = (error.details() or "").lower()
    text = f"{code.name}: {details[:200]}"
    if code is grpc.StatusCode.UNAVAILABLE and details.startswith(CONNECT_MARK):
        return PeerUnreachable(text)
    return PeerConnectionLost(text)
