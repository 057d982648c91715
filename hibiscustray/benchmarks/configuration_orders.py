"""Load orders of the configuration benchmark: an engine for them and a thread that sends them."""

from __future__ import annotations

import threading

from hibiscustray.deployments import Configuration
from hibiscustray.exceptions import FencingRejected
from hibiscustray.protocols import EngineWeights, LoadWeightsOrder
from hibiscustray.rollout import FencingCounter


class RecordingEngine:
    """Keeps its last load order across restarts of the node; counts stale orders it accepted."""

    def __init__(self, checks_fencing: bool) -> None:
        self.stale_orders_taken = 0
        self._checks_fencing = checks_fencing
        self._last_order = LoadWeightsOrder("", "", 0, "", 0)
        self._lock = threading.Lock()

    def read_weights(self) -> EngineWeights:
        """Return the last order's digest and fencing number."""
        return EngineWeights(self._last_order.digest, (), self._last_order.fencing)

    def load_weights(self, order: LoadWeightsOrder) -> None:
        """Accept an order; with the fencing check, reject a fencing number that is not higher."""
        with self._lock:
            if self._checks_fencing and order.fencing <= self._last_order.fencing:
                raise FencingRejected(
                    f"fencing number {order.fencing} is not above {self._last_order.fencing}"
                )
            if (
                order.revision < self._last_order.revision
                or order.fencing <= self._last_order.fencing
            ):
                self.stale_orders_taken += 1
            self._last_order = order


class OrderThread:
    """Sends a load order to the engine for each new revision while the node may serve it."""

    def __init__(
        self,
        engine: RecordingEngine,
        configuration: Configuration,
        incarnation: int,
        issuer: str,
        running: threading.Event,
    ) -> None:
        self._engine = engine
        self._configuration = configuration
        self._fencing = FencingCounter(incarnation)
        self._issuer = issuer
        self._running = running
        self._last_revision = 0
        self._changed = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)
        configuration.add_listener(lambda revision, deployment: self._changed.set())

    def start(self) -> None:
        """Start sending orders for configuration changes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for its end."""
        self._stopping.set()
        self._changed.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._changed.wait(1.0)
            self._changed.clear()
            self._running.wait()
            if self._configuration.is_justified() and not self._stopping.is_set():
                self._send_order(self._configuration.number)

    def _send_order(self, revision: int) -> None:
        if revision <= self._last_revision:
            return
        self._fencing.observe(self._engine.read_weights().fencing)
        order = LoadWeightsOrder(f"{revision}", "", self._fencing.next(), self._issuer, revision)
        try:
            self._engine.load_weights(order)
        except FencingRejected:
            self._changed.set()
            return
        self._last_revision = revision
