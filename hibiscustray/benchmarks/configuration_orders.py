"""Orders of the configuration benchmark: an engine that records them, a thread that gives them."""

from __future__ import annotations

import threading

from hibiscustray.deployments import Configuration
from hibiscustray.exceptions import FencingRejected
from hibiscustray.protocols import EngineWeights, LoadWeightsOrder
from hibiscustray.rollout import FencingCounter


class RecordingEngine:
    """Outlives the agents beside it; counts orders taken from the past."""

    def __init__(self, is_checking: bool) -> None:
        self.stale_taken = 0
        self._is_checking = is_checking
        self._last = LoadWeightsOrder("", "", 0, "", 0)
        self._lock = threading.Lock()

    def read_weights(self) -> EngineWeights:
        """Return the last order's digest and fencing number."""
        return EngineWeights(self._last.digest, (), self._last.fencing)

    def load_weights(self, order: LoadWeightsOrder) -> None:
        """Take an order; an engine that checks refuses an old fencing number."""
        with self._lock:
            if self._is_checking and order.fencing <= self._last.fencing:
                raise FencingRejected(f"{order.fencing} is not above {self._last.fencing}")
            if order.revision < self._last.revision or order.fencing <= self._last.fencing:
                self.stale_taken += 1
            self._last = order


class OrderThread:
    """Orders what each justified revision asks for, one at a time."""

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
        self._ordered = 0
        self._changed = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)
        configuration.add_listener(lambda revision, deployment: self._changed.set())

    def start(self) -> None:
        """Begin to follow the configuration."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._changed.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._changed.wait(1.0)
            self._changed.clear()
            self._running.wait()
            if self._configuration.is_justified() and not self._stopping.is_set():
                self._order(self._configuration.number)

    def _order(self, number: int) -> None:
        if number <= self._ordered:
            return
        self._fencing.observe(self._engine.read_weights().fencing)
        order = LoadWeightsOrder(f"{number}", "", self._fencing.next(), self._issuer, number)
        try:
            self._engine.load_weights(order)
        except FencingRejected:
            self._changed.set()
            return
        self._ordered = number
