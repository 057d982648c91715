"""Faults that are injected into a site while a load runs."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.standins.site import Site

SLOWDOWN_FACTOR = 10.0
DRAIN_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Fault:
    """A fault that begins and ends at shares of the run's duration; some faults never end."""

    name: str
    begin: Callable[[Site, int], None]
    end: Callable[[Site, int], None]
    begin_share: float = 0.3
    end_share: float = 0.8


def _kill_replica(site: Site, index: int) -> None:
    site.models[index].agent.stop(0.0)
    site.models[index].engine.stop()


def _stop_responding(site: Site, index: int) -> None:
    site.models[index].engine.set_faults(is_silent=True)


def _slow_down(site: Site, index: int) -> None:
    site.models[index].engine.set_faults(slowdown=SLOWDOWN_FACTOR)


def _restore_engine(site: Site, index: int) -> None:
    site.models[index].engine.set_faults(slowdown=1.0, is_silent=False, is_crossed=False)


def _drain(site: Site, index: int) -> None:
    site.models[index].agent.drain(DRAIN_TIMEOUT_S)
    site.models[index].agent.stop()


def _stop_store(site: Site, index: int) -> None:
    site.platform.set_faults(is_store_down=True)


def _restore_store(site: Site, index: int) -> None:
    site.platform.set_faults(is_store_down=False)


def _do_nothing(site: Site, index: int) -> None:
    return


def _cross_responses(site: Site, index: int) -> None:
    site.models[index].engine.set_faults(is_crossed=True)


FAULTS = {
    "die": Fault("die", _kill_replica, _do_nothing),
    "silent": Fault("silent", _stop_responding, _restore_engine),
    "slow": Fault("slow", _slow_down, _restore_engine),
    "drain": Fault("drain", _drain, _do_nothing),
    "store_outage": Fault("store_outage", _stop_store, _restore_store),
    "crossed": Fault("crossed", _cross_responses, _restore_engine),
    "pause": Fault("pause", _stop_responding, _restore_engine, 0.3, 0.4),
}


def plan_faults(name: str, replicas: int, seed: int) -> list[tuple[Fault, int]]:
    """Return the faults of a run, each with the index of the replica that it affects."""
    if name == "none":
        return []
    chosen = list(FAULTS.values()) if name == "all" else [FAULTS[name]]
    affected = random.Random(seed).sample(range(replicas), min(replicas, len(chosen)))
    return [(fault, affected[index % len(affected)]) for index, fault in enumerate(chosen)]


class FaultSchedule:
    """Begins and ends each fault at its times, in a separate thread for each."""

    def __init__(self, site: Site, faults: list[tuple[Fault, int]], seconds: float) -> None:
        self._site = site
        self._seconds = seconds
        self._faults = faults
        self._threads = [
            threading.Thread(target=self._run, args=(fault, index), daemon=True)
            for fault, index in faults
        ]

    def start(self) -> None:
        """Start the threads; the times of the faults count from this call."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the last fault has ended."""
        for thread in self._threads:
            thread.join()

    def _run(self, fault: Fault, index: int) -> None:
        time.sleep(fault.begin_share * self._seconds)
        fault.begin(self._site, index)
        time.sleep((fault.end_share - fault.begin_share) * self._seconds)
        fault.end(self._site, index)
