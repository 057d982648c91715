"""Faults of the configuration benchmark, injected before and after each change."""

from __future__ import annotations

import random
import threading
import time

from hibiscustray.benchmarks.configuration_fleet import NodeFleet
from hibiscustray.benchmarks.names import CONFIGURATION_FAULTS

OUTAGE_S = 8.0
PAUSE_S = 4.0
PARTITION_S = 4.0
LOST_ANSWER_SHARE = 0.3
LATE_WRITE_S = 0.3
STALE_READ_S = 0.5
AFFECTED_SHARE = 0.1
"""Share of the nodes that are paused or restarted."""


class FaultInjector:
    """Injects the faults of a run into a fleet before and after each change."""

    def __init__(self, fleet: NodeFleet, faults: str, seed: int) -> None:
        self._fleet = fleet
        self._kinds = set(CONFIGURATION_FAULTS[1:-1]) if faults == "all" else {faults}
        self._rng = random.Random(seed)
        self._timers: list[threading.Timer] = []

    @property
    def is_racing(self) -> bool:
        """Return whether several operators change the configuration concurrently."""
        return "race" in self._kinds

    def inject_before(self) -> None:
        """Inject the faults that affect a change while it is being accepted."""
        if "lost_answers" in self._kinds:
            self._fleet.platform.set_faults(
                lost_answer_share=LOST_ANSWER_SHARE,
                late_write_s=LATE_WRITE_S,
                stale_read_s=STALE_READ_S,
            )
        if "partition" in self._kinds:
            regions = self._rng.sample(self._fleet.regions, 2)
            self._fleet.partitions.blocked_directions = frozenset({(regions[0], regions[1])})
            self._run_later(PARTITION_S, self._end_partition)
        if "pause" in self._kinds:
            nodes = self._choose_nodes()
            for node in nodes:
                node.pause()
            self._run_later(PAUSE_S, lambda: [node.resume() for node in nodes])

    def inject_after(self) -> None:
        """Inject the faults that affect the distribution of a change that was just accepted."""
        if "store_outage" in self._kinds:
            self._fleet.platform.set_faults(is_store_down=True)
            self._run_later(OUTAGE_S, lambda: self._fleet.platform.set_faults(is_store_down=False))
        if "restart" in self._kinds:
            for node in self._choose_nodes():
                if node.running.is_set():
                    self._fleet.restart(node.id)

    def wait_for_end(self) -> None:
        """Wait until all faults have ended and the store has applied its delayed writes."""
        for timer in self._timers:
            timer.join()
        self._timers.clear()
        self._fleet.platform.set_faults(
            is_store_down=False, lost_answer_share=0.0, late_write_s=0.0, stale_read_s=0.0
        )
        while self._fleet.platform.late_writes:
            time.sleep(0.05)

    def _choose_nodes(self):
        nodes = self._fleet.list_nodes()
        return self._rng.sample(nodes, max(1, int(len(nodes) * AFFECTED_SHARE)))

    def _end_partition(self) -> None:
        self._fleet.partitions.blocked_directions = frozenset()

    def _run_later(self, delay_s: float, action) -> None:
        timer = threading.Timer(delay_s, action)
        timer.daemon = True
        timer.start()
        self._timers.append(timer)
