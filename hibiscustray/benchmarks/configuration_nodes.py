"""Nodes of the configuration benchmark: processes with only membership and configuration."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscustray.deployments import Configuration, Justification, RevisionStore
from hibiscustray.exceptions import PeerConnectionLost, StoreUnavailable
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.peers import MemberRecord, PeerClient, PeerPool, PeerServer
from hibiscustray.peers.codec import EXCHANGE, PROBE, PUSH, REVISION, STATUS, SYNC
from hibiscustray.peers.packing import NEWEST_VERSION
from hibiscustray.protocols import Row, Table, VmList
from hibiscustray.settings import MembershipSettings
from hibiscustray.telemetry import Metrics

ADDRESS = "127.0.0.1"
REGIONS = ("akl", "wlg", "chc")
SERVER_THREADS = 4
POOL_CHANNELS = 16
PLATFORM_TIMEOUT_S = 2.0
MAX_PAUSE_S = 30.0
"""Maximum wait of a call on a paused process."""
MS_PER_S = 1000


class NetworkPartitions:
    """Regions of addresses, blocked directions between regions, and isolated processes."""

    def __init__(self) -> None:
        self.blocked_directions: frozenset[tuple[str, str]] = frozenset()
        self._regions: dict[str, str] = {}
        self._isolated: set[str] = set()

    def set_region(self, address: str, region: str) -> None:
        """Set the region of an address."""
        self._regions[address] = region

    def isolate(self, address: str) -> None:
        """Block all calls from and to one process."""
        self._isolated.add(address)

    def reconnect(self, address: str) -> None:
        """End the isolation of a process."""
        self._isolated.discard(address)

    def is_blocked(self, source: str, address: str) -> bool:
        """Return whether calls from one address to another are blocked."""
        if source in self._isolated or address in self._isolated:
            return True
        regions = (self._regions.get(source, ""), self._regions.get(address, ""))
        return regions in self.blocked_directions


class PartitionedPeerPool(PeerPool):
    """A pool whose calls wait while the process is paused and fail in blocked directions."""

    def __init__(
        self, source: str, partitions: NetworkPartitions, running: threading.Event
    ) -> None:
        super().__init__(limit=POOL_CHANNELS)
        self._source = source
        self._partitions = partitions
        self._running = running

    def get(self, address: str) -> PeerClient:
        """Return the client of an address; raise `PeerConnectionLost` if it is blocked."""
        self._running.wait(MAX_PAUSE_S)
        if self._partitions.is_blocked(self._source, address):
            raise PeerConnectionLost(f"calls to {address} are blocked")
        return super().get(address)


class PausableTable(Table):
    """A table whose reads wait while the process is paused."""

    def __init__(self, url: str, running: threading.Event) -> None:
        super().__init__(url, PLATFORM_TIMEOUT_S)
        self._running = running

    def get(self, partition: str, sort: str) -> Row | None:
        """Return a row; wait first while the process is paused."""
        if not self._running.wait(MAX_PAUSE_S):
            raise StoreUnavailable("the process is paused")
        return super().get(partition, sort)


@dataclass(frozen=True)
class Adoption:
    """A revision that became active on a node, and when."""

    number: int
    change_id: str
    at: float


@dataclass
class Node:
    """One process: configuration, membership, peer server and the revisions it adopted.

    `recovered_at` is when the last pause ended, or when the node was built.
    """

    id: str
    view: MemberView
    configuration: Configuration
    exchange: Exchange
    peers: PeerPool
    server: PeerServer
    metrics: Metrics
    running: threading.Event
    recovered_at: float
    adoptions: list[Adoption] = field(default_factory=list)

    def start(self) -> None:
        """Start the peer server and the heartbeat exchange."""
        self.server.start()
        self.exchange.start()

    def stop(self) -> None:
        """Stop without notifying the other nodes, as in a crash."""
        self.running.set()
        self.server.stop()
        self.exchange.stop()

    def pause(self) -> None:
        """Suspend all incoming and outgoing calls and all table reads."""
        self.running.clear()

    def resume(self) -> None:
        """Resume suspended calls."""
        self.recovered_at = time.monotonic()
        self.running.set()

    def find_adoption(self, number: int) -> float | None:
        """Return when a revision or a higher one first became active, or None."""
        return next((a.at for a in list(self.adoptions) if a.number >= number), None)


def build_node(
    node_id: str,
    region: str,
    port: int,
    platform_url: str,
    settings: MembershipSettings,
    partitions: NetworkPartitions,
) -> Node:
    """Build one node with the same wiring as a process in the composition root."""
    running = threading.Event()
    running.set()
    # Filled below: the exchange that defines the handlers needs the server's address.
    handlers: dict[str, Callable] = {}
    server = PeerServer(ADDRESS, port, _bind_handlers(handlers, running), SERVER_THREADS)
    partitions.set_region(server.address, region)
    view = MemberView(_make_record(node_id, region, server.address))
    justification = Justification(settings.isolation_grace_s, settings.suspect_after_s)
    configuration = Configuration(justification=justification)
    peers = PartitionedPeerPool(server.address, partitions, running)
    metrics = Metrics(node_id)
    exchange = Exchange(
        view,
        configuration,
        RevisionStore(PausableTable(platform_url, running)),
        VmList(platform_url, PLATFORM_TIMEOUT_S),
        peers,
        settings,
        metrics,
    )
    handlers.update(exchange.handlers)
    now = time.monotonic()
    node = Node(node_id, view, configuration, exchange, peers, server, metrics, running, now)
    configuration.add_listener(
        lambda revision, _: node.adoptions.append(
            Adoption(revision.number, revision.change_id, time.monotonic())
        )
    )
    return node


def _bind_handlers(handlers: dict[str, Callable], running: threading.Event) -> dict[str, Callable]:
    def bind(name: str) -> Callable:
        def serve(message, context):
            running.wait(MAX_PAUSE_S)
            return handlers[name](message, context)

        return serve

    return {m.name: bind(m.name) for m in (EXCHANGE, REVISION, SYNC, PROBE, PUSH, STATUS)}


def _make_record(node_id: str, region: str, address: str) -> MemberRecord:
    return MemberRecord(
        id=node_id,
        role="agent",
        region=region,
        availability_zone=f"{region}-a",
        peer_address=address,
        http_url=f"http://{address}",
        incarnation=int(time.time() * MS_PER_S),
        service="guide-llm",
        serving="-",
        codec=NEWEST_VERSION,
    )
