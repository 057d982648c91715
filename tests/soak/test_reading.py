"""What callers can tell of the end of a response."""

from __future__ import annotations

import http.client
import socket
import struct
import threading

import pytest

from hibiscustray.platform.standins import CallerResponse, call_entry
from hibiscustray.soak.reading import ResponseEnd

HEAD = b"HTTP/1.1 200 OK\r\n"
LENGTH = HEAD + b"Content-Length: 6\r\n\r\n"
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n0006\r\nwhole!\r\n"
CLOSED = HEAD + b"\r\n"
RESET = struct.pack("ii", 1, 0)


def receive(data: bytes, is_reset: bool = False, timeout_s: float = 3.0) -> CallerResponse:
    """Return what a caller receives from a server that sends bytes and ends the connection."""
    done = threading.Event()

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(data)
            if timeout_s < 1.0:
                done.wait(5.0)
            if is_reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
        try:
            return call_entry(connection, "GET", "/book/look/1", b"", "r1", "key", 2.5)
        finally:
            done.set()
            connection.close()
            thread.join()


@pytest.mark.parametrize(
    ("data", "end"),
    [
        (LENGTH + b"whole!", ResponseEnd.CERTAIN),
        (LENGTH + b"who", ResponseEnd.CUT),
        (LENGTH, ResponseEnd.CUT),
        (CHUNKS + b"0\r\n\r\n", ResponseEnd.CERTAIN),
        (CHUNKS + b"0\r\n", ResponseEnd.CERTAIN),
        (CHUNKS + b"0", ResponseEnd.CUT),
        (CHUNKS + b"000", ResponseEnd.CUT),
        (CHUNKS, ResponseEnd.CUT),
        (CHUNKS[:-5], ResponseEnd.CUT),
        (CLOSED + b"whole!", ResponseEnd.CLOSED),
        (CLOSED, ResponseEnd.CLOSED),
    ],
)
def test_a_caller_tells_a_marked_end_from_the_end_of_the_connection(data, end):
    response = receive(data)
    assert (response.status, response.end) == (200, end)
    assert response.is_ended == (end in (ResponseEnd.CERTAIN, ResponseEnd.CLOSED))
    assert b"whole!".startswith(response.body)


@pytest.mark.parametrize("data", [LENGTH + b"who", CHUNKS, CLOSED + b"whole!"])
@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
def test_a_caller_tells_a_reset_and_a_silence_from_an_orderly_end(data, is_silent):
    response = receive(data, is_reset=True, timeout_s=0.2 if is_silent else 3.0)
    assert response.end is (ResponseEnd.SILENT if is_silent else ResponseEnd.RESET)
    assert not response.is_ended


@pytest.mark.parametrize("size", range(len(LENGTH)))
def test_a_head_that_is_cut_is_no_response(size):
    with pytest.raises((OSError, http.client.HTTPException)):
        receive(LENGTH[:size])
