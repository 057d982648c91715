"""An entry process whose replicas send bytes without end, in a head or a body."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from hibiscustray.platform.standins import (
    ATTEMPT_ID,
    KEY,
    SERVER_SEAL,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    make_configuration,
    read_readiness,
    respond_with_body,
    stream_tokens,
)
from hibiscustray.soak.programs import EntryProgram
from tests.waiting import wait_until

DEADLINE_S = 1.0
MAX_LATE_S = 0.5
"""Time after the deadline by which the response and the connection to the replica end."""
MAX_GROWTH_MB = 64
"""Growth of the entry's peak memory that all cases together may cause."""
CONCURRENT = 6
KINDS = {
    "stream": ("POST", "/draft/1"),
    "non_idempotent": ("POST", "/book/1"),
    "idempotent": ("GET", "/book/look/1"),
}
OK, ERROR = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Error\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
FORMS = {
    "status_line": ("HTTP/1.1 200 ", "a"),
    "header_lines": (OK, "X-Filler: aaaaaaaa\r\n"),
    "one_header": (OK + "X-Filler: ", "a"),
    "interim_responses": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk_line": (OK + "{head}" + CHUNKED + "1;", "a"),
    "chunk_extensions": (OK + "{head}" + CHUNKED, "1;aaaaaaaaaaaaaaaaaa\r\nb\r\n"),
    "chunked_body": (OK + "{head}" + CHUNKED + "FFFFFFFFFF\r\n", "a"),
    "body_with_length": (OK + "{head}Content-Length: 999999999999\r\n\r\n", "a"),
    "body_without_length": (OK + "{head}\r\n", "a"),
    "event_lines": (OK + "{head}\r\n", "data: aaaaaaaa\n"),
    "error_body": (ERROR + "{head}\r\n", "a"),
    "trailer": (OK + "{head}" + CHUNKED + "0\r\n", "X-Filler: aaaaaaaa\r\n"),
}
FAST_BLOCK_B = 65536


class EndlessReplica:
    """A replica that sends one form without end, as fast as it is read or `pause_s` apart."""

    def __init__(self, replica_id: str, service: str) -> None:
        self.replica = ReplicaStandIn(replica_id, service, self._serve)
        self.form = ""
        self.pause_s = 0.0
        self.running = 0
        self._lock = threading.Lock()

    def _serve(self, request, connection) -> None:
        if not self.form:
            is_stream = self.replica.service == "guide"
            (stream_tokens(1, 2) if is_stream else respond_with_body())(request, connection)
            return
        begin, filler = FORMS[self.form]
        head = f"{ATTEMPT_ID}: {request.id}\r\n{SERVER_SEAL}: seal-1\r\n"
        block = filler.encode()
        if not self.pause_s:
            block *= FAST_BLOCK_B // len(block)
        with self._count():
            connection.sendall(begin.format(head=head).encode())
            while True:
                connection.sendall(block)
                time.sleep(self.pause_s)

    @contextlib.contextmanager
    def _count(self) -> Iterator[None]:
        with self._lock:
            self.running += 1
        try:
            yield
        finally:
            with self._lock:
                self.running -= 1


class EndlessSite:
    """An entry process with two such replicas of each service."""

    def __init__(self, folder: Path) -> None:
        self.store = StoreStandIn()
        self.store.put("op", "config", make_configuration())
        self.replicas = [
            EndlessReplica(f"{service}-{number}", service)
            for service in ("guide", "booking")
            for number in range(2)
        ]
        for endless in self.replicas:
            self.store.list_replica(endless.replica, endless.replica.address, 1)
        self.program = EntryProgram(0, self.store.address, folder)
        self.program.start()
        wait_until(self._is_serving, 15)
        self.base_mb = self.read_peak_mb()

    def send(self, form: str, kind: str, pause_s: float = 0.0) -> list[int]:
        """Send requests at the same time; return their statuses, 0 for an incomplete response."""
        self._set_form(form, pause_s)
        with ThreadPoolExecutor(CONCURRENT) as pool:
            return list(pool.map(self._call, [kind] * CONCURRENT))

    def wait_until_closed(self) -> float:
        """Wait until the entry has closed all connections to replicas; return the seconds."""
        started_at = time.monotonic()
        wait_until(lambda: not any(endless.running for endless in self.replicas))
        return time.monotonic() - started_at

    def read_peak_mb(self) -> float:
        """Return the peak of the entry's resident memory."""
        status = Path(f"/proc/{self.program.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    def close(self) -> None:
        """Stop everything."""
        self._set_form("", 0.0)
        self.program.kill()
        self.store.close()
        for endless in self.replicas:
            endless.replica.close()

    def _set_form(self, form: str, pause_s: float) -> None:
        for endless in self.replicas:
            endless.form, endless.pause_s = form, pause_s

    def _call(self, kind: str) -> int:
        connection = http.client.HTTPConnection(self.program.callers_address, timeout=10)
        method, path = KINDS[kind]
        started_at = time.monotonic()
        try:
            response = call_entry(
                connection, method, path, b"", f"{next(NUMBERS):x}", KEY, DEADLINE_S
            )
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()
            assert time.monotonic() - started_at < DEADLINE_S + MAX_LATE_S
        return response.status if response.is_ended else 0

    def _is_serving(self) -> bool:
        try:
            is_ready = read_readiness(self.program.readiness_address) == 200
        except OSError:
            return False
        return is_ready and self._call("stream") == self._call("non_idempotent") == 200


NUMBERS = itertools.count(1)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    running = EndlessSite(tmp_path_factory.mktemp("entry"))
    try:
        yield running
    finally:
        running.close()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("form", FORMS)
def test_endless_bytes_end_by_the_deadline_and_leave_memory_bounded(site, form, kind):
    statuses = site.send(form, kind)
    # A replica's error is an error for the caller too, whole or not.
    assert set(statuses) <= {0, 500, 502, 503, 504}
    assert site.wait_until_closed() < MAX_LATE_S
    assert site.read_peak_mb() - site.base_mb < MAX_GROWTH_MB


@pytest.mark.parametrize("kind", ["stream", "idempotent"])
@pytest.mark.parametrize("form", ["header_lines", "chunk_extensions", "event_lines", "trailer"])
def test_endless_bytes_that_trickle_end_by_the_deadline(site, form, kind):
    statuses = site.send(form, kind, pause_s=0.05)
    assert set(statuses) <= {0, 500, 502, 503, 504}
    assert site.wait_until_closed() < MAX_LATE_S


def test_entry_serves_after_endless_bytes(site):
    time.sleep(2.5)
    assert site.send("", "stream") == [200] * CONCURRENT
    assert site.read_peak_mb() - site.base_mb < MAX_GROWTH_MB
