"""Stand-in for the platform: table, object store, VM list and a rate-limited origin."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from hibiscustray.protocols.objects import BUCKET
from hibiscustray.protocols.table import TARGET_PREFIX
from hibiscustray.protocols.vm_list import PEER_KEY, RUNNING
from hibiscustray.web import HttpServer, Request, Response, Router
from hibiscustray.weights import LinkRateLimiter

OCTET_STREAM = "application/octet-stream"
SERVER_THREADS = 48
PAGE_ROWS = 100
MAX_ROW_HISTORY = 200
"""Largest number of past states kept per row, for stale reads."""


@dataclass(frozen=True)
class Faults:
    """Faults that the platform simulates.

    `lost_answer_share` is the share of writes that take effect although an error is returned; with
    `loses_answers`, all writes do. With `late_write_s` these take effect only after that time.
    `stale_read_s` makes every read return the rows as they were that long ago, and `delay_s` delays
    every call to the table.
    """

    is_store_down: bool = False
    is_origin_down: bool = False
    loses_answers: bool = False
    lost_answer_share: float = 0.0
    late_write_s: float = 0.0
    stale_read_s: float = 0.0
    delay_s: float = 0.0


@dataclass(frozen=True)
class PlatformRecords:
    """Bytes read from the origin, and numbers of reads and writes of the table."""

    origin_bytes: int
    table_reads: int
    table_writes: int


class PlatformStandIn:
    """Serves the table, the object store and the VM list on one port, the origin on another.

    `late_writes` is the number of delayed writes that have not taken effect yet.
    """

    def __init__(
        self,
        address: str,
        port: int,
        origin_port: int,
        origin_mbit_s: float,
        files: dict[str, Path],
        seed: int = 1,
    ) -> None:
        self.faults = Faults()
        self.origin_bytes = 0
        self.table_reads = 0
        self.table_writes = 0
        self.late_writes = 0
        self._files = files
        self._origin_link = LinkRateLimiter(origin_mbit_s)
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._row_history: dict[tuple[str, str], list[tuple[float, dict[str, Any] | None]]] = {}
        self._rng = random.Random(seed)
        self._tokens: set[str] = set()
        self._objects: dict[str, bytes] = {}
        self._vms: dict[str, dict[str, Any]] = {}
        self._lock = threading.Lock()
        router = Router(_describe_error)
        router.add("POST", "/", self._serve_table)
        router.add("GET", f"/{BUCKET}/{{key+}}", self._serve_get_object)
        router.add("PUT", f"/{BUCKET}/{{key+}}", self._serve_put_object)
        router.add("GET", "/instances", self._serve_vms)
        router.add("GET", "/records", lambda _: Response.json(self.records))
        origin_router = Router(_describe_error)
        origin_router.add("GET", "/{path+}", self._serve_origin)
        self._http = HttpServer(router, address, port, SERVER_THREADS)
        self._origin = HttpServer(origin_router, address, origin_port, SERVER_THREADS)

    @property
    def url(self) -> str:
        """Return the URL of table, object store and VM list."""
        return self._http.url

    @property
    def origin_url(self) -> str:
        """Return the URL of the origin."""
        return self._origin.url

    @property
    def records(self) -> PlatformRecords:
        """Return the counts since the start."""
        return PlatformRecords(self.origin_bytes, self.table_reads, self.table_writes)

    def start(self) -> None:
        """Start both HTTP servers."""
        self._http.start()
        self._origin.start()

    def stop(self) -> None:
        """Stop both HTTP servers."""
        self._http.stop()
        self._origin.stop()

    def set_faults(self, **changes: Any) -> None:
        """Change some of the simulated faults."""
        self.faults = replace(self.faults, **changes)

    def add_file(self, path: str, file: Path) -> None:
        """Serve a file at a path of the origin."""
        self._files[path] = file

    def add_vm(self, name: str, zone: str, peer_address: str, status: str = RUNNING) -> None:
        """Add a VM to the list."""
        metadata = {"items": [{"key": PEER_KEY, "value": peer_address}]}
        self._vms[name] = {"name": name, "zone": zone, "status": status, "metadata": metadata}

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the list."""
        self._vms.pop(name, None)

    def _serve_vms(self, request: Request) -> Response:
        if self.faults.is_store_down:
            return Response.json({}, 503)
        return Response.json({"items": list(self._vms.values())})

    def _serve_get_object(self, request: Request) -> Response:
        if self.faults.is_store_down:
            return Response.json({}, 503)
        body = self._objects.get(request.path_parameters["key"])
        if body is None:
            return Response(404)
        return Response(200, body, OCTET_STREAM)

    def _serve_put_object(self, request: Request) -> Response:
        if self.faults.is_store_down:
            return Response.json({}, 503)
        self._objects[request.path_parameters["key"]] = request.body
        return Response(200)

    def _serve_origin(self, request: Request) -> Response:
        file = self._files.get(request.path_parameters["path"])
        if self.faults.is_origin_down:
            return Response(503)
        if file is None:
            return Response(404)
        start, end = request.headers["range"].removeprefix("bytes=").split("-")
        with file.open("rb") as source:
            source.seek(int(start))
            data = source.read(int(end) - int(start) + 1)
        self._origin_link.wait_for_end(len(data))
        with self._lock:
            self.origin_bytes += len(data)
        return Response(206, data, OCTET_STREAM)

    def _serve_table(self, request: Request) -> Response:
        operation = request.headers["x-amz-target"].removeprefix(TARGET_PREFIX)
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if self.faults.is_store_down:
            return Response.json({"__type": "ServiceUnavailable"}, 503)
        body = msgspec.json.decode(request.body)
        match operation:
            case "GetItem":
                return self._get_item(body)
            case "Query":
                return self._query(body)
            case "TransactWriteItems":
                return self._transact(body)
        return Response.json({"__type": "UnknownOperationException"}, 400)

    def _get_item(self, body: dict[str, Any]) -> Response:
        with self._lock:
            self.table_reads += 1
            item = self._read_row(_read_key(body["Key"]))
        return Response.json({"Item": item} if item else {})

    def _query(self, body: dict[str, Any]) -> Response:
        partition = body["ExpressionAttributeValues"][":pk"]["S"]
        start = body.get("ExclusiveStartKey")
        after = _read_key(start) if start else (partition, "")
        with self._lock:
            self.table_reads += 1
            keys = [key for key in sorted(self._rows) if key[0] == partition and key > after]
            rows = [self._read_row(key) for key in keys[:PAGE_ROWS]]
        page: dict[str, Any] = {"Items": [row for row in rows if row is not None]}
        if len(keys) > PAGE_ROWS:
            last = keys[PAGE_ROWS - 1]
            page["LastEvaluatedKey"] = {"pk": {"S": last[0]}, "sk": {"S": last[1]}}
        return Response.json(page)

    def _read_row(self, key: tuple[str, str]) -> dict[str, Any] | None:
        lag = self.faults.stale_read_s
        if not lag:
            return self._rows.get(key)
        until = time.monotonic() - lag
        visible = [row for at, row in self._row_history.get(key, ()) if at <= until]
        return visible[-1] if visible else None

    def _transact(self, body: dict[str, Any]) -> Response:
        faults = self.faults
        is_lost = faults.loses_answers or self._rng.random() < faults.lost_answer_share
        if is_lost and faults.late_write_s:
            self.late_writes += 1
            threading.Timer(faults.late_write_s, self._commit_late, (body,)).start()
        elif not self._commit(body):
            return Response.json({"__type": "TransactionCanceledException"}, 400)
        if is_lost:
            return Response.json({"__type": "InternalServerError"}, 500)
        return Response.json({})

    def _commit_late(self, body: dict[str, Any]) -> None:
        self._commit(body)
        self.late_writes -= 1

    def _commit(self, body: dict[str, Any]) -> bool:
        with self._lock:
            self.table_writes += 1
            if body["ClientRequestToken"] in self._tokens:
                return True
            if not all(self._check_condition(item) for item in body["TransactItems"]):
                return False
            for item in body["TransactItems"]:
                self._apply_write(item)
            self._tokens.add(body["ClientRequestToken"])
            return True

    def _check_condition(self, item: dict[str, Any]) -> bool:
        write = item.get("Put") or item["Delete"]
        condition = write.get("ConditionExpression", "")
        stored = self._rows.get(_read_key(write.get("Item") or write["Key"]))
        if condition == "attribute_not_exists(pk)":
            return stored is None
        if condition == "version = :expected":
            expected = write["ExpressionAttributeValues"][":expected"]
            return stored is not None and stored["version"] == expected
        return True

    def _apply_write(self, item: dict[str, Any]) -> None:
        if "Put" in item:
            row = item["Put"]["Item"]
            key = _read_key(row)
            self._rows[key] = row
        else:
            row = None
            key = _read_key(item["Delete"]["Key"])
            self._rows.pop(key, None)
        history = self._row_history.setdefault(key, [])
        history.append((time.monotonic(), row))
        del history[:-MAX_ROW_HISTORY]


def _read_key(item: dict[str, Any]) -> tuple[str, str]:
    return item["pk"]["S"], item["sk"]["S"]


def _describe_error(error: Exception) -> Response:
    return Response.json({"__type": type(error).__name__, "message": str(error)}, 500)
