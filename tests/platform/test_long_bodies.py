"""Long bodies of requests at one entry: its memory, and the requests beside them."""

from __future__ import annotations

import contextlib
import http.client
import os
import socket
import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import pytest

from hibiscustray.platform.standins import (
    ATTEMPT_ID,
    HOST,
    KEY,
    ReplicaStandIn,
    StoreStandIn,
    make_configuration,
    read_readiness,
    respond_with_body,
)
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.web import BodyBudget, HttpClient, HttpServer
from hibiscustray.web.bodies import BodyShare
from hibiscustray.web.server import ServerChannel
from hibiscustray.web.status import StatusApplication
from tests.waiting import wait_until

LONG_B = 4_190_000
REQUESTERS = 98
SLOW = 6
"""Requesters that send one byte a second."""
MAX_PEAK_MB = 240.0
START_TIMEOUT_S = 30.0
LIMITS = make_configuration()["limits"] | {"bodyBytes": 4_194_304}


def encode_head(length: int, path: str = "/book/1", **headers: str) -> bytes:
    fields = {
        "Host": HOST,
        ATTEMPT_ID: uuid.uuid4().hex,
        "Authorization": f"Bearer {KEY}",
        "X-Hibiscustray-Deadline-Ms": "4000",
        "Content-Length": str(length),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = (f"{name}: {value}" for name, value in fields.items() if value)
    return "\r\n".join((f"POST {path} HTTP/1.1", *lines, "\r\n")).encode()


@contextmanager
def run_entry(folder: Path, work_s: float = 0.3):
    """Run an entry as a process with two replicas; yield its program and the replicas."""

    def respond(request, connection) -> None:
        time.sleep(work_s if len(request.body) > 1000 else 0.01)
        respond_with_body(body=b"seat")(request, connection)

    store = StoreStandIn()
    store.put("op", "config", make_configuration(limits=LIMITS))
    replicas = [ReplicaStandIn(f"i-{n}", "booking", respond) for n in range(2)]
    for replica in replicas:
        store.put("servers", replica.id, replica.make_row(slots=200))
    program = EntryProgram(0, store.address, folder)
    try:
        program.start()
        wait_until(lambda: is_ready(program), START_TIMEOUT_S)
        yield program, replicas
        program.check_running()
    finally:
        program.kill()
        store.close()
        for replica in replicas:
            replica.close()


def is_ready(program: EntryProgram) -> bool:
    with contextlib.suppress(OSError, http.client.HTTPException):
        return read_readiness(program.readiness_address) == 200
    return False


def connect(program: EntryProgram) -> socket.socket:
    host, _, port = program.callers_address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10.0)


def read_peak_mb(program: EntryProgram) -> float:
    """Return the most memory that a process has occupied so far, in megabytes."""
    status = Path(f"/proc/{program.pid}/status").read_text()
    [line] = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) * 1024 / 1e6


def read_response(connection: socket.socket) -> http.client.HTTPResponse:
    response = http.client.HTTPResponse(connection)
    response.begin()
    response.read()
    return response


def send_body(program: EntryProgram, body: bytes) -> int:
    """Send a booking on a new connection; return its status, 0 if there is no response."""
    with contextlib.suppress(OSError, http.client.HTTPException), connect(program) as connection:
        connection.sendall(encode_head(len(body)))
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.sendall(body)
        return read_response(connection).status
    return 0


# Guards against an entry that is ended for its memory, with all requests that it has read (LOST).
@pytest.mark.timed
def test_long_bodies_leave_an_entry_within_its_memory_and_short_requests_beside_them(tmp_path):
    body = os.urandom(LONG_B)
    statuses: Counter[int] = Counter()
    short: Counter[int] = Counter()
    is_over = threading.Event()

    def send_long() -> None:
        for _ in range(3):
            statuses[send_body(program, body)] += 1

    def send_short() -> None:
        while not is_over.wait(0.05):
            short[send_body(program, b"x" * 100)] += 1

    def send_slowly() -> None:
        with contextlib.suppress(OSError), connect(program) as connection:
            connection.sendall(encode_head(LONG_B))
            while not is_over.wait(1.0):
                connection.sendall(b"x")

    with run_entry(tmp_path) as (program, replicas), ThreadPoolExecutor(200) as pool:
        beside = [pool.submit(send_slowly) for _ in range(SLOW)]
        beside += [pool.submit(send_short) for _ in range(4)]
        senders = [pool.submit(send_long) for _ in range(REQUESTERS)]
        for sender in senders:
            sender.result()
        is_over.set()
        for task in beside:
            task.result()
        peak_mb = read_peak_mb(program)
        run = sum(len(request.body) > 1000 for r in replicas for request in r.received)
    print(f"peak {peak_mb:.0f} MB, {dict(statuses)} long, {sum(short.values())} short")
    assert peak_mb < MAX_PEAK_MB
    assert set(statuses) == {200, 503}, statuses
    assert statuses[200] == run, "a rejected request has run"
    assert set(short) == {200}, short


@pytest.mark.parametrize("is_chunked", [True, False])
def test_body_beyond_the_budget_is_rejected_before_it_is_read(tmp_path, is_chunked):
    with run_entry(tmp_path) as (program, replicas), contextlib.ExitStack() as stack:
        held = [stack.enter_context(connect(program)) for _ in range(20)]
        for connection in held:
            connection.sendall(encode_head(LONG_B))
        time.sleep(0.3)
        rejected = stack.enter_context(connect(program))
        if is_chunked:
            head = encode_head(0, Content_Length="", Transfer_Encoding="chunked")
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                rejected.sendall(head + b"300000\r\n" + b"x" * 0x300000 + b"\r\n")
        else:
            rejected.sendall(encode_head(LONG_B))
        response = read_response(rejected)
        assert response.status == 503
        assert 0 < float(response.headers["Retry-After"]) <= 1.0
        assert response.headers["Connection"] == "close"
        assert send_body(program, b"short") == 200
        for connection in held:
            connection.close()
        wait_until(lambda: send_body(program, b"x" * LONG_B) == 200, 3.0)
        assert len([r for replica in replicas for r in replica.received]) == 2


def test_response_reaches_a_caller_that_sends_its_whole_body_first(tmp_path):
    with run_entry(tmp_path) as (program, _), contextlib.ExitStack() as stack:
        for _ in range(20):
            stack.enter_context(connect(program)).sendall(encode_head(LONG_B))
        time.sleep(0.3)
        statuses = Counter(send_body(program, b"x" * LONG_B) for _ in range(20))
        assert statuses == {503: 20}


def test_connection_is_closed_behind_a_rejected_body(tmp_path):
    with run_entry(tmp_path) as (program, replicas), contextlib.ExitStack() as stack:
        for _ in range(20):
            stack.enter_context(connect(program)).sendall(encode_head(LONG_B))
        time.sleep(0.3)
        connection = stack.enter_context(connect(program))
        hidden = encode_head(3) + b"abc"
        connection.sendall(encode_head(LONG_B) + hidden)
        assert read_response(connection).status == 503
        with contextlib.suppress(OSError):
            for _ in range(30):
                connection.sendall(hidden)
                time.sleep(0.1)
        connection.settimeout(8.0)
        with contextlib.suppress(ConnectionError):
            assert connection.recv(1) == b""
        assert not any(replica.received for replica in replicas)


# Guards against a server that waits for its own lock, as a connection is lost in the middle.
def test_connection_that_is_lost_while_its_request_is_read_does_not_stop_the_server(monkeypatch):
    def lose_connection(channel) -> None:
        channel.handle_close()

    app = StatusApplication("/ready", lambda: True, lambda: "")
    server = HttpServer(app, "127.0.0.1", 0, 2, bodies=BodyBudget(1_000_000))
    server.start()
    try:
        with monkeypatch.context() as changed:
            changed.setattr(ServerChannel, "send_continue", lose_connection)
            with socket.create_connection(("127.0.0.1", server.port), timeout=5.0) as connection:
                connection.sendall(encode_head(700_000, Expect="100-continue"))
                with contextlib.suppress(ConnectionError):
                    assert connection.recv(1) == b""
        assert HttpClient(server.url, 2.0).call("GET", "/ready").status == 200
        assert server._server.adj.bodies.extend(BodyShare(), 700_000), "the share is still counted"
    finally:
        server.stop()


def test_short_bodies_have_a_part_of_the_budget_of_their_own():
    bodies, first, second = BodyBudget(1_000_000), BodyShare(), BodyShare()
    assert bodies.extend(first, 700_000)
    assert not bodies.extend(second, 150_000)
    assert bodies.extend(second, 60_000)
    bodies.release(first)
    bodies.release(first)
    assert bodies.extend(second, 150_000)
    assert bodies.extend(first, 650_000)
    assert not bodies.extend(first, 650_001)
