"""Memory of whole responses that are read at the same time."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.exceptions import ResponseInvalid, UpstreamConnectionLost
from hibiscustray.gateway import memory as memory_module
from hibiscustray.gateway.memory import ResponseMemory
from tests.waiting import wait_until

BLOCK = b"s" * 1000


class Response:
    """A response of some blocks; each but the first waits until `go_on` is set."""

    def __init__(self, blocks: int, go_on: threading.Event | None = None) -> None:
        self.read = 0
        self._blocks = blocks
        self._go_on = go_on

    def read_block(self) -> bytes:
        if self.read and self._go_on is not None:
            self._go_on.wait(5.0)
        if self.read == self._blocks:
            return b""
        self.read += 1
        return BLOCK


@pytest.fixture
def memory(monkeypatch):
    monkeypatch.setattr(memory_module, "MAX_TOTAL_B", 4 * len(BLOCK))
    return ResponseMemory()


def make_watch(deadline: float = float("inf")):
    return Watchdog().watch(lambda: None, deadline)


def test_response_waits_for_memory_until_another_ends(memory):
    go_on = threading.Event()
    slow = [Response(2, go_on) for _ in range(3)]
    with ThreadPoolExecutor(8) as threads:
        running = [threads.submit(memory.read, response, make_watch()) for response in slow]
        wait_until(lambda: all(response.read for response in slow))
        waiting = threads.submit(memory.read, Response(2), make_watch())
        time.sleep(0.2)
        assert not waiting.done()
        go_on.set()
        results = [future.exception(5.0) for future in [*running, waiting]]
    assert all(error is None or isinstance(error, ResponseInvalid) for error in results)
    assert results.count(None) >= 3


def test_responses_that_all_wait_for_memory_do_not_wait_for_each_other(memory):
    go_on = threading.Event()
    responses = [Response(4, go_on) for _ in range(4)]
    with ThreadPoolExecutor(8) as threads:
        running = [threads.submit(memory.read, response, make_watch()) for response in responses]
        wait_until(lambda: all(response.read for response in responses))
        started_at = time.monotonic()
        go_on.set()
        results = [future.exception(5.0) for future in running]
    assert time.monotonic() - started_at < 2.0
    assert all(error is None or isinstance(error, ResponseInvalid) for error in results)
    assert None in results


def test_waiting_for_memory_ends_with_its_attempt_and_leaves_no_memory_reserved(memory):
    go_on = threading.Event()
    holder = Response(4)
    holder.read_block = _hold(go_on)
    with ThreadPoolExecutor(8) as threads:
        running = threads.submit(memory.read, holder, make_watch())
        time.sleep(0.1)
        watch = make_watch()
        waiting = threads.submit(memory.read, Response(2), watch)
        time.sleep(0.1)
        watch.supersede()
        assert isinstance(waiting.exception(2.0), UpstreamConnectionLost)
        go_on.set()
        assert running.result(2.0) == BLOCK * 4
    assert memory.read(Response(4), make_watch()) == BLOCK * 4


def _hold(go_on: threading.Event):
    blocks = [BLOCK] * 4

    def read_block() -> bytes:
        if blocks:
            return blocks.pop()
        go_on.wait(5.0)
        return b""

    return read_block
