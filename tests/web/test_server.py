"""Tests of the HTTP server."""

from __future__ import annotations

import contextlib
import socket

import pytest

from hibiscustray.web import HttpServer
from tests.waiting import wait_until


def respond(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


def test_closed_idle_connections_are_logged_with_the_timeout(monkeypatch, caplog):
    monkeypatch.setattr("hibiscustray.web.server.CLEANUP_INTERVAL_S", 0)
    caplog.set_level("INFO")
    server = HttpServer(respond, "127.0.0.1", 0, threads=1)
    server.set_limits(idle_timeout_s=1, header_timeout_s=1.0, max_body_b=10)
    server.start()
    try:
        connections = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(2)]
        wait_until(lambda: sum(line.idle for line in list_lines(caplog)) == 2)
        for connection in connections:
            connection.close()
    finally:
        server.stop()
    lines = list_lines(caplog)
    assert all(line.idle_timeout_s == 1 and line.late_headers == 0 for line in lines)


@pytest.mark.parametrize("version", ["1.0", "1.2", "2.0"])
@pytest.mark.parametrize("length", ["", "Content-Length: 4\r\n"], ids=["no length", "length"])
def test_chunked_body_of_another_version_is_not_run_without_its_body(version, length):
    requests = []

    def record(environ, start_response):
        requests.append((environ["REQUEST_URI"], environ["wsgi.input"].read()))
        return respond(environ, start_response)

    hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
    head = f"POST /a HTTP/{version}\r\nHost: a\r\nConnection: keep-alive\r\n{length}"
    body = f"{len(hidden):x}\r\n{hidden}\r\n0\r\n\r\n"
    server = HttpServer(record, "127.0.0.1", 0, threads=1)
    server.start()
    try:
        with socket.create_connection(("127.0.0.1", server.port), timeout=5.0) as connection:
            connection.sendall(f"{head}Transfer-Encoding: chunked\r\n\r\n{body}".encode())
            data = b""
            with contextlib.suppress(ConnectionResetError):
                while block := connection.recv(65536):
                    data += block
    finally:
        server.stop()
    assert (requests, data.split(b" ")[1]) == ([], b"400")


@pytest.mark.parametrize("length", [True, False], ids=["length", "chunks"])
def test_response_to_head_has_no_body_that_could_be_taken_for_the_next_one(length):
    def application(environ, start_response):
        start_response("404 Not Found", [("Content-Length", "4")] * length)
        return iter([b"seat"])

    server = HttpServer(application, "127.0.0.1", 0, threads=1)
    server.start()
    try:
        with socket.create_connection(("127.0.0.1", server.port), timeout=5.0) as connection:
            data = b""
            connection.sendall(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
            while b"\r\n\r\n" not in data:
                data += connection.recv(65536)
            if length:
                connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            while block := connection.recv(65536):
                data += block
    finally:
        server.stop()
    head, _, rest = data.partition(b"\r\n\r\n")
    framing = b"Content-Length: 4" if length else b"Transfer-Encoding: chunked"
    assert framing in head
    assert rest.startswith(b"HTTP/1.1 404") if length else rest == b""


def list_lines(caplog):
    return [r for r in caplog.records if r.message == "connections closed"]
