"""A model engine's stand-in: continuous batching in steps, one token a step and sequence."""

from __future__ import annotations

import hashlib
import queue
import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from hibiscustray.platform.engine import EngineLoad, EngineWeights, LoadOrder
from hibiscustray.standins.tokens import make_token
from hibiscustray.web import HttpClient, HttpServer, Request, Response, Router
from hibiscustray.weights import Manifest

DEFAULT_TOKENS = 16
THREADS = 64
CHUNKS_A_READ = 16


@dataclass(frozen=True)
class EngineRecord:
    """What the engine did for one attempt."""

    request_id: str
    attempt_id: str
    prompt: str
    digest: str
    tokens: int
    is_finished: bool


@dataclass
class Sequence:
    """One request in the engine: tokens go to its queue, None ends it."""

    request_id: str
    attempt_id: str
    prompt: str
    count: int
    digest: str
    position: int = 0
    is_cancelled: bool = False
    tokens: queue.SimpleQueue[str | None] = field(default_factory=queue.SimpleQueue)


class EngineStandIn:
    """Serves chat completions and takes load orders; keeps records of all it did."""

    def __init__(
        self,
        address: str,
        port: int,
        step_s: float = 0.01,
        max_batch: int = 16,
        checks_fencing: bool = True,
        threads: int = THREADS,
    ) -> None:
        self.step_s = step_s
        self.records: list[EngineRecord] = []
        self.orders: list[LoadOrder] = []
        self.stale_orders_taken = 0
        self._max_batch = max_batch
        self._checks_fencing = checks_fencing
        self.weights = EngineWeights()
        self._waiting: deque[Sequence] = deque()
        self._running: list[Sequence] = []
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run_steps, name="engine", daemon=True)
        router = Router(_describe_error)
        router.add("POST", "/v1/chat/completions", self._serve_chat)
        router.add("POST", "/orders/load", self._serve_load_order)
        router.add("GET", "/orders/loaded", lambda _: Response.json(self.weights))
        router.add("GET", "/load", self._serve_load)
        router.add("GET", "/records", lambda _: Response.json(self.records))
        self._http = HttpServer(router, address, port, threads)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._http.url

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()
        self._http.start()

    def stop(self) -> None:
        """End the server and the step thread."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()
        self._http.stop()

    def _serve_load(self, request: Request) -> Response:
        return Response.json(EngineLoad(len(self._running), len(self._waiting)))

    def _serve_load_order(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body, type=LoadOrder)
        with self._lock:
            is_stale = order.fencing <= self.weights.fencing
            if is_stale and self._checks_fencing:
                return Response.json({"fencing": self.weights.fencing}, 409)
            self.stale_orders_taken += is_stale
        digest, _ = _read_weights(f"{order.weights_url}/{order.digest}")
        for adapter in order.adapters:
            read, base = _read_weights(f"{order.weights_url}/{adapter}")
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
        )
        if not sequence.digest:
            return Response.json({"error": {"message": "no weights"}}, 503)
        with self._lock:
            self._waiting.append(sequence)
        self._wake.set()
        if body.get("stream"):
            return Response(200, self._stream(sequence, request), "text/event-stream")
        text = "".join(iter(sequence.tokens.get, None))
        return Response.json(_make_completion(sequence, text))

    def _stream(self, sequence: Sequence, request: Request) -> Iterator[bytes]:
        try:
            for token in iter(sequence.tokens.get, None):
                chunk = msgspec.json.encode(_make_chunk(sequence, token))
                yield b"data: " + chunk + b"\n\n"
                if request.is_disconnected():
                    return
            yield b"data: [DONE]\n\n"
        finally:
            sequence.is_cancelled = True

    def _run_steps(self) -> None:
        while not self._stopping.is_set():
            if not self._running and not self._waiting:
                self._wake.wait()
                self._wake.clear()
                continue
            time.sleep(self.step_s)
            self._step()

    def _step(self) -> None:
        with self._lock:
            while self._waiting and len(self._running) < self._max_batch:
                self._running.append(self._waiting.popleft())
            running = list(self._running)
        for sequence in running:
            if sequence.position < sequence.count and not sequence.is_cancelled:
                token = make_token(sequence.digest, sequence.prompt, sequence.position)
                sequence.position += 1
                sequence.tokens.put(token)
            if sequence.position >= sequence.count or sequence.is_cancelled:
                self._finish(sequence)

    def _finish(self, sequence: Sequence) -> None:
        with self._lock:
            self._running.remove(sequence)
            record = EngineRecord(
                sequence.request_id,
                sequence.attempt_id,
                sequence.prompt,
                sequence.digest,
                sequence.position,
                sequence.position >= sequence.count,
            )
            self.records.append(record)
        sequence.tokens.put(None)


def _read_weights(url: str) -> tuple[str, str]:
    """Read all chunks; return the digest that the bytes themselves give, and the base."""
    client = HttpClient(url, 60.0)
    layout = msgspec.json.decode(client.call("GET", "").body)
    chunks = []
    for first in range(0, layout["count"], CHUNKS_A_READ):
        last = min(first + CHUNKS_A_READ, layout["count"]) - 1
        chunks += _hash_chunks(client.call("GET", f"/{first}-{last}").body, layout["chunk_size"])
    client.close()
    return _digest_layout(layout, chunks), layout["base"]


def _hash_chunks(data: bytes, chunk_size: int) -> list[bytes]:
    return [
        hashlib.sha256(data[start : start + chunk_size]).digest()
        for start in range(0, len(data), chunk_size)
    ]


def _digest_layout(layout: dict, chunks: list[bytes]) -> str:
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
