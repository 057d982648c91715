"""Tests of the congestion window of requests for chunks."""

from __future__ import annotations

from hibiscustray.weights.window import RequestWindow


def grow(window: RequestWindow, chunks: int) -> list[int]:
    """Let chunks arrive; return the limit after each of them."""
    limits = []
    for _ in range(chunks):
        window.grow()
        limits.append(window.limit)
    return limits


def test_window_opens_as_chunks_arrive():
    window = RequestWindow(4)
    assert window.limit == 2
    assert grow(window, 3) == [3, 4, 4]


def test_window_is_halved_by_failures_and_stays_open():
    window = RequestWindow(5)
    grow(window, 3)
    limits = []
    for _ in range(3):
        window.shrink()
        limits.append(window.limit)
    assert limits == [2, 1, 1]
    assert grow(window, 2) == [2, 3]


def test_window_of_one_request_stays_open():
    assert RequestWindow(1).limit == 1
