"""The fleet of the configuration benchmark: nodes, the platform's stand-in and counters."""

from __future__ import annotations

import threading
import time

from hibiscustray.benchmarks.configuration_nodes import REGIONS, NetworkPartitions, Node, build_node
from hibiscustray.benchmarks.configuration_orders import OrderThread, RecordingEngine
from hibiscustray.settings import MembershipSettings
from hibiscustray.standins.platform import PlatformStandIn

ADDRESS = "127.0.0.1"
ORIGIN_MBIT_S = 100.0
WATCH_INTERVAL_S = 0.2
START_BATCH_NODES = 20
BATCH_INTERVAL_S = 0.5
SETTINGS = MembershipSettings()


class NodeFleet:
    """Builds and restarts nodes in this process and counts reverted revisions."""

    def __init__(self, size: int, seed: int, settings: MembershipSettings = SETTINGS) -> None:
        self.platform = PlatformStandIn(ADDRESS, 0, 0, ORIGIN_MBIT_S, {}, seed)
        self.partitions = NetworkPartitions()
        self.regions = list(REGIONS)
        self.reverted = 0
        self.replaced_nodes: list[Node] = []
        self._settings = settings
        self._highest_revisions: dict[str, int] = {}
        self._nodes: dict[str, Node] = {}
        self._order_threads: dict[str, OrderThread] = {}
        self._engines = {f"node-{i:04d}": RecordingEngine(i % 2 == 0) for i in range(size)}
        self._stopping = threading.Event()
        self._watcher = threading.Thread(
            target=self._count_reverted_revisions, name="watch", daemon=True
        )
        for index, node_id in enumerate(self._engines):
            self._build(node_id, REGIONS[index % len(REGIONS)])

    @property
    def stale_orders_taken(self) -> int:
        """Return how many stale load orders the engines accepted."""
        return sum(engine.stale_orders_taken for engine in self._engines.values())

    @property
    def bytes_moved(self) -> int:
        """Return the total bytes of all answered peer calls."""
        return sum(node.peers.bytes_moved for node in [*self.replaced_nodes, *self.list_nodes()])

    @property
    def calls_made(self) -> int:
        """Return how many peer calls were answered."""
        return sum(node.peers.calls_made for node in [*self.replaced_nodes, *self.list_nodes()])

    def start(self) -> None:
        """Start the platform's stand-in, then the nodes in batches."""
        self.platform.start()
        for index, node in enumerate(self.list_nodes()):
            node.start()
            self._order_threads[node.id].start()
            if index % START_BATCH_NODES == 0:
                time.sleep(BATCH_INTERVAL_S)
        self._watcher.start()

    def stop(self) -> None:
        """Stop all nodes, their order threads and the platform's stand-in."""
        self._stopping.set()
        self._watcher.join()
        for node in self.list_nodes():
            node.stop()
        for order_thread in self._order_threads.values():
            order_thread.stop()
        self.platform.stop()

    def list_nodes(self) -> list[Node]:
        """Return the current nodes, without those that a restart has replaced."""
        return list(self._nodes.values())

    def restart(self, node_id: str) -> None:
        """Replace a node by one without state at the same address, without notifying the others."""
        old = self._nodes[node_id]
        old.stop()
        self._order_threads[node_id].stop()
        self.replaced_nodes.append(old)
        node = self._build(node_id, old.view.own.region, old.server.port)
        node.start()
        self._order_threads[node_id].start()

    def _build(self, node_id: str, region: str, port: int = 0) -> Node:
        node = build_node(node_id, region, port, self.platform.url, self._settings, self.partitions)
        own = node.view.own
        self.platform.add_vm(node_id, own.availability_zone, own.peer_address)
        self._order_threads[node_id] = OrderThread(
            self._engines[node_id], node.configuration, own.incarnation, node_id, node.running
        )
        self._nodes[node_id] = node
        return node

    def _count_reverted_revisions(self) -> None:
        """Count how often a node may serve a lower revision than it served before."""
        while not self._stopping.wait(WATCH_INTERVAL_S):
            for node in self.list_nodes():
                number = node.configuration.number
                if not node.configuration.is_justified():
                    continue
                if number < self._highest_revisions.get(node.id, 0):
                    self.reverted += 1
                self._highest_revisions[node.id] = max(
                    number, self._highest_revisions.get(node.id, 0)
                )
