"""Each way in which a response may end, and what the client takes it for."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pytest

from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.platform.standins import ReceivedRequest
from hibiscustray.web import HttpClient
from tests.platform.ends import ENDING, Cell, Form, Stop, list_places
from tests.web.test_framing import serve

CONCURRENT = 16
TIMEOUT_S = 0.3
REQUEST = ReceivedRequest("GET", "/", {}, b"")


def call(client: HttpClient) -> bytes:
    return client.call("GET", "/", timeout_s=TIMEOUT_S).body


def read_lines(client: HttpClient) -> bytes:
    stream = client.open("GET", "/", timeout_s=TIMEOUT_S)
    try:
        return b"".join(stream.read_lines())
    finally:
        stream.close()


def read_and_cancel(client: HttpClient) -> bytes:
    cancels: list[Callable[[], None]] = []
    timer = threading.Timer(TIMEOUT_S / 2, lambda: cancels[0]())
    stream = None
    try:
        stream = client.open("GET", "/", on_connect=lambda c: (cancels.append(c), timer.start()))
        return stream.read_all()
    finally:
        timer.cancel()
        if stream is not None:
            stream.close()


def find_fault(cell: Cell, read: Callable[[HttpClient], bytes]) -> str:
    """Return what is wrong with what the client reads of a response, empty if nothing is."""

    def respond(connection: socket.socket) -> None:
        cell.respond(REQUEST, connection)

    sent = cell.find_sent()
    started_at = time.monotonic()
    try:
        body = read(serve(respond))
    except UpstreamConnectionLost:
        body = None
    took_s = time.monotonic() - started_at
    is_ended = not cell.form.is_marked and cell.stop in ENDING
    expected = sent.body if sent.has_mark or sent.has_head and is_ended else None
    if body != expected:
        return f"{cell.name}: read {body!r}"[:300]
    return f"{cell.name}: took {took_s:.2f} s" if took_s > 10 * TIMEOUT_S else ""


@pytest.mark.parametrize("form", Form)
@pytest.mark.parametrize("kind", ["plain_stream", "non_idempotent"])
@pytest.mark.parametrize("read", [call, read_lines, read_and_cancel])
def test_response_that_ends_early_is_not_taken_for_whole_and_a_whole_one_is(read, kind, form):
    stops = [Stop.SILENCE] if read is read_and_cancel else list(Stop)
    sample = Cell(kind, form, 200, "whole", Stop.CLOSE, "1.1", 1)
    cells = [
        Cell(kind, form, 200, place, stop, "1.1", 1)
        for place, sent in list_places(sample, "").items()
        for stop in stops
        if stop is not Stop.PAUSE
        and (stop not in (Stop.SECOND, Stop.GARBAGE) or place == "whole" and sent.has_mark)
    ]
    with ThreadPoolExecutor(CONCURRENT) as pool:
        faults = [fault for fault in pool.map(lambda cell: find_fault(cell, read), cells) if fault]
    assert not faults, "\n".join([f"{len(faults)} faults in {len(cells)} cells", *faults])
