"""Stand-in for a model engine that generates one token per step and running sequence."""

from __future__ import annotations

import hashlib
import queue
import ssl
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from hibiscustray.protocols.engine import EngineLoad, EngineWeights, LoadWeightsOrder
from hibiscustray.standins.batching import DEFAULT_PRIORITY, Batch, EngineTuning, Sequence
from hibiscustray.web import HttpClient, HttpServer, Request, Response, Router
from hibiscustray.weights import Manifest

DEFAULT_TOKENS = 16
"""Tokens of a response to a request without ``max_tokens``."""
SERVER_THREADS = 64
CHUNKS_PER_READ = 16
LOAD_UPDATE_INTERVAL_S = 0.5
CLIENT_CHECK_INTERVAL_S = 0.2
UNREPORTED_CACHE_EVENTS = 8
"""Number of newest cache events that are not reported yet."""
CACHE_EVENT_DROP_INTERVAL = 7
"""Every cache event whose number is a multiple of this is never reported."""


@dataclass(frozen=True)
class EngineRecord:
    """What the engine generated for one attempt, and how much of the prompt was cached."""

    request_id: str
    attempt_id: str
    prompt: str
    digest: str
    tokens: int
    is_finished: bool
    prompt_tokens: int = 0
    cached_tokens: int = 0


class EngineStandIn:
    """Serves chat completions, executes load orders and records every attempt.

    With `checks_fencing` it rejects load orders with a fencing number that is not greater than
    that of its weights; otherwise it executes them and counts them in `stale_orders_taken`.
    """

    def __init__(
        self,
        address: str,
        port: int,
        tuning: EngineTuning | None = None,
        checks_fencing: bool = True,
        threads: int = SERVER_THREADS,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._context = context
        self.records: list[EngineRecord] = []
        self.orders: list[LoadWeightsOrder] = []
        self.stale_orders_taken = 0
        self._checks_fencing = checks_fencing
        self.weights = EngineWeights()
        self._batch = Batch(tuning or EngineTuning(), self._record)
        self._load = EngineLoad()
        self._load_updated_at = 0.0
        self._last_completion: dict = {}
        self._lock = threading.Lock()
        router = Router(_describe_error)
        router.add("POST", "/v1/chat/completions", self._serve_chat)
        router.add("POST", "/orders/load", self._serve_load_order)
        router.add("GET", "/orders/loaded", lambda _: Response.json(self.weights))
        router.add("GET", "/load", self._serve_load)
        router.add("GET", "/cache/events", self._serve_cache_events)
        router.add("GET", "/records", lambda _: Response.json(self.records))
        self._http = HttpServer(router, address, port, threads)

    @property
    def tuning(self) -> EngineTuning:
        """Return the duration of a step and the limits of the batch."""
        return self._batch.tuning

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._http.url

    def start(self) -> None:
        """Start the step thread and the HTTP server."""
        self._batch.start()
        self._http.start()

    def stop(self) -> None:
        """Stop the step thread and the HTTP server."""
        self._batch.stop()
        self._http.stop()

    def set_faults(self, **changes: Any) -> None:
        """Change some of the simulated faults."""
        self._batch.faults = replace(self._batch.faults, **changes)

    def _serve_load(self, request: Request) -> Response:
        """Report a load that is updated only every `LOAD_UPDATE_INTERVAL_S`."""
        now = time.monotonic()
        if now - self._load_updated_at > LOAD_UPDATE_INTERVAL_S:
            batch = self._batch
            self._load = EngineLoad(batch.running, batch.waiting, batch.cache.free_share)
            self._load_updated_at = now
        return Response.json(self._load)

    def _serve_cache_events(self, request: Request) -> Response:
        """Report cache events without the newest ones and with gaps, as a lagging engine would."""
        after = int(request.query.removeprefix("after=") or 0)
        delayed = self._batch.cache.events[:-UNREPORTED_CACHE_EVENTS]
        return Response.json(
            [e for e in delayed if e.number > after and e.number % CACHE_EVENT_DROP_INTERVAL]
        )

    def _serve_load_order(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body, type=LoadWeightsOrder)
        with self._lock:
            is_stale = order.fencing <= self.weights.fencing
            if is_stale and self._checks_fencing:
                return Response.json({"fencing": self.weights.fencing}, 409)
            self.stale_orders_taken += is_stale
        digest, _ = _read_weights(f"{order.weights_url}/{order.digest}", self._context)
        for adapter in order.adapters:
            read, base = _read_weights(f"{order.weights_url}/{adapter}", self._context)
            if (read, base) != (adapter, digest):
                return Response.json({"adapter": adapter, "base": base}, 422)
        with self._lock:
            self.orders.append(order)
            self.weights = EngineWeights(digest, order.adapters, order.fencing)
        return Response.json(self.weights)

    def _serve_chat(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        sequence = Sequence(
            request_id=request.headers.get("x-request-id", ""),
            attempt_id=request.headers.get("x-attempt-id", ""),
            prompt=body["messages"][-1]["content"],
            count=int(body.get("max_tokens", DEFAULT_TOKENS)),
            digest=self.weights.digest,
            priority=int(request.headers.get("x-priority", DEFAULT_PRIORITY)),
            position=int(body.get("continue_from", 0)),
        )
        if not sequence.digest:
            return Response.json({"error": {"message": "no weights"}}, 503)
        self._batch.add(sequence)
        if body.get("stream"):
            return Response(200, self._stream(sequence, request), "text/event-stream")
        return self._collect(sequence, request)

    def _collect(self, sequence: Sequence, request: Request) -> Response:
        """Wait for the complete text; cancel the sequence if the client disconnects."""
        text = "".join(_read_tokens(sequence, request))
        completion = _make_completion(sequence, text)
        if self._batch.faults.is_crossed:
            completion, self._last_completion = self._last_completion or completion, completion
        return Response.json(completion)

    def _stream(self, sequence: Sequence, request: Request) -> Iterator[bytes]:
        try:
            for token in _read_tokens(sequence, request):
                yield b"data: " + msgspec.json.encode(_make_chunk(sequence, token)) + b"\n\n"
            if not sequence.is_cancelled:
                yield b"data: [DONE]\n\n"
        finally:
            sequence.is_cancelled = True

    def _record(self, sequence: Sequence) -> None:
        record = EngineRecord(
            sequence.request_id,
            sequence.attempt_id,
            sequence.prompt,
            sequence.digest,
            sequence.generated,
            sequence.position >= sequence.count,
            sequence.prompt_tokens,
            sequence.cached_tokens,
        )
        self.records.append(record)


def _read_tokens(sequence: Sequence, request: Request) -> Iterator[str]:
    """Yield tokens as they are generated; cancel the sequence if the client disconnects."""
    while not sequence.is_cancelled:
        try:
            token = sequence.tokens.get(timeout=CLIENT_CHECK_INTERVAL_S)
        except queue.Empty:
            token = ""
        if token is None:
            return
        if request.is_disconnected():
            sequence.is_cancelled = True
        elif token:
            yield token


def _read_weights(url: str, context: ssl.SSLContext | None) -> tuple[str, str]:
    """Read all chunks; return the digest computed from their bytes, and the digest of the base."""
    client = HttpClient(url, 60.0, context)
    layout = msgspec.json.decode(client.call("GET", "").body)
    chunks = []
    for first in range(0, layout["count"], CHUNKS_PER_READ):
        last = min(first + CHUNKS_PER_READ, layout["count"]) - 1
        chunks += _hash_chunks(client.call("GET", f"/{first}-{last}").body, layout["chunk_size"])
    client.close()
    return _compute_digest(layout, chunks), layout["base"]


def _hash_chunks(data: bytes, chunk_size: int) -> list[bytes]:
    return [
        hashlib.sha256(data[start : start + chunk_size]).digest()
        for start in range(0, len(data), chunk_size)
    ]


def _compute_digest(layout: dict, chunks: list[bytes]) -> str:
    manifest = Manifest(
        layout["path"], layout["size"], layout["chunk_size"], tuple(chunks), layout["base"]
    )
    return manifest.digest


def _make_completion(sequence: Sequence, text: str) -> dict:
    message = {"role": "assistant", "content": text}
    return {
        "id": sequence.request_id,
        "object": "chat.completion",
        "system_fingerprint": sequence.digest,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"completion_tokens": sequence.count},
    }


def _make_chunk(sequence: Sequence, token: str) -> dict:
    return {
        "id": sequence.request_id,
        "object": "chat.completion.chunk",
        "system_fingerprint": sequence.digest,
        "choices": [{"index": 0, "delta": {"content": token}}],
    }


def _describe_error(error: Exception) -> Response:
    return Response.json({"error": {"message": f"{type(error).__name__}: {error}"}}, 500)
