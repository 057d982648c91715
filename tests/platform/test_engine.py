"""Tests of the calls to the engine on an agent's VM: their connections and their memory."""

from __future__ import annotations

import threading
import time
import tracemalloc
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from hibiscustray.agent.interface import LoadMode
from hibiscustray.exceptions import ChunkMissing, OriginUnavailable, UpstreamError
from hibiscustray.platform.engine import PlatformEngine
from hibiscustray.platform.origin import PlatformOrigin
from hibiscustray.platform.standins import ReplicaStandIn, respond_with_body

CHUNK_B = 4096
MAX_GROWTH_B = 2 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
BEGINNINGS = {
    "length": OK + b"Content-Length: 99999999\r\n\r\n",
    "no length": OK + b"\r\n",
    "one chunk": OK + b"Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n",
    "head": OK + b"X-Filler: ",
}
CALLS = {
    "report": lambda engine: engine.read_report(),
    "list": lambda engine: engine.list_staged("m"),
    "read": lambda engine: engine.read_staged("m", 1, CHUNK_B),
    "stage": lambda engine: engine.stage("m", 1, b"x" * CHUNK_B),
    "order": lambda engine: engine.order_load("m", 1, LoadMode.FINISH_RUNNING, 0, 1),
}


class KeepAliveEngine:
    """An engine that keeps connections open and counts them; closes each after some requests."""

    def __init__(self, requests_per_connection: int = 1000) -> None:
        engine = self
        self.connections = 0

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                engine.connections += 1
                self.requests = 0

            def respond(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.requests += 1
                # Closed without saying so, as an idle connection is.
                self.close_connection = self.requests == requests_per_connection
                self.send_response(200)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            do_GET = do_PUT = do_POST = respond  # noqa: N815

            def log_message(self, *_: object) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


@pytest.fixture
def endless() -> Iterator[ReplicaStandIn]:
    replica = ReplicaStandIn("i-0", "guide", respond_with_body())
    yield replica
    replica.close()


def send_without_end(beginning: bytes):
    def script(_request, connection) -> None:
        connection.sendall(beginning)
        while True:
            connection.sendall(b"a" * 65536)

    return script


def measure_growth(call) -> int:
    """Return the bytes by which a call's memory peaks."""
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def test_calls_to_the_engine_share_one_connection():
    server = KeepAliveEngine()
    engine = PlatformEngine(server.address)
    for _ in range(20):
        engine.read_report()
        engine.read_staged("m", 1, CHUNK_B)
        engine.stage("m", 1, b"x")
    assert server.connections == 1
    server.close()


def test_order_has_a_connection_of_its_own():
    server = KeepAliveEngine()
    engine = PlatformEngine(server.address)
    engine.read_report()
    CALLS["order"](engine)
    assert server.connections == 2
    server.close()


def test_reads_outlive_connections_that_the_engine_closes():
    server = KeepAliveEngine(requests_per_connection=3)
    engine = PlatformEngine(server.address)
    for _ in range(60):
        engine.read_report()
    assert server.connections <= 21
    server.close()


@pytest.mark.parametrize("beginning", BEGINNINGS)
@pytest.mark.parametrize("call", CALLS)
def test_bytes_without_end_from_the_engine_end_the_call_and_take_little_memory(
    endless, call, beginning
):
    endless.script = send_without_end(BEGINNINGS[beginning])
    engine = PlatformEngine(endless.address)

    def run() -> None:
        with pytest.raises((UpstreamError, ChunkMissing)):
            CALLS[call](engine)

    started_at = time.monotonic()
    assert measure_growth(run) < MAX_GROWTH_B
    assert time.monotonic() - started_at < 5.0


@pytest.mark.parametrize("beginning", BEGINNINGS)
def test_bytes_without_end_from_the_origin_take_little_memory(endless, beginning):
    endless.script = send_without_end(BEGINNINGS[beginning])
    origin = PlatformOrigin(lambda: endless.address)

    def run() -> None:
        with pytest.raises(OriginUnavailable):
            origin.read_range("m?version=1", 0, CHUNK_B)

    assert measure_growth(run) < MAX_GROWTH_B
