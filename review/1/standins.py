"""Stand-ins of the platform for the review's scripts, and the start of the project's programs."""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "seats.example"
SERVICE = "booking"
TRANSACTION_S = 0.004
READY_TIMEOUT_S = 40.0
RULE_HELD, COULD_NOT_RUN, RULE_BROKEN = 0, 2, 41
"""Exit codes of `play.py`; run.sh exits with 1 for a broken rule, as Python does for any error."""

ENTRY_SETTINGS = """\
[process]
id = edge-z1-1
availability_zone = z1
region = r1
address = 127.0.0.1
peer_port = {peer_port}
metrics_port = {metrics_port}

[entry]
callers = 127.0.0.1:{callers_port}
readiness = 127.0.0.1:{readiness_port}

[store]
address = {store}

[regions]
z1 = r1

[bounds]
version_ms = 8000
grace_s = {grace_s}
retry_share = 0.2
retry_slack = 100
"""


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The table part of the platform's store, with a drill: away, then back from an older copy."""

    def __init__(self) -> None:
        self.era = 1
        self.is_available = True
        self.changed = threading.Condition(threading.RLock())
        self._rows: dict[tuple[str, str], dict] = {}
        self._history: list[dict] = []
        self.revision = 0
        self._connections: set[socket.socket] = set()
        self._calls: list[str] = []
        self._server = _serve(self)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def apply(self, table: str, key: str, value: bytes | None) -> int:
        """Apply one change and return its revision; wait while the store is away."""
        with self.changed:
            self.changed.wait_for(lambda: self.is_available)
            return self._apply(table, key, value)

    def copy(self) -> tuple[int, dict, list]:
        """Return a copy of the whole state."""
        with self.changed:
            return self.revision, dict(self._rows), list(self._history)

    def leave(self) -> None:
        """Reset all connections and serve nobody."""
        with self.changed:
            self.is_available = False
            connections = list(self._connections)
            self.changed.notify_all()
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def come_back(self, copy: tuple[int, dict, list]) -> None:
        """Serve again from a copy."""
        with self.changed:
            self.revision, self._rows, self._history = copy[0], dict(copy[1]), list(copy[2])
            self.era += 1
            self.is_available = True
            self.changed.notify_all()

    def track(self, connection: socket.socket, is_open: bool) -> None:
        with self.changed:
            (self._connections.add if is_open else self._connections.discard)(connection)

    def wait_for_call(self, prefix: str) -> None:
        """Wait for the next call whose target has a prefix."""
        with self.changed:
            known = len(self._calls)
            while not any(target.startswith(prefix) for target in self._calls[known:]):
                self.changed.wait(0.01)

    def handle(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        with self.changed:
            self._calls.append(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        match method, parts.path:
            case "GET", "/v1/rows-get":
                return 200, self._read(query)
            case "GET", "/v1/rows-feed":
                return self._follow(query)
            case "POST", "/v1/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _apply(self, table: str, key: str, value: bytes | None) -> int:
        self.revision += 1
        row = {"table": table, "part": "", "key": key, "revision": self.revision}
        if value is None:
            self._rows.pop((table, key), None)
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self._rows[table, key] = row
        self._history.append(row)
        self.changed.notify_all()
        return self.revision

    def _read(self, query: dict[str, str]) -> dict:
        first, end = query.get("rangeStart", ""), query.get("target", "\U0010ffff")
        with self.changed:
            rows = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == query["table"] and first <= key < end
            ]
            return {"rows": rows[:500], "truncated": len(rows) > 500, "revision": self.revision}

    def _follow(self, query: dict[str, str]) -> tuple[int, dict]:
        since, until = int(query["sinceRev"]), time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            era = self.era
            while True:
                if not self.is_available or self.era != era:
                    raise ConnectionAbortedError
                if since > self.revision:
                    return 410, {}
                rows = [
                    row
                    for row in self._history
                    if row["table"] == query["table"] and row["revision"] > since
                ]
                left_s = until - time.monotonic()
                if rows or left_s <= 0:
                    return 200, {"rows": rows, "revision": self.revision}
                self.changed.wait(left_s)

    def _transact(self, request: dict) -> tuple[int, dict]:
        with self.changed:
            conditions = request.get("precondition", [])
            current = [self._rows.get((row["table"], row["key"])) for row in conditions]
            held = [row["revision"] if row else 0 for row in current]
            if held != [row["revision"] for row in conditions]:
                return 412, {"rows": [row for row in current if row], "revision": self.revision}
            for row in request.get("puts", []):
                self._apply(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in request.get("remove", []):
                self._apply(row["table"], row["key"], None)
            return 200, {"revision": self.revision}


class SilentProxy:
    """Forwards channels to an address; those that are open can be made silent for good."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._silent: set[int] = set()
        self._open: set[int] = set()
        self._kept: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Make the open channels silent: nothing more passes either way; return their number."""
        self._silent |= self._open
        return len(self._open)

    def _accept(self) -> None:
        number = 0
        while True:
            caller, _ = self._listener.accept()
            number += 1
            self._open.add(number)
            server = socket.create_connection(self._target)
            for sock in (caller, server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for pair in ((caller, server), (server, caller)):
                threading.Thread(target=self._pass, args=(number, *pair), daemon=True).start()

    def _pass(self, number: int, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while (block := source.recv(65536)) and number not in self._silent:
                target.sendall(block)
        self._open.discard(number)
        if number in self._silent:
            self._kept.append(target)
            return
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Writer:
    """The operator or a replica: writes in order, and writes again what a drill has lost."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._era = store.era
        self._written: list[tuple[int, str, str, bytes | None]] = []
        self._queue: list[tuple[str, str, bytes | None, threading.Event]] = []
        self._queued = threading.Condition()
        self.copy_revision = 0
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, table: str, key: str, value: dict | bytes | None) -> threading.Event:
        """Queue a write; the returned event is set with the store's acknowledgement."""
        body = json.dumps(value).encode() if isinstance(value, dict) else value
        acknowledged = threading.Event()
        with self._queued:
            self._queue.append((table, key, body, acknowledged))
            self._queued.notify_all()
        return acknowledged

    def _run(self) -> None:
        while True:
            with self._queued:
                self._queued.wait_for(lambda: self._queue or self._store.era != self._era, 0.01)
            if self._store.is_available and self._store.era != self._era:
                self._write_again()
            if not self._queue:
                continue
            table, key, body, acknowledged = self._queue[0]
            if not self._store.is_available or self._store.era != self._era:
                time.sleep(0.005)
                continue
            time.sleep(TRANSACTION_S)
            revision = self._store.apply(table, key, body)
            self._written.append((revision, table, key, body))
            with self._queued:
                self._queue.pop(0)
            acknowledged.set()

    def _write_again(self) -> None:
        self._era = self._store.era
        lost = [write for write in self._written if write[0] > self.copy_revision]
        self._written = [write for write in self._written if write[0] <= self.copy_revision]
        for _, table, key, body in lost:
            time.sleep(TRANSACTION_S)
            revision = self._store.apply(table, key, body)
            self._written.append((revision, table, key, body))


class Replica:
    """A replica of a plain service, which answers each request and registers itself.

    Heartbeats are left out: they only raise `sequence`, which does not change the entry.
    """

    def __init__(self, number: int, store: Store, record: Record, service: str = SERVICE) -> None:
        self.id = f"i-{number}"
        self.writer = Writer(store)
        self._service = service
        self._record = record
        self._sequence = 0
        self._is_leaving = False
        self.work_s = 0.01
        self._born = int(time.time() * 1000)
        self.ran: list[tuple[float, str, dict[str, str]]] = []
        self._server = _serve_replica(self)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._register()

    def run(self, method: str, path: str, headers: dict[str, str], body: bytes):
        """Return status, headers and body of an answer."""
        request_id = headers.get("x-hibiscustray-attempt-id", "")
        common = {"X-Hibiscustray-Attempt-Id": request_id}
        if self._is_leaving:
            common["Server-Leaving"] = "1"
        expected = headers.get("x-hibiscustray-expect-instance", self.id)
        if expected != self.id:
            return 421, common, b""
        self.ran.append((time.monotonic(), request_id, headers))
        team = headers.get("x-hibiscustray-tenant", "-")
        self._record.write(f"run      {request_id} at {self.id}: {method} {path} tenant {team}")
        time.sleep(self.work_s)
        seal = {"X-Hibiscustray-Server-Seal": f"seal.{request_id}", "Content-Type": "text/plain"}
        return 200, common | seal, f"done {request_id}".encode()

    def leave_unannounced(self) -> threading.Event:
        """Have the entry removed without `draining`, and go on serving.

        All answers say that the replica leaves.
        """
        self._is_leaving = True
        return self.writer.put("servers", self.id, None)

    def make_row(self) -> dict:
        """Return the row as it is written next."""
        return {
            "service": self._service,
            "addr": self.address,
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    def _register(self) -> threading.Event:
        self._sequence += 1
        return self.writer.put("servers", self.id, self.make_row())


def make_configuration(version: int, tenants: list[dict], **changes) -> dict:
    """Return a configuration of one host with an idempotent and a non-idempotent route."""
    common = {
        "host": HOST,
        "service": SERVICE,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 1,
    }
    routes = [
        common | {"name": "book", "prefix": "/book/", "kind": "non_idempotent", "attempts": 1},
        common | {"name": "look", "prefix": "/look/", "kind": "idempotent", "attempts": 2},
    ]
    limits = {
        "headerBytes": 16384,
        "bodyBytes": 65536,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    value = {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 96}],
        "limits": limits,
        "tenants": tenants,
    }
    return value | changes


class EntryProgram:
    """The entry, started as the deploy file says, with its log in a temporary folder."""

    def __init__(self, store: str, folder: Path, grace_s: int = 8) -> None:
        self._store = store
        self._ports = [find_free_port() for _ in range(4)]
        self._settings = folder / "entry.ini"
        self.callers = f"127.0.0.1:{self._ports[0]}"
        self.readiness = f"127.0.0.1:{self._ports[1]}"
        self.write_settings(grace_s)
        self.log = folder / "entry.log"
        self._environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "LANG": "C.UTF-8",
            "HIBISCUSTRAY_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process: subprocess.Popen | None = None

    def write_settings(self, grace_s: int) -> None:
        """Write the settings file as a whole."""
        callers_port, readiness_port, peer_port, metrics_port = self._ports
        text = ENTRY_SETTINGS.format(
            store=self._store,
            callers_port=callers_port,
            readiness_port=readiness_port,
            peer_port=peer_port,
            metrics_port=metrics_port,
            grace_s=grace_s,
        )
        written = self._settings.with_suffix(".new")
        written.write_text(text)
        written.replace(self._settings)

    def start(self) -> None:
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "hibiscustray", "host", "entry"],
                cwd=ROOT,
                env=self._environment,
                stdout=output,
                stderr=output,
            )

    def wait_until_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection(self.readiness, timeout=1.0)
                connection.request("GET", "/v1/ready")
                if connection.getresponse().status == 200:
                    return
            time.sleep(0.1)
        raise TimeoutError("the entry is not ready")

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def send(
    record: Record,
    address: str,
    method: str,
    path: str,
    request_id: str,
    key: str,
    deadline_s: float = 1.5,
) -> int:
    """Send a request on a new connection; return the status, 0 if there is no whole answer."""
    headers = {
        "Host": HOST,
        "X-Hibiscustray-Attempt-Id": request_id,
        "X-Hibiscustray-Deadline-Ms": str(int(deadline_s * 1000)),
    }
    if key:
        headers["Authorization"] = f"Bearer {key}"
    record.write(f"sent     {request_id}: {method} {path} key {key or '-'}")
    connection = http.client.HTTPConnection(address, timeout=deadline_s + 1.5)
    try:
        connection.request(method, path, None, headers)
        response = connection.getresponse()
        response.read()
        status = response.status
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        connection.close()
    record.write(f"answered {request_id}: {status}")
    return status


def find_free_port() -> int:
    """Return a free port below those that Linux gives to outgoing connections."""
    while True:
        port = random.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


def run_case(folder: Path, play) -> None:
    """Run `play(record, temporary folder, has trouble)`, which returns whether the rule held."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_kept = play(record, Path(temporary), has_trouble)
        except (Exception, KeyboardInterrupt) as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}")
            status = COULD_NOT_RUN
        else:
            record.write("the rule held" if is_kept else "the rule was broken")
            status = RULE_HELD if is_kept else RULE_BROKEN
    # The threads of the stand-ins are not waited for.
    os._exit(status)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_: object) -> None:
        return


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        return

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _start(handler: type[_Handler]) -> _Server:
    server = _Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def _serve(store: Store) -> _Server:
    class Handler(_Handler):
        def handle(self) -> None:
            if not store.is_available:
                return
            store.track(self.connection, True)
            try:
                super().handle()
            finally:
                store.track(self.connection, False)

        def answer(self) -> None:
            body = self.read_body()
            time.sleep(TRANSACTION_S)
            if not store.is_available:
                raise ConnectionAbortedError
            status, value = store.handle(self.command, self.path, body)
            value["serverTimeMs"] = int(time.monotonic() * 1000)
            headers = {"Content-Type": "application/json", "Store-Era": str(store.era)}
            self.respond(status, headers, json.dumps(value).encode())

        do_GET = do_POST = do_PUT = answer  # noqa: N815

    return _start(Handler)


def _serve_replica(replica: Replica) -> _Server:
    class Handler(_Handler):
        def answer(self) -> None:
            headers = {name.lower(): value for name, value in self.headers.items()}
            self.respond(*replica.run(self.command, self.path, headers, self.read_body()))

        do_GET = do_POST = answer  # noqa: N815

    return _start(Handler)
