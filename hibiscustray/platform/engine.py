"""HTTP client of the model engine on this VM: status reports, staged chunks and load orders."""

from __future__ import annotations

import msgspec

from hibiscustray.agent.interface import (
    EngineReport,
    LoadMode,
    OrderAccepted,
    OrderConflict,
    OrderInForce,
    OrderOutcome,
    OrderRejected,
)
from hibiscustray.agent.pushback import PushbackGate
from hibiscustray.decoding import decode_json
from hibiscustray.exceptions import ChunkMissing, RecordInvalid, ResponseInvalid, UpstreamRejected
from hibiscustray.platform.records import Count, ExactNumber, WireLayers, WireModel, read_layers
from hibiscustray.platform.wire import (
    ORDER_PATH,
    REPORT_PATH,
    RETRY_AFTER,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)
from hibiscustray.replicas import ServedModel
from hibiscustray.web import ClientResponse, HttpClient

JSON_HEADERS = {"Content-Type": "application/json"}
CALL_TIMEOUT_S = 1.5
MAX_ANSWER_B = 256 * 1024
"""Longest body of a report or of a list of staged chunks."""
CONNECT_TIMEOUT_S = 0.5
LOAD_MODE_VALUES = {LoadMode.FINISH_RUNNING: "queue", LoadMode.CUT_RUNNING: "truncate"}


class _Report(msgspec.Struct, frozen=True):
    models: tuple[WireModel, ...] = ()
    layers: WireLayers | None = None
    # True while a load order is in progress, whether or not requests are running.
    busy: bool = False
    sequence: ExactNumber = 0
    waiting: Count = 0
    running: Count = 0
    born: ExactNumber = 0


class _StagedChunks(msgspec.Struct, frozen=True):
    held: tuple[Count, ...] = ()


class PlatformEngine:
    """Sends requests to the engine on this VM; implements `StagingEngine`."""

    def __init__(self, address: str) -> None:
        self._http = HttpClient(f"http://{address}", CALL_TIMEOUT_S)
        self._pushback = PushbackGate()

    def read_report(self) -> EngineReport:
        """Return the engine's state; raise `UpstreamError` if it cannot be read."""
        wire = self._decode(self._get(REPORT_PATH), _Report)
        return EngineReport(
            models=tuple(ServedModel(m.name, m.version) for m in wire.models),
            layers=read_layers(wire.layers),
            is_loading=wire.busy,
            order_count=wire.sequence,
            running=wire.running,
            waiting=wire.waiting,
            born_ms=wire.born,
        )

    def list_staged(self, model: str) -> frozenset[int]:
        """Return the indexes of a model's chunks in the staging area."""
        return frozenset(self._decode(self._get(STAGE_GET_PATH + model), _StagedChunks).held)

    def read_staged(self, model: str, index: int, size_b: int) -> bytes:
        """Return a staged chunk without verifying it.

        Raises `ChunkMissing` if it is not staged or is longer than `size_b` bytes.
        """
        try:
            response = self._call("GET", f"{STAGE_GET_PATH}{model}?num={index}", max_b=size_b)
        except ResponseInvalid as error:
            raise ChunkMissing(f"chunk {index} of {model}: {error}") from error
        if response.status == 404:
            raise ChunkMissing(f"chunk {index} of {model} is not staged")
        _check(response)
        return response.body

    def stage(self, model: str, index: int, data: bytes) -> None:
        """Write a chunk into the staging area, replacing an earlier one of the same index."""
        _check(self._call("PUT", f"{STAGE_PUT_PATH}{model}?num={index}", data))

    def order_load(
        self, model: str, version: int, mode: LoadMode, order_count: int, fencing: int
    ) -> OrderOutcome:
        """Order the engine to load the staged version if its order count equals `order_count`."""
        order = {
            "operation": "start",
            "model": model,
            "version": version,
            "mode": LOAD_MODE_VALUES[mode],
            "precondition": order_count,
            "fence": fencing,
        }
        # On a used connection the order may be lost in a way that leaves open whether it was read.
        body = msgspec.json.encode(order)
        response = self._call("POST", ORDER_PATH, body, headers=JSON_HEADERS, is_fresh=True)
        match response.status:
            case 202:
                return OrderAccepted()
            case 200:
                return OrderInForce()
            case 409 | 412:
                return OrderConflict(response.body.decode(errors="replace")[:200])
        return OrderRejected(response.status, response.body.decode(errors="replace")[:200])

    def _get(self, path: str) -> ClientResponse:
        response = self._call("GET", path)
        _check(response)
        return response

    def _call(
        self, method: str, path: str, body: bytes = b"", max_b: int = MAX_ANSWER_B, **options
    ) -> ClientResponse:
        self._pushback.check()
        options["connect_timeout_s"] = CONNECT_TIMEOUT_S
        stream = self._http.open(method, path, body, **options)
        self._pushback.record(stream.status, stream.headers.get(RETRY_AFTER.lower()))
        return stream.read_response(max_b)

    @staticmethod
    def _decode(response: ClientResponse, record_type):
        try:
            return decode_json(response.body, record_type)
        except RecordInvalid as error:
            raise UpstreamRejected(response.status, f"cannot decode response: {error}") from error


def _check(response: ClientResponse) -> None:
    if not 200 <= response.status < 300:
        raise UpstreamRejected(response.status, response.body.decode(errors="replace")[:200])
