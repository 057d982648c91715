"""Stand-ins for the users' platform in tests: its store, scripted replicas and a caller."""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import random
import socket
import threading
import time
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from operator import itemgetter
from urllib.parse import parse_qs, urlsplit

from hibiscustray.soak.reading import CallerResponse, StrictResponse, read_body

SERVER_SEAL = "X-Hibiscustray-Server-Seal"
ATTEMPT_ID = "X-Hibiscustray-Attempt-Id"
NOT_RUN = "X-Hibiscustray-Not-Executed"
HOST = "guide.example"
KEY = "key-of-hosts"


def make_configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with a streaming, a non-idempotent and an idempotent route."""
    common = {"host": HOST, "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1}
    value = {
        "version": version,
        "routes": [
            common
            | {"name": "draft", "prefix": "/draft/", "kind": "streaming", "service": "guide"}
            | {"attempts": 2, "streamResume": True, "affinity": True, "gapTargetMs": 400},
            common
            | {"name": "book", "prefix": "/book/", "kind": "non_idempotent", "service": "booking"}
            | {"attempts": 1},
            common
            | {"name": "look", "prefix": "/book/look/", "kind": "idempotent", "service": "booking"}
            | {"attempts": 2},
        ],
        "services": [
            {"name": "guide", "maxConnections": 64, "engine": make_engine()},
            {"name": "booking", "maxConnections": 64},
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 65536,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hosts", "keys": [KEY]}],
    }
    return value | changes


def make_engine() -> dict:
    """Return the performance figures of a model engine."""
    return {
        "slots": 16,
        "kvTokens": 1180000,
        "stride": 5,
        "models": [{"name": "m"}],
        "step_ms": 8.87,
        "per_seq_ms": 0.0388,
        "context_per_k": 0.0227,
        "read_per_s": 19100.0,
        "pairs_per_m": 1.47,
        "chunk": 2048,
        "usual": {"prompt": 977, "answer": 94},
        "layers": 16,
    }


class StoreStandIn:
    """Serves a store of rows by table with a change feed, and of objects.

    All calls fail with the HTTP status `error_status` unless it is 0. `body_pause_s` is a pause in
    the middle of each response body. `lost_response_share` is the share of calls whose response is
    dropped after the call took effect. Responses tell the `era` unless it is None.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], dict] = {}
        self._history: list[dict] = []
        self._revision = 0
        self._oldest_revision = 0
        self._changed = threading.Condition()
        self.error_status = 0
        self.calls: list[str] = []
        self.objects: dict[str, bytes] = {}
        self.body_pause_s = 0.0
        self.lost_response_share = 0.0
        self.clock_offset_s = 0.0
        self.era: int | None = None
        self._server = _start_server(self)

    @property
    def address(self) -> str:
        """Return the store's address as IP:port."""
        return ":".join(map(str, self._server.server_address[:2]))

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; bytes are written unchanged, other values as JSON."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply_change({"table": table, "key": key, "value": base64.b64encode(body).decode()})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply_change({"table": table, "key": key, "tombstone": True})

    def publish(self, version: int, keys: list[str]) -> None:
        """Publish a configuration with these team keys."""
        tenants = [{"name": "hosts", "keys": keys}]
        self.put("op", "config", make_configuration(version, tenants=tenants))

    def set_target_version(self, version: int) -> None:
        """Set the target version of the weights."""
        self.put("op", "version/m", {"model": "m", "version": version})

    def list_replica(self, replica: ReplicaStandIn, address: str, version: int, **changes) -> None:
        """Add a replica to the replica list at an address, with a version of the weights."""
        values = {"addr": address} | changes
        if replica.service == "guide":
            values["models"] = [{"name": "m", "version": version, "adapters": []}]
            values["layers"] = {"rangeStart": 0, "target": 16, "version": version}
        self.put("servers", replica.id, replica.make_row(**values))

    def unlist(self, replica: ReplicaStandIn) -> None:
        """Remove a replica from the replica list."""
        self.remove("servers", replica.id)

    def discard_history(self) -> None:
        """Drop the change history, so that feeds from earlier revisions get HTTP status 410."""
        with self._changed:
            self._oldest_revision = self._revision + 1
            self._revision += 1
            self._changed.notify_all()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def handle_get(self, path: str) -> tuple[int, dict]:
        """Return the status and body of the response to a read or to a feed call."""
        parts = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        if self.error_status:
            return self.error_status, {"error": "refused"}
        if parts.path == "/v1/rows-get":
            return 200, self._read_table(query)
        return self._wait_for_changes(query["table"], int(query["sinceRev"]), int(query["waitMs"]))

    def handle_transaction(self, request: dict) -> tuple[int, dict]:
        """Apply a transaction; return the status and body of the response."""
        with self._changed:
            current = [self._rows.get((r["table"], r["key"])) for r in request["precondition"]]
            expected = [row["revision"] for row in request["precondition"]]
            if [row["revision"] if row else 0 for row in current] != expected:
                return 412, {"rows": [row for row in current if row], "revision": self._revision}
            for row in request["puts"]:
                self._apply_change(row)
            for row in request["remove"]:
                self._apply_change(row | {"tombstone": True})
            return 200, {"revision": self._revision}

    def _apply_change(self, row: dict) -> None:
        with self._changed:
            self._revision += 1
            row = row | {"part": "", "revision": self._revision}
            if row.get("tombstone"):
                self._rows.pop((row["table"], row["key"]), None)
            else:
                self._rows[row["table"], row["key"]] = row
            self._history.append(row)
            self._changed.notify_all()

    def _read_table(self, query: dict[str, str]) -> dict:
        first, end = query.get("rangeStart", ""), query.get("target", "\U0010ffff")
        with self._changed:
            rows = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == query["table"] and first <= key < end
            ]
            return {"rows": rows, "truncated": False, "revision": self._revision}

    def _wait_for_changes(self, table: str, since: int, wait_ms: int) -> tuple[int, dict]:
        deadline = time.monotonic() + wait_ms / 1000
        with self._changed:
            while True:
                if since < self._oldest_revision:
                    return 410, {}
                first = bisect_right(self._history, since, key=itemgetter("revision"))
                rows = [row for row in self._history[first:] if row["table"] == table]
                left = deadline - time.monotonic()
                if rows or left <= 0 or self.error_status:
                    return 200, {"rows": rows, "revision": self._revision}
                self._changed.wait(min(left, 0.05))


@dataclass
class ReceivedRequest:
    """A request as a replica received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_cut: bool = False

    @property
    def id(self) -> str:
        """Return the request id that the caller sent."""
        return self.headers.get(ATTEMPT_ID.lower(), "")

    @property
    def resume_after(self) -> int:
        """Return the number of the last event that the caller received, 0 for none."""
        return int(self.headers.get("last-event-id", 0))

    @property
    def expected_version(self) -> int:
        """Return the version of the weights that the replica must hold, 0 for any."""
        return int(self.headers.get("x-hibiscustray-expect-version", 0))


Script = Callable[[ReceivedRequest, socket.socket], None]


@dataclass
class ReplicaStandIn:
    """A replica that runs a script for each request to write a raw response to the connection."""

    id: str
    service: str
    script: Script
    zone: str = "z1"
    received: list[ReceivedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def make_row(self, **changes) -> dict:
        """Return the replica's row of the replica list."""
        value = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": 1,
        }
        if self.service == "guide":
            value |= {
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "layers": {"rangeStart": 0, "target": 16, "version": 1},
            }
        return value | changes

    def close(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            # After close() alone, a pending accept() would still accept one more connection.
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), connection:
            request = _read_request(connection)
            self.received.append(request)
            self.script(request, connection)


def respond_with_body(
    status: int = 200, body: bytes = b"{}", request_id: str = "", **headers: str
) -> Script:
    """Return a script that sends a body, the seal header and an id, by default the request's."""

    def script(request: ReceivedRequest, connection: socket.socket) -> None:
        lines = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            ATTEMPT_ID: request_id or request.id,
            SERVER_SEAL: "seal-1",
        } | headers
        connection.sendall(_encode_head(status, lines) + body)

    return script


def respond_with_events(events: list[bytes], version: int = 1, **headers: str) -> Script:
    """Return a script that streams the events after the last one that the caller received."""

    def script(request: ReceivedRequest, connection: socket.socket) -> None:
        connection.sendall(_encode_stream_head(request, version, **headers))
        for event in events[request.resume_after :]:
            connection.sendall(_encode_chunk(event))
            time.sleep(0.01)
        connection.sendall(b"0\r\n\r\n")

    return script


def reject(status: int = 503, **headers: str) -> Script:
    """Return a script that rejects the request and reports that it did not run."""
    return respond_with_bytes(_encode_head(status, {"Content-Length": "0", NOT_RUN: "1"} | headers))


def respond_with_bytes(data: bytes) -> Script:
    """Return a script that sends these bytes and closes the connection."""
    return lambda request, connection: connection.sendall(data)


def close_without_response(request: ReceivedRequest, connection: socket.socket) -> None:
    """Close the connection without a response, so that the request may have run."""


def stream_tokens(first: int, last: int, **options) -> Script:
    """Return a script that streams events with these ids, after the last one the caller received.

    `cut_at` closes the connection in the middle of that event; `pause_s` is a pause before each.
    """
    cut_at, pause_s = options.get("cut_at"), options.get("pause_s", 0.0)

    def script(request: ReceivedRequest, connection: socket.socket) -> None:
        connection.sendall(_encode_stream_head(request))
        start = int(request.headers.get("last-event-id", first - 1)) + 1
        for number in range(start, last + 1):
            time.sleep(pause_s)
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if number == cut_at:
                connection.sendall(_encode_chunk(event[:9]))
                return
            connection.sendall(_encode_chunk(event))
        connection.sendall(b"0\r\n\r\n")

    return script


def encode_success(request: ReceivedRequest, version: int = 0, **headers: str) -> bytes:
    """Return the head of a sealed response, for a version of the weights that of a stream."""
    head = {ATTEMPT_ID: request.id, SERVER_SEAL: "seal-1"}
    if version:
        head["Content-Type"] = "text/event-stream"
        head["X-Hibiscustray-Weight-Versions"] = str(version)
    return _encode_head(200, head | headers)


def _encode_stream_head(request: ReceivedRequest, version: int = 1, **headers: str) -> bytes:
    return encode_success(request, version, Transfer_Encoding="chunked", **headers)


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):X}\r\n".encode() + data + b"\r\n"


def _encode_head(status: int, headers: dict[str, str]) -> bytes:
    lines = "".join(f"{n.replace('_', '-')}: {value}\r\n" for n, value in headers.items())
    return f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode()


def _read_request(connection: socket.socket) -> ReceivedRequest:
    data = b""
    while b"\r\n\r\n" not in data:
        block = connection.recv(65536)
        if not block:
            raise ValueError("connection closed before a complete request head")
        data += block
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines)}
    while len(body) < int(headers.get("content-length", 0)):
        body += connection.recv(65536)
    return ReceivedRequest(method, path, headers, body)


def _start_server(store: StoreStandIn) -> ThreadingHTTPServer:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:  # noqa: N802
            if self.path.startswith("/v1/blob-get/"):
                body = store.objects.get(self.path.rpartition("/")[2])
                self._respond(404 if body is None else 200, body or b"")
                return
            status, value = store.handle_get(self.path)
            value["serverTimeMs"] = int((time.monotonic() + store.clock_offset_s) * 1000)
            self._respond(status, json.dumps(value).encode())

        def do_PUT(self) -> None:  # noqa: N802
            body = self.rfile.read(int(self.headers["Content-Length"]))
            store.objects[self.path.rpartition("/")[2]] = body
            self._respond(200, b"")

        def do_POST(self) -> None:  # noqa: N802
            body = self.rfile.read(int(self.headers["Content-Length"]))
            if store.error_status:
                self._respond(store.error_status, b"{}")
                return
            status, value = store.handle_transaction(json.loads(body))
            self._respond(status, json.dumps(value).encode())

        def _respond(self, status: int, body: bytes) -> None:
            if random.random() < store.lost_response_share:
                self.close_connection = True
                return
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            if store.era is not None:
                self.send_header("Store-Era", str(store.era))
            self.end_headers()
            self.wfile.write(body[: len(body) // 2])
            time.sleep(store.body_pause_s)
            self.wfile.write(body[len(body) // 2 :])

        def log_message(self, *_: object) -> None:
            return

    class Server(ThreadingHTTPServer):
        def handle_error(self, *_: object) -> None:
            # Errors of disconnected clients are ignored.
            return

    server = Server(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


MODEL_HEADERS = {
    "X-Hibiscustray-Model": "m",
    "X-Hibiscustray-Token-Count": "100,50",
    "X-Hibiscustray-Prompt-Prefix": "aa:40,bb:60",
}


def call_entry(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    request_id: str,
    key: str,
    deadline_s: float,
    prompt: str = "aa:40,bb:60",
) -> CallerResponse:
    """Send a request as a caller and read the response; raise `OSError` if there is none."""
    headers = {
        "Host": HOST,
        ATTEMPT_ID: request_id,
        "X-Hibiscustray-Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Bearer {key}",
    }
    if path.startswith("/draft/"):
        headers |= MODEL_HEADERS | {"X-Hibiscustray-Prompt-Prefix": prompt}
    connection.response_class = StrictResponse
    connection.request(method, path, body or None, headers)
    response = connection.getresponse()
    data, end = read_body(response)
    # Reading in blocks does not close the response, which would keep the connection open.
    response.close()
    is_sealed, is_closed = (
        SERVER_SEAL in response.headers,
        response.will_close or not end.appears_complete,
    )
    retry_after_s = float(response.headers.get("Retry-After", 0))
    return CallerResponse(response.status, is_sealed, data, end, retry_after_s, is_closed)


def read_readiness(address: str) -> int:
    """Return the status of an entry's readiness endpoint; raise `OSError` if it is unreachable."""
    connection = http.client.HTTPConnection(address, timeout=1.0)
    try:
        connection.request("GET", "/v1/ready")
        return connection.getresponse().status
    finally:
        connection.close()
