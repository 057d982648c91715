"""Tests of polling the load of an upstream."""

from __future__ import annotations

import threading

from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.protocols.engine import EngineLoad


class Engine:
    """A fake upstream that reports three waiting requests and signals its second read."""

    def __init__(self) -> None:
        self.reads = 0
        self.was_read_twice = threading.Event()

    def read_load(self) -> EngineLoad:
        self.reads += 1
        if self.reads >= 2:
            self.was_read_twice.set()
        return EngineLoad(waiting=3)


def test_a_busy_upstream_is_polled():
    engine = Engine()
    load = UpstreamLoad(engine, lambda: True)
    load.start()
    assert engine.was_read_twice.wait(30.0)
    load.stop()
    assert load.waiting == 3


def test_an_idle_upstream_is_not_polled():
    engine = Engine()
    polls = threading.Semaphore(0)

    def record_query() -> bool:
        polls.release()
        return False

    load = UpstreamLoad(engine, record_query)
    load.start()
    assert all(polls.acquire(timeout=30.0) for _ in range(3))
    load.stop()
    assert (engine.reads, load.waiting) == (0, 0)
