"""Responses whose head and waits are bounded."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from hibiscustray.exceptions import ResponseInvalid, UpstreamConnectionLost
from hibiscustray.web import HttpClient
from hibiscustray.web import client as client_module

TIMEOUT_S = 0.5


def serve(*steps: tuple[float, bytes]) -> HttpClient:
    """Serve one connection: after each pause in seconds, send bytes. Return a client for it."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        connection, _ = listener.accept()
        with listener, connection, contextlib.suppress(OSError):
            connection.recv(65536)
            for pause_s, data in steps:
                time.sleep(pause_s)
                connection.sendall(data)

    threading.Thread(target=run, daemon=True).start()
    return HttpClient(f"http://127.0.0.1:{listener.getsockname()[1]}", TIMEOUT_S)


def test_slow_head_leaves_the_whole_timeout_for_each_wait_in_the_body():
    client = serve(
        (0.3, b"HTTP/1.1 200 OK\r\n"),
        (0.1, b"Content-Length: 2\r\n\r\n"),
        (0.35, b"a"),
        (0.35, b"b"),
    )
    assert client.call("GET", "/").body == b"ab"


def test_head_that_trickles_ends_at_its_timeout():
    client = serve((0.0, b"HTTP/1.1 200 OK\r\n"), *((0.2, b"X-A: b\r\n") for _ in range(10)))
    started_at = time.monotonic()
    with pytest.raises(UpstreamConnectionLost):
        client.call("GET", "/")
    assert time.monotonic() - started_at < 2 * TIMEOUT_S


def test_body_that_trickles_ends_at_its_timeout():
    client = serve((0.0, b"HTTP/1.1 200 OK\r\n\r\n"), *((0.2, b"a") for _ in range(20)))
    stream = client.open("GET", "/")
    started_at = time.monotonic()
    with pytest.raises(UpstreamConnectionLost):
        stream.read_all(timeout_s=1.0)
    assert time.monotonic() - started_at < 1.5


def test_body_and_line_over_their_limits_raise(monkeypatch):
    monkeypatch.setattr(client_module, "MAX_BODY_B", 1000)
    monkeypatch.setattr(client_module, "MAX_LINE_B", 1000)
    data = b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 2000
    with pytest.raises(ResponseInvalid):
        serve((0.0, data)).call("GET", "/")
    with pytest.raises(ResponseInvalid):
        list(serve((0.0, data)).open("GET", "/").read_lines())
