"""Ends of responses to callers: one that is broken off must not look whole."""

from __future__ import annotations

import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.web import HttpServer
from hibiscustray.web.server import END_WITH_CONNECTION
from tests.platform.raw_caller import End, RawResponse, read_raw

BLOCKS = [b"seat" * 10, b"host" * 10]
ROOT = Path(__file__).parents[2]
SERVE = """
from tests.web.test_response_ends import Application, HttpServer
server = HttpServer(Application({ends_with_connection}), "127.0.0.1", 0, threads=2)
server.start()
print(server.port, flush=True)
input()
"""


class Application:
    """Responds with `BLOCKS`, without a length if `ends_with_connection`.

    After the first block it waits for `resume`, then raises `error` if that is set.
    """

    def __init__(self, ends_with_connection: bool, error: Exception | None = None) -> None:
        self.resume = threading.Event()
        self._ends_with_connection = ends_with_connection
        self._error = error

    def __call__(self, environ, start_response):
        if self._ends_with_connection:
            environ[END_WITH_CONNECTION]()
        start_response("200 OK", [])
        return self._make_blocks()

    def _make_blocks(self):
        yield BLOCKS[0]
        self.resume.wait(5.0)
        if self._error is not None:
            raise self._error
        yield BLOCKS[1]


def call(application, version: str = "1.1", while_open=lambda server: None) -> RawResponse:
    """Serve an application, send one request and read its response."""
    server = HttpServer(application, "127.0.0.1", 0, threads=2)
    server.start()
    try:
        with socket.create_connection((server.address, server.port), timeout=5.0) as connection:
            connection.sendall(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
            time.sleep(0.2)
            while_open(server)
            return read_raw(connection)
    finally:
        server.stop()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("ends_with_connection", [False, True])
def test_whole_response_is_not_reset(version, ends_with_connection):
    application = Application(ends_with_connection)
    application.resume.set()
    response = call(application, version)
    is_chunked = version == "1.1" and not ends_with_connection
    assert response.body == b"".join(BLOCKS)
    assert response.end is (End.WHOLE if is_chunked else End.CLOSED)
    assert response.headers["connection"] == "close"


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("ends_with_connection", [False, True])
@pytest.mark.parametrize("error", [UpstreamConnectionLost("lost"), OSError("lost"), KeyError()])
def test_response_that_fails_within_its_body_does_not_look_whole(
    version, ends_with_connection, error
):
    application = Application(ends_with_connection, error)
    application.resume.set()
    assert call(application, version).is_broken


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("ends_with_connection", [False, True])
def test_response_under_way_when_the_server_stops_does_not_look_whole(
    version, ends_with_connection, monkeypatch
):
    monkeypatch.setattr("hibiscustray.web.server.FINISH_TIMEOUT_S", 0.1)
    application = Application(ends_with_connection)
    assert call(application, version, lambda server: server.stop()).is_broken
    application.resume.set()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("ends_with_connection", [False, True])
def test_response_under_way_when_the_process_is_killed_does_not_look_whole(
    version, ends_with_connection
):
    script = SERVE.format(ends_with_connection=ends_with_connection)
    with subprocess.Popen(
        [sys.executable, "-c", script], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        try:
            port = int(process.stdout.readline())
            with socket.create_connection(("127.0.0.1", port), timeout=5.0) as connection:
                connection.sendall(f"GET / HTTP/{version}\r\nHost: a\r\n\r\n".encode())
                received = b""
                while BLOCKS[0] not in received:
                    received += connection.recv(65536)
                process.kill()
                if ends_with_connection or version == "1.0":
                    with pytest.raises(ConnectionResetError):
                        connection.recv(65536)
                else:
                    assert connection.recv(65536) == b""
        finally:
            process.kill()
    assert b"\r\n0\r\n" not in received


def test_one_block_that_ends_with_the_connection_has_no_length():
    def application(environ, start_response):
        environ[END_WITH_CONNECTION]()
        start_response("200 OK", [])
        return [BLOCKS[0]]

    response = call(application)
    assert (response.body, response.end) == (BLOCKS[0], End.CLOSED)


@pytest.mark.parametrize("name", ["A-Transfer-Encoding", "X-Transfer-Encoding"])
def test_header_that_resembles_the_framing_is_kept(name):
    def application(environ, start_response):
        environ[END_WITH_CONNECTION]()
        start_response("200 OK", [(name, "chunked")])
        return iter(BLOCKS)

    response = call(application)
    assert (response.body, response.end) == (b"".join(BLOCKS), End.CLOSED)
    assert response.headers[name.lower()] == "chunked"


def test_long_response_that_ends_with_the_connection_is_sent_whole_before_the_server_stops():
    body = b"seat" * 1024 * 1024

    def application(environ, start_response):
        environ[END_WITH_CONNECTION]()
        start_response("200 OK", [])
        return [body]

    stopping: list[threading.Thread] = []

    def stop(server: HttpServer) -> None:
        stopping.append(threading.Thread(target=server.stop))
        stopping[0].start()

    response = call(application, while_open=stop)
    stopping[0].join()
    assert (response.body == body, response.end) == (True, End.CLOSED)
