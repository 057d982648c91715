"""Replicas of a soak: they tell what they run, and misbehave when told to."""

from __future__ import annotations

import random
import socket
import threading
import time

from hibiscustray.soak.interface import StandIns, StoreStandIn
from hibiscustray.soak.promises import Promises, make_body, make_event
from hibiscustray.soak.proxy import LoopbackProxy

LEAST_WORK_S, MOST_WORK_S = 0.005, 0.04
"""Time of a request's work: a booking takes some tens of milliseconds."""
SILENCE_S = 3.0
"""Time for which a silent replica holds a connection."""
SLOTS = 16
EVENTS = 8
"""Events of each stream."""
STREAM_PATH = "/draft/"


class SoakReplica:
    """One replica behind a proxy; `mode` says how it answers, "" for as it should."""

    def __init__(
        self, number: int, service: str, standins: StandIns, store: StoreStandIn, promises: Promises
    ) -> None:
        self.number = number
        self.service = service
        self.mode = ""
        self.is_leaving = False
        self._standins = standins
        self._store = store
        self._promises = promises
        self._born = 1
        self._running = 0
        self._lock = threading.Lock()
        self._crossed = ""
        self._standin = standins.ReplicaStandIn(f"i-{number}", service, self._answer)
        self.proxy = LoopbackProxy(self._standin.address)

    def list(self, version: int) -> None:
        """Put the replica on the list."""
        state = "draining" if self.is_leaving else "ready"
        values = {"born": self._born, "slots": SLOTS, "state": state}
        self._store.list_replica(self._standin, self.proxy.address, version, **values)

    def unlist(self) -> None:
        """Take the replica off the list."""
        self._store.unlist(self._standin)

    def restart(self, version: int) -> None:
        """End and start again under the same id, at another address."""
        self.close()
        self._born += 1
        self.is_leaving = False
        self._standin = self._standins.ReplicaStandIn(
            f"i-{self.number}", self.service, self._answer
        )
        self.proxy = LoopbackProxy(self._standin.address)
        self.list(version)

    def close(self) -> None:
        """Refuse and reset all connections."""
        self._standin.close()
        self.proxy.close()

    def _answer(self, request, connection: socket.socket) -> None:
        with self._lock:
            is_full = self._running >= SLOTS or self.mode == "full"
            self._running += not is_full
        if is_full:
            self._standins.reject()(request, connection)
            return
        try:
            now = time.monotonic()
            self._promises.note_run(request.id, request.path, request.body, self.number, now)
            time.sleep(random.uniform(LEAST_WORK_S, MOST_WORK_S))
            self._answer_run(request, connection)
        finally:
            with self._lock:
                self._running -= 1

    def _answer_run(self, request, connection: socket.socket) -> None:
        """Answer a request that was run, in the way of the mode."""
        is_stream = request.path.startswith(STREAM_PATH)
        body = make_body(request.id, request.body, EVENTS if is_stream else 0)
        previous, self._crossed = self._crossed, request.id
        match self.mode:
            case "silent":
                connection.settimeout(SILENCE_S)
                connection.recv(1)
            case "cut":
                self._standins.respond_with_bytes(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\nX-Cut: 1\r\n\r\nhalf of it"
                )(request, connection)
            case "garbage":
                self._standins.respond_with_bytes(b"\x00\x17no answer at all\r\n\r\n")(
                    request, connection
                )
            case "crossed" if previous:
                crossed = self._standins.respond_with_body(
                    body=make_body(previous, b"", 0), request_id=previous
                )
                crossed(request, connection)
            case "unsealed":
                length = str(len(body)).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\n"
                self._standins.respond_with_bytes(head + body)(request, connection)
            case mode:
                if is_stream:
                    events = [make_event(request.id, n) for n in range(1, EVENTS + 1)]
                    self._standins.respond_with_events(events)(request, connection)
                else:
                    self._standins.respond_with_body(body=body)(request, connection)
                if mode == "extra":
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
