"""gRPC clients of other processes, with one channel per peer that is created on first use."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

import grpc

from hibiscustray.deployments.revisions import Revision
from hibiscustray.exceptions import MessageInvalid, PeerConnectionLost, PeerUnreachable
from hibiscustray.peers.codec import (
    ATTEMPT,
    CHUNK,
    EXCHANGE,
    HOLDINGS,
    MANIFEST,
    METHODS,
    PASS_CHUNK,
    PROBE,
    PUSH,
    REVISION,
    STATUS,
    SYNC,
    TICKET,
    encode_message,
    make_decoder,
)
from hibiscustray.peers.messages import (
    AttemptRequest,
    ChunkPush,
    ChunkPushReply,
    ChunkReply,
    ChunkRequest,
    ExchangeMessage,
    Frame,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
    ProbeReply,
    ProbeRequest,
    PushRequest,
    RevisionReply,
    RevisionRequest,
    StatusReply,
    StatusRequest,
    SyncReply,
    SyncRequest,
    TicketReply,
    TicketRequest,
)
from hibiscustray.peers.packing import NEWEST_VERSION, PLAIN
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
CONNECT_FAILURE_PREFIX = "failed to connect to all addresses"


class AttemptCall:
    """A running attempt: iterates over its frames and can be cancelled from any thread."""

    def __init__(self, call: Any) -> None:
        self._call = call
        self._decode = make_decoder(Frame)

    def __iter__(self) -> Iterator[Frame]:
        """Yield the frames; raise `PeerUnreachable` or `PeerConnectionLost` on errors."""
        try:
            for body in self._call:
                yield self._decode(body)
        except grpc.RpcError as error:
            raise translate_error(error) from error
        except MessageInvalid as error:
            raise PeerConnectionLost(f"cannot decode frame: {error}") from error

    def cancel(self) -> None:
        """Cancel the attempt at the agent."""
        self._call.cancel()


class PeerClient:
    """Calls the methods of one peer over one channel."""

    def __init__(self, address: str, credentials: grpc.ChannelCredentials | None = None) -> None:
        self.address = address
        self.codec = PLAIN
        self.bytes_moved = 0
        self.calls_made = 0
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
        """Return whether no call is running."""
        with self._lock:
            return self._running == 0

    def exchange(self, message: ExchangeMessage, timeout_s: float) -> ExchangeMessage:
        """Send a heartbeat and return the peer's."""
        return self._call(EXCHANGE.name, message, timeout_s)

    def read_revision(self, timeout_s: float) -> RevisionReply:
        """Return the peer's active revision."""
        return self._call(REVISION.name, RevisionRequest(), timeout_s)

    def sync(self, request: SyncRequest, timeout_s: float) -> SyncReply:
        """Return the peer's records from buckets whose hashes differ from those in the request."""
        return self._call(SYNC.name, request, timeout_s)

    def probe(self, address: str, timeout_s: float) -> ProbeReply:
        """Ask the peer whether it can reach an address."""
        return self._call(PROBE.name, ProbeRequest(address), timeout_s)

    def push(self, revision: Revision, timeout_s: float) -> StatusReply:
        """Send an accepted revision and return the peer's resulting status."""
        return self._call(PUSH.name, PushRequest(revision), timeout_s)

    def read_status(self, timeout_s: float) -> StatusReply:
        """Return the peer's own record."""
        return self._call(STATUS.name, StatusRequest(), timeout_s)

    def read_manifest(self, digest: str, timeout_s: float) -> ManifestReply:
        """Return an encoded manifest, empty if the peer does not have it."""
        return self._call(MANIFEST.name, ManifestRequest(digest), timeout_s)

    def read_holdings(self, request: HoldingsRequest, timeout_s: float) -> HoldingsReply:
        """Return which chunks of a version the peer holds."""
        return self._call(HOLDINGS.name, request, timeout_s)

    def read_chunk(self, request: ChunkRequest, timeout_s: float) -> ChunkReply:
        """Return a chunk's unverified bytes, or the reason why the peer does not send them."""
        return self._call(CHUNK.name, request, timeout_s)

    def pass_chunk(self, push: ChunkPush, timeout_s: float) -> ChunkPushReply:
        """Send the peer a chunk; return which chunks of the version it holds now."""
        return self._call(PASS_CHUNK.name, push, timeout_s)

    def issue_ticket(self, team: str, service: str, timeout_s: float) -> TicketReply:
        """Return an idempotency key bound to the agent's incarnation."""
        return self._call(TICKET.name, TicketRequest(team, service), timeout_s)

    def open_attempt(self, request: AttemptRequest) -> AttemptCall:
        """Start an attempt; errors are raised while its frames are read."""
        self._adjust_running(1)
        try:
            call = self._calls[ATTEMPT.name](encode_message(request), timeout=request.timeout_s)
        except ValueError as error:
            self._adjust_running(-1)
            raise PeerUnreachable(f"{self.address}: channel closed") from error
        call.add_done_callback(lambda _: self._adjust_running(-1))
        return AttemptCall(call)

    def close(self) -> None:
        """Close the channel and abort running calls."""
        self._channel.close()

    def _adjust_running(self, change: int) -> None:
        with self._lock:
            self._running += change

    def _call(self, name: str, message: Any, timeout_s: float) -> Any:
        request = encode_message(message, self.codec)
        self._adjust_running(1)
        try:
            body = self._calls[name](request, timeout=timeout_s)
        except grpc.RpcError as error:
            raise translate_error(error) from error
        except ValueError as error:
            raise PeerUnreachable(f"{self.address}: channel closed") from error
        finally:
            self._adjust_running(-1)
        self.calls_made += 1
        self.bytes_moved += len(request) + len(body)
        return self._decoders[name](body)


class PeerPool:
    """Caches the peer clients of one process by address.

    Beyond `limit` clients, the least recently used one is closed once it is idle.
    """

    def __init__(
        self, credentials: grpc.ChannelCredentials | None = None, limit: int | None = None
    ) -> None:
        self._credentials = credentials
        self._limit = limit
        self._clients: OrderedDict[str, PeerClient] = OrderedDict()
        self._codecs: dict[str, int] = {}
        self._closed_bytes = 0
        self._closed_calls = 0
        self._retired: list[PeerClient] = []
        self._lock = threading.Lock()

    @property
    def bytes_moved(self) -> int:
        """Return the bytes of all messages sent and received in completed calls."""
        with self._lock:
            return self._closed_bytes + sum(c.bytes_moved for c in self._clients.values())

    @property
    def calls_made(self) -> int:
        """Return how many calls were completed."""
        with self._lock:
            return self._closed_calls + sum(c.calls_made for c in self._clients.values())

    def get(self, address: str) -> PeerClient:
        """Return the client of an address, creating it on first use."""
        is_over_limit = False
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = self._clients[address] = PeerClient(address, self._credentials)
                client.codec = self._codecs.get(address, PLAIN)
            self._clients.move_to_end(address)
            if self._limit is not None and len(self._clients) > self._limit:
                self._retired.append(self._clients.popitem(last=False)[1])
                is_over_limit = True
        if is_over_limit:
            self._close_idle()
        return client

    def negotiate_codec(self, address: str, codec: int) -> None:
        """Use the newest codec version that both sides support, from the next call on."""
        negotiated = min(codec, NEWEST_VERSION)
        with self._lock:
            if self._codecs.get(address) == negotiated:
                return
            self._codecs[address] = negotiated
            if address in self._clients:
                self._clients[address].codec = negotiated

    def retire_connection(self, address: str, client: PeerClient | None = None) -> None:
        """Make the next call to an address open a new connection.

        Calls that run on the old connection continue; it is closed once they have ended. If
        `client` is given and is no longer the client of the address, nothing changes.
        """
        with self._lock:
            current = self._clients.get(address)
            if current is not None and client in (None, current):
                self._codecs.pop(address, None)
                self._retired.append(self._clients.pop(address))
        self._close_idle()

    def close(self) -> None:
        """Close all connections, including retired ones."""
        with self._lock:
            clients = [*self._clients.values(), *self._retired]
            self._clients.clear()
            self._retired = []
        for client in clients:
            self._close_client(client)

    def _close_idle(self) -> None:
        """Close the retired clients that have no running calls."""
        with self._lock:
            idle = [client for client in self._retired if client.is_idle]
            self._retired = [client for client in self._retired if client not in idle]
        for client in idle:
            self._close_client(client)

    def _close_client(self, client: PeerClient) -> None:
        with self._lock:
            self._closed_bytes += client.bytes_moved
            self._closed_calls += client.calls_made
        client.close()


def translate_error(error: grpc.RpcError) -> PeerUnreachable | PeerConnectionLost:
    """Map a gRPC error to a typed one.

    Only a failed connection proves that nothing was sent and so gives `PeerUnreachable`.
    """
    code = error.code()
    details = (error.details() or "").lower()
    text = f"{code.name}: {details[:200]}"
    if code is grpc.StatusCode.UNAVAILABLE and details.startswith(CONNECT_FAILURE_PREFIX):
        return PeerUnreachable(text)
    return PeerConnectionLost(text)
