"""Tests of the congestion window of requests for chunks."""

from __future__ import annotations

from hibiscustray.weights.window import RequestWindow


def record(window: RequestWindow, *taken_s: float) -> list[int]:
    """Let chunks arrive after some seconds; return the limit after each of them."""
    limits = []
    for seconds in taken_s:
        window.record_arrival(seconds)
        limits.append(window.limit)
    return limits


def test_window_opens_as_chunks_arrive_promptly():
    window = RequestWindow(4)
    assert window.limit == 2
    assert record(window, 0.1, 0.1, 0.1) == [3, 4, 4]


def test_window_closes_as_chunks_take_long():
    """Guards against a standing queue of chunks in front of requests (GONE, VERSION)."""
    window = RequestWindow(5)
    record(window, 0.1, 0.1, 0.1)
    assert record(window, 0.6, 1.5, 1.5, 1.5, 0.6) == [5, 2, 1, 1, 1]


def test_window_is_halved_by_failures_and_stays_open():
    window = RequestWindow(5)
    record(window, 0.1, 0.1, 0.1)
    limits = []
    for _ in range(3):
        window.record_failure()
        limits.append(window.limit)
    assert limits == [2, 1, 1]
    assert record(window, 0.1, 0.1) == [2, 3]


def test_window_of_one_request_stays_open():
    assert RequestWindow(1).limit == 1
