"""In-process network of chunk servers with injected faults, an object store and an origin."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from hibiscustray.agent import ChunkServer
from hibiscustray.exceptions import ObjectMissing, OriginUnavailable, PeerConnectionLost
from hibiscustray.membership import MemberView
from hibiscustray.peers import ChunkPush, ChunkReply, ManifestRequest, MemberRecord
from hibiscustray.rollout import OrderGate
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import (
    ChunkCache,
    ChunkRelay,
    LinkRateLimiter,
    ReplicaSelector,
    SwarmRegistry,
    Transfer,
    TransferEnvironment,
    TransferRequest,
    TransferTuning,
    build_manifest,
    manifest_key,
)

SERVICE = "guide-llm"
PATH = "guide"
CHUNK_B = 64
FAST_MBIT_S = 10_000.0
SHORT_INTERVALS = {
    "FALLBACK_STEP_S": 0.2,
    "STALL_PAUSE_S": 0.02,
    "FAILURE_PAUSE_S": 0.02,
    "HOLDINGS_POLL_INTERVAL_S": 0.05,
    "INITIAL_HOLDINGS_POLL_INTERVAL_S": 0.02,
    "IDLE_WAIT_S": 0.01,
    "ORIGIN_RETRY_S": 0.02,
    "ORIGIN_CORRUPT_RETRY_S": 0.05,
}
RELAY_TUNING = TransferTuning(
    initial_timeout_s=1.0,
    min_timeout_s=0.5,
    stall_pause_s=0.02,
    holdings_poll_interval_s=0.05,
    fallback_step_s=1.0,
    corrupt_pause_s=0.05,
    max_origin_fetches=1,
    pull_delay_s=5.0,
    idle_s=1.0,
)


class Network:
    """Members with their chunk servers; it also acts as the object store and the origin.

    With a relay, members pass chunks on to each other and request only what they lack for long.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss: float = 0.0,
        regions: int = 1,
        has_relay: bool = False,
    ) -> None:
        self.has_relay = has_relay
        self.random = random.Random(seed)
        self.loss = loss
        self.corrupting: set[str] = set()
        self.silent: set[str] = set()
        self.file = b""
        self.other_files: dict[str, bytes] = {}
        self.objects: dict[str, bytes] = {}
        self.is_origin_down = False
        self.origin_reads: list[int] = []
        self.cross_region_transfers: list[tuple[str, str]] = []
        self.chunk_requests = 0
        self.failing_at_origin: set[str] = set()
        self.congested: dict[str, float] = {}
        """Seconds that a chunk takes to a member, by its address; requests for chunks fail then."""
        self.most_under_way: Counter[tuple[str, str]] = Counter()
        """Most chunks that were under way at a time, by sender and receiver of a push, or by
        nothing and receiver of requested chunks."""
        self.sent_chunks: Counter[str] = Counter()
        """Chunks that were passed on, by receiver."""
        self._under_way: Counter[tuple[str, str]] = Counter()
        self._lock = threading.Lock()
        self.records = [make_record(i, regions) for i in range(count)]
        self.nodes = {record.peer_address: Node(self, record) for record in self.records}

    def publish(self, file: bytes, folder) -> str:
        """Add a file to the origin and its manifest to the object store; return its digest."""
        path = folder / "file"
        path.write_bytes(file)
        manifest = build_manifest(path, PATH, CHUNK_B)
        self.file = file
        self.objects[manifest_key(manifest.digest)] = manifest.encode()
        return manifest.digest

    @contextmanager
    def carry(self, sender: str, receiver: str) -> Iterator[bool]:
        """Count a chunk under way, for as long as it takes; yield whether the link is congested."""
        key = sender, receiver
        with self._lock:
            self._under_way[key] += 1
            self.sent_chunks[receiver] += bool(sender)
            self.most_under_way[key] = max(self.most_under_way[key], self._under_way[key])
        try:
            time.sleep(self.congested.get(receiver, 0.0))
            yield receiver in self.congested
        finally:
            with self._lock:
                self._under_way[key] -= 1

    def get(self, key: str) -> bytes:
        """Return an object, as the object store does."""
        if key not in self.objects:
            raise ObjectMissing(key)
        return self.objects[key]

    def read_range(self, path: str, start: int, length: int) -> bytes:
        """Return a range of a file, as the origin does, and record the read."""
        if self.is_origin_down:
            raise OriginUnavailable("down")
        self.origin_reads.append(start // CHUNK_B)
        return self.other_files.get(path, self.file)[start : start + length]


class Node:
    """The cache and the chunk server of one agent."""

    def __init__(self, network: Network, record: MemberRecord) -> None:
        self.network = network
        self.record = record
        self.view = MemberView(record)
        self.view.merge(r for r in network.records if r.id != record.id)
        self.restart()

    def restart(self) -> None:
        """Lose all chunks, as when the VM is replaced."""
        self.cache = ChunkCache(1 << 20)
        self.swarms = SwarmRegistry()
        self.metrics = Metrics(self.record.id)
        uplink = LinkRateLimiter(FAST_MBIT_S)
        self.pool = Pool(self.network, self.record)
        self.relay = None
        if self.network.has_relay:
            self.relay = ChunkRelay(self.pool, self.cache, self.swarms, uplink, self.metrics)
        self.server = ChunkServer(
            self.cache, self.swarms, uplink, OrderGate(), self.metrics, self.relay
        )

    def make_transfer(self, digest: str, objective: str = "origin_bytes") -> Transfer:
        """Return a transfer that fetches a version to this node."""
        environment = TransferEnvironment(
            view=self.view,
            peers=self.pool,
            objects=self.network,
            origin=OriginOfNode(self.network, self.record),
            cache=self.cache,
            swarms=self.swarms,
            metrics=self.metrics,
            origin_region="region-0",
            tuning=RELAY_TUNING if self.relay is not None else None,
            relay=self.relay,
        )
        return Transfer(environment, TransferRequest(digest, ReplicaSelector(SERVICE), objective))

    def read_file(self, digest: str) -> bytes:
        """Return the complete file from the cache."""
        count = self.cache.manifest(digest).count
        return b"".join(self.cache.get(digest, index) for index in range(count))


class OriginOfNode:
    """The origin as one node sees it."""

    def __init__(self, network: Network, own: MemberRecord) -> None:
        self._network = network
        self._own = own

    def read_range(self, path: str, start: int, length: int) -> bytes:
        if self._own.id in self._network.failing_at_origin:
            raise OriginUnavailable("cut off")
        return self._network.read_range(path, start, length)


class Pool:
    """Test double of `PeerPool` for one node, with faults."""

    def __init__(self, network: Network, own: MemberRecord) -> None:
        self._network = network
        self._own = own
        self._lock = threading.Lock()

    def get(self, address: str) -> Client:
        return Client(self._network, self._own, address)

    def retire_connection(self, address: str) -> None:
        """Do nothing, since each call here uses a new client."""


class Client:
    """Test double of the client of one peer."""

    def __init__(self, network: Network, own: MemberRecord, address: str) -> None:
        self._network = network
        self._own = own
        self._address = address

    def _serve(self, method: str, request):
        network = self._network
        is_lost = network.random.random() < network.loss
        if self._address in network.silent or is_lost:
            raise PeerConnectionLost("lost")
        return getattr(network.nodes[self._address].server, method)(request, None)

    def read_holdings(self, request, timeout_s):
        return self._serve("serve_holdings", request)

    def read_manifest(self, digest, timeout_s):
        return self._serve("serve_manifest", ManifestRequest(digest))

    def pass_chunk(self, push, timeout_s):
        sender = self._own
        receiver = self._network.nodes[self._address].record
        if sender.region != receiver.region:
            self._network.cross_region_transfers.append((sender.region, receiver.region))
        if sender.peer_address in self._network.corrupting:
            data = bytes([push.data[0] ^ 1]) + push.data[1:]
            push = ChunkPush(push.digest, push.index, data, push.is_import, push.have)
        with self._network.carry(sender.peer_address, self._address):
            return self._serve("accept_chunk", push)

    def read_chunk(self, request, timeout_s) -> ChunkReply:
        self._network.chunk_requests += 1
        with self._network.carry("", self._own.peer_address) as is_congested:
            if is_congested:
                raise PeerConnectionLost("no response")
        reply = self._serve("serve_chunk", request)
        sender = self._network.nodes[self._address].record
        if reply.data and sender.region != self._own.region:
            self._network.cross_region_transfers.append((sender.region, self._own.region))
        if reply.data and self._address in self._network.corrupting:
            return ChunkReply(bytes([reply.data[0] ^ 1]) + reply.data[1:], have=reply.have)
        return reply


def make_record(index: int, regions: int) -> MemberRecord:
    """Return the member record of a live agent."""
    region = f"region-{index % regions}"
    return MemberRecord(
        id=f"vm-{index}",
        role="agent",
        region=region,
        availability_zone=f"{region}-a",
        peer_address=f"10.0.0.{index}:1",
        http_url="",
        incarnation=1,
        service=SERVICE,
    )
