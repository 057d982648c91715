"""The fleet of the configuration benchmark: nodes, platform and what was seen of them."""

from __future__ import annotations

import threading
import time

from hibiscustray.benchmarks.configuration_nodes import REGIONS, CutTable, Node, build_node
from hibiscustray.benchmarks.configuration_orders import OrderThread, RecordingEngine
from hibiscustray.settings import MembershipSettings
from hibiscustray.standins.platform import PlatformStandIn

ADDRESS = "127.0.0.1"
ORIGIN_MBIT_S = 100.0
WATCH_INTERVAL_S = 0.2
START_BATCH = 20
START_GAP_S = 0.5
SETTINGS = MembershipSettings()


class Fleet:
    """Builds, restarts and watches nodes in this process."""

    def __init__(self, size: int, seed: int, settings: MembershipSettings = SETTINGS) -> None:
        self.platform = PlatformStandIn(ADDRESS, 0, 0, ORIGIN_MBIT_S, {}, seed)
        self.cuts = CutTable()
        self.regions = list(REGIONS)
        self.reverted = 0
        self.retired: list[Node] = []
        self._settings = settings
        self._highest: dict[str, int] = {}
        self._nodes: dict[str, Node] = {}
        self._orders: dict[str, OrderThread] = {}
        self._engines = {f"node-{i:04d}": RecordingEngine(i % 2 == 0) for i in range(size)}
        self._stopping = threading.Event()
        self._watcher = threading.Thread(target=self._watch, name="watch", daemon=True)
        for index, node_id in enumerate(self._engines):
            self._build(node_id, REGIONS[index % len(REGIONS)])

    @property
    def stale_orders_taken(self) -> int:
        """Return how many orders from the past the engines took."""
        return sum(engine.stale_taken for engine in self._engines.values())

    @property
    def bytes_moved(self) -> int:
        """Return the bytes of all answered peer calls."""
        return sum(node.peers.bytes_moved for node in [*self.retired, *self.list_nodes()])

    @property
    def calls_made(self) -> int:
        """Return how many peer calls were answered."""
        return sum(node.peers.calls_made for node in [*self.retired, *self.list_nodes()])

    def start(self) -> None:
        """Start the platform, then the nodes in batches."""
        self.platform.start()
        for index, node in enumerate(self.list_nodes()):
            node.start()
            self._orders[node.id].start()
            if index % START_BATCH == 0:
                time.sleep(START_GAP_S)
        self._watcher.start()

    def stop(self) -> None:
        """Stop everything."""
        self._stopping.set()
        self._watcher.join()
        for node in self.list_nodes():
            node.stop()
        for orders in self._orders.values():
            orders.stop()
        self.platform.stop()

    def list_nodes(self) -> list[Node]:
        """Return the nodes that run now."""
        return list(self._nodes.values())

    def restart(self, node_id: str) -> None:
        """Replace a node by one with empty memory at its address; nobody is told."""
        old = self._nodes[node_id]
        old.stop()
        self._orders[node_id].stop()
        self.retired.append(old)
        node = self._build(node_id, old.view.own.region, old.server.port)
        node.start()
        self._orders[node_id].start()

    def _build(self, node_id: str, region: str, port: int = 0) -> Node:
        node = build_node(node_id, region, port, self.platform.url, self._settings, self.cuts)
        own = node.view.own
        self.platform.add_vm(node_id, own.availability_zone, own.peer_address)
        self._orders[node_id] = OrderThread(
            self._engines[node_id], node.configuration, own.incarnation, node_id, node.running
        )
        self._nodes[node_id] = node
        return node

    def _watch(self) -> None:
        """Count each time that a process may serve a lower revision than it did before."""
        while not self._stopping.wait(WATCH_INTERVAL_S):
            for node in self.list_nodes():
                number = node.configuration.number
                if not node.configuration.is_justified():
                    continue
                if number < self._highest.get(node.id, 0):
                    self.reverted += 1
                self._highest[node.id] = max(number, self._highest.get(node.id, 0))
