"""Replicas of a soak, which record the requests that they run and simulate faults."""

from __future__ import annotations

import contextlib
import itertools
import math
import random
import socket
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial

from hibiscustray.soak.early import EarlyEnd, send_response
from hibiscustray.soak.guarantees import GuaranteeChecker
from hibiscustray.soak.interface import StandIns, StoreStandIn
from hibiscustray.soak.proxy import POLL_INTERVAL_S, LoopbackProxy, is_closed
from hibiscustray.soak.records import make_body, make_event
from hibiscustray.soak.schedule import READABLE_PUSHBACKS

MIN_WORK_S, MAX_WORK_S = 0.005, 0.04
"""Processing time of a request: a booking takes some tens of milliseconds."""
MAX_SILENCE_S = 3.0
"""Longest time for which a silent replica keeps a connection open without a response."""
MAX_QUEUE_S = 2.0
"""Longest time for which a request waits in the queue of a replica."""
SLOTS = 16
EVENTS_PER_STREAM = 8
EARLY_PART_B = 16
"""Size of the parts between which a plain body may end early."""
STREAM_PATH = "/draft/"
TIME_LEFT_SUFFIX = "-deadline-ms"
"""End of the name of the header that has the time left in milliseconds."""
MISDIRECTED_REQUEST = 421
"""Status for a request that expects another version of the weights."""


class SoakReplica:
    """A replica behind a proxy.

    `fault` is one of `REPLICA_FAULTS` other than "drain" and "restart", or "" if the replica
    responds correctly. `on_end` is called with the replica, its `start_count` and the harm when it
    begins a request that ends it. `limit` is the limit that its responses name, "" for none. While
    `pushback` is set, requests are turned away with it as Retry-After. `is_leaving` is set while
    responses say that the replica leaves, whatever the list says. `early_ends` are used in turn by
    responses to requests that were run, as long as no `fault` but "extra" spoils them. `queue` is
    "queue" while requests wait for up to `MAX_QUEUE_S`, "backlog" if also those wait and run whose
    connections are closed, or "". Such a replica stops at the deadline that a request names.
    """

    def __init__(
        self,
        number: int,
        service: str,
        standins: StandIns,
        store: StoreStandIn,
        checker: GuaranteeChecker,
        version: int,
    ) -> None:
        self.number = number
        self.service = service
        self.fault = ""
        self.is_draining = False
        self.version = version
        self._standins = standins
        self._store = store
        self._checker = checker
        self.start_count = 1
        self.is_ended = False
        self._running = 0
        self._lock = threading.Lock()
        self._previous_request_id = ""
        self.limit = self.pushback = self.queue = ""
        self.is_leaving = False
        self.early_ends: tuple[EarlyEnd, ...] = ()
        self._early_numbers = itertools.count()
        self.on_end: Callable[[SoakReplica, int, str], None] = lambda *_: None
        self._standin = standins.ReplicaStandIn(f"i-{number}", service, self._respond)
        self.proxy = LoopbackProxy(self._standin.address)

    def register(self) -> None:
        """Add the replica to the replica list or update its row."""
        state = "draining" if self.is_draining else "ready"
        values = {"born": self.start_count, "slots": SLOTS, "state": state}
        self._store.list_replica(self._standin, self.proxy.address, self.version, **values)

    def deregister(self) -> None:
        """Remove the replica from the replica list."""
        self._store.unlist(self._standin)

    def restart(self, version: int) -> None:
        """Stop the replica; start it with the same id and a version at another address."""
        self.close()
        self.version = version
        self.start_count += 1
        self.is_draining = self.is_ended = self.is_leaving = False
        self.limit = self.pushback = self.queue = ""
        self._standin = self._standins.ReplicaStandIn(
            f"i-{self.number}", self.service, self._respond
        )
        self.proxy = LoopbackProxy(self._standin.address)
        self.register()

    def swap(self, version: int) -> None:
        """Change to a newer version of the weights unless the replica is draining."""
        if not self.is_draining and self.version < version:
            self.version = version
            self.register()

    def end(self) -> None:
        """End without notice; the replica stays listed until it starts again."""
        self.is_ended = True
        self.close()

    def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        self._standin.close()
        self.proxy.close()

    @property
    def _headers(self) -> dict[str, str]:
        limit = {"Server_Limit": self.limit} if self.limit else {}
        return limit | ({"Server_Leaving": "1"} if self.is_leaving else {})

    def _encode_head(self, length: int) -> bytes:
        """Return the head of a response without a seal."""
        limit = f"Server-Limit: {self.limit}\r\n" if self.limit else ""
        return f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{limit}\r\n".encode()

    def _respond(self, request, connection: socket.socket) -> None:
        start_count, read_at, queue = self.start_count, time.monotonic(), self.queue
        self._checker.record_arrival(request.id, self.number, read_at)
        pushback = self.pushback
        if pushback:
            self._push_back(request, connection, pushback)
            return
        ends_at = read_at + _find_time_left_s(request) if queue else math.inf
        if queue:
            self._wait_in_queue(ends_at)
            if self.is_ended or self.start_count != start_count:
                return
            if queue == "queue" and is_closed(connection):
                return
            if time.monotonic() >= ends_at:
                self._standins.reject(**self._headers)(request, connection)
                return
        with self._lock:
            is_full = self._running >= SLOTS or self.fault == "full"
            self._running += not is_full
        if is_full:
            self._standins.reject(**self._headers)(request, connection)
            return
        try:
            version = self.version
            if request.expected_version not in (0, version):
                script = self._standins.reject(MISDIRECTED_REQUEST, **self._headers)
                script(request, connection)
                return
            self._checker.record_run(
                request.id,
                request.path,
                request.body,
                self.number,
                time.monotonic(),
                version if request.path.startswith(STREAM_PATH) else None,
                read_at,
            )
            time.sleep(random.uniform(MIN_WORK_S, MAX_WORK_S))
            harm = self._checker.find_harm(request.id)
            if harm:
                self.on_end(self, start_count, harm)
                return
            self._respond_to_run(request, connection, version, ends_at)
        finally:
            with self._lock:
                self._running -= 1

    def _wait_in_queue(self, until: float) -> None:
        """Wait until a request may begin or its deadline, and while the replica is quiet."""
        until = min(until, time.monotonic() + random.uniform(0.0, MAX_QUEUE_S))
        while time.monotonic() < max(until, self.proxy.quiet_until):
            time.sleep(POLL_INTERVAL_S)

    def _push_back(self, request, connection: socket.socket, pushback: str) -> None:
        headers = self._headers | {"Retry_After": pushback}
        if pushback in READABLE_PUSHBACKS:
            at = time.monotonic()
            self._checker.record_pushback(request.id, self.number, float(pushback), at)
        self._standins.reject(**headers)(request, connection)

    def _respond_to_run(
        self, request, connection: socket.socket, version: int, ends_at: float
    ) -> None:
        """Respond to a request that was run, with the current fault; cut a stream at a time."""
        is_stream = request.path.startswith(STREAM_PATH)
        body = make_body(request.id, request.body, EVENTS_PER_STREAM if is_stream else 0)
        previous_id, self._previous_request_id = self._previous_request_id, request.id
        early_ends = self.early_ends
        match self.fault:
            case "silent":
                connection.settimeout(MAX_SILENCE_S)
                connection.recv(1)
            case "cut":
                head = self._encode_head(400)
                self._standins.respond_with_bytes(head + b"half of it")(request, connection)
            case "garbage":
                self._standins.respond_with_bytes(b"\x00\x17no answer at all\r\n\r\n")(
                    request, connection
                )
            case "crossed" if previous_id:
                script = self._standins.respond_with_body(
                    body=make_body(previous_id, b"", 0), request_id=previous_id, **self._headers
                )
                script(request, connection)
            case "unsealed":
                head = self._encode_head(len(body))
                self._standins.respond_with_bytes(head + body)(request, connection)
            case _ if early_ends:
                early = early_ends[next(self._early_numbers) % len(early_ends)]
                self._end_early(request, connection, early, version if is_stream else 0)
            case fault:
                if self.is_leaving:
                    self._checker.record_leaving(request.id, self.number)
                if is_stream:
                    events = [make_event(request.id, n) for n in range(1, EVENTS_PER_STREAM + 1)]
                    script = self._standins.respond_with_events(events, version, **self._headers)
                else:
                    script = self._standins.respond_with_body(body=body, **self._headers)
                with _cut_at(connection, ends_at if is_stream else math.inf):
                    script(request, connection)
                if fault == "extra":
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    def _end_early(self, request, connection: socket.socket, early: EarlyEnd, version: int) -> None:
        """Respond with an early end; `version` is that of the weights of a stream, or 0."""
        received = b""
        if version:
            events = [make_event(request.id, n) for n in range(1, EVENTS_PER_STREAM + 1)]
            received = b"".join(events[: request.resume_after])
            parts = events[request.resume_after :]
        else:
            body = make_body(request.id, request.body, 0)
            parts = [body[n : n + EARLY_PART_B] for n in range(0, len(body), EARLY_PART_B)]
        send_response(
            connection,
            early,
            partial(self._standins.encode_success, request, version, **self._headers),
            parts,
            lambda sent: self._checker.record_closed(request.id, received + sent),
        )


def _find_time_left_s(request) -> float:
    """Return the time in seconds that a request names as left, or infinity."""
    values = (v for name, v in request.headers.items() if name.endswith(TIME_LEFT_SUFFIX))
    return float(next(values, math.inf)) / 1000


@contextlib.contextmanager
def _cut_at(connection: socket.socket, at: float) -> Iterator[None]:
    """End a connection at a monotonic time, if it is still in use then."""

    def cut() -> None:
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)

    if at == math.inf:
        yield
        return
    timer = threading.Timer(max(0.0, at - time.monotonic()), cut)
    timer.start()
    try:
        yield
    finally:
        timer.cancel()
