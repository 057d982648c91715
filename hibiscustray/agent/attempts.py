"""Runs attempts on the upstream and turns its answers into numbered frames."""

from __future__ import annotations

import hashlib
import queue
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import grpc

from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.agent.state import ServingState
from hibiscustray.exceptions import (
    KeyReused,
    UpstreamConnectionLost,
    UpstreamError,
    UpstreamUnreachable,
)
from hibiscustray.peers import AttemptRequest, Beat, Data, End, Failed, Frame, Refused
from hibiscustray.peers.messages import BUSY
from hibiscustray.platform import EngineClient
from hibiscustray.platform.engine import HttpStream
from hibiscustray.requests import AnswerDigest, Fresh, Ledger, Mismatch, Repeat, Running
from hibiscustray.telemetry import Metrics

BEAT_INTERVAL_S = 0.5
RETRY_AFTER_S = 0.2
EVENT_PREFIX = b"data: "
EVENT_END = b"[DONE]"
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


class AttemptServer:
    """Serves attempts; each runs in the thread of its gRPC call."""

    def __init__(
        self,
        state: ServingState,
        engine: EngineClient,
        ledger: Ledger,
        concurrency: int,
        load: UpstreamLoad,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._engine = engine
        self._ledger = ledger
        self._concurrency = concurrency
        self._load = load
        self._metrics = metrics
        self._readers = ThreadPoolExecutor(concurrency * 2, thread_name_prefix="upstream")

    def serve(self, request: AttemptRequest, context: grpc.ServicerContext) -> Iterator[Frame]:
        """Yield the frames of one attempt."""
        refusal = self._state.begin(request.digest)
        if refusal:
            yield self._refuse(refusal, "")
            return
        try:
            if self._state.running > self._concurrency:
                yield self._refuse(BUSY, f"{self._concurrency} attempts are running")
                return
            yield from self._serve_key(request, context)
        finally:
            self._state.end()

    def _serve_key(self, request: AttemptRequest, context) -> Iterator[Frame]:
        if request.is_idempotent or not request.key:
            yield from self._run(request, context, "")
            return
        key = f"{request.team}/{request.service}/{request.key}"
        match self._ledger.begin(key, hashlib.sha256(request.body).hexdigest()):
            case Fresh():
                yield from self._run(request, context, key)
            case Repeat(payloads=payloads, status=status, content_type=content_type):
                yield from self._send_whole(payloads, status, content_type)
            case Running():
                yield Failed("running", "the first request with this key has not finished")
            case Mismatch():
                yield Refused(KeyReused.kind, "the idempotency key was used with another body")

    def _run(self, request: AttemptRequest, context, key: str) -> Iterator[Frame]:
        deadline = time.monotonic() + request.timeout_s
        try:
            stream = self._engine.open(
                request.path,
                request.body,
                _make_headers(request),
                request.timeout_s,
                is_fresh=not request.is_idempotent,
            )
        except UpstreamUnreachable as error:
            self._ledger.give_back(key)
            yield self._refuse("upstream-unreachable", str(error))
            return
        except UpstreamConnectionLost as error:
            yield Failed("upstream-lost", str(error))
            return
        if stream.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
            stream.close()
            self._ledger.give_back(key)
            yield self._refuse("upstream-busy", f"upstream answered {stream.status}")
            return
        context.add_callback(stream.abort)
        payloads: list[bytes] = []
        for frame in self._relay(request, stream, deadline):
            if isinstance(frame, Data):
                payloads.extend(frame.payloads)
            if isinstance(frame, End) and key:
                self._ledger.finish(key, Repeat(tuple(payloads), frame.status, frame.content_type))
            yield frame

    def _relay(self, request: AttemptRequest, stream: HttpStream, deadline) -> Iterator[Frame]:
        """Read the upstream in a thread of its own, so that beats go on while it is quiet."""
        items: queue.SimpleQueue[bytes | None | UpstreamError] = queue.SimpleQueue()
        is_events = stream.headers.get("content-type", "").startswith("text/event-stream")
        self._readers.submit(_read_payloads, stream, is_events, items)
        digest = AnswerDigest()
        sent = request.skip
        try:
            while True:
                batch, is_over, error = _take_batch(items)
                if batch:
                    fresh = _drop_known(batch, digest.count, request.skip)
                    digest.add(batch)
                    if fresh:
                        yield Data(sent, tuple(fresh))
                        sent += len(fresh)
                elif not is_over:
                    yield Beat(self._state.running, self._load.waiting)
                if error is not None:
                    yield Failed("upstream-lost", str(error))
                    return
                if is_over:
                    yield self._make_end(digest, stream)
                    return
                if time.monotonic() > deadline:
                    yield Failed("deadline", "the deadline passed while the upstream answered")
                    return
        finally:
            stream.abort()

    def _make_end(self, digest: AnswerDigest, stream: HttpStream) -> End:
        self._metrics.count("attempts_answered_total")
        content_type = stream.headers.get("content-type", "application/json")
        load, waiting = self._state.running, self._load.waiting
        return End(digest.count, digest.value(), stream.status, content_type, load, waiting)

    def _send_whole(self, payloads, status: int, content_type: str) -> Iterator[Frame]:
        digest = AnswerDigest()
        digest.add(payloads)
        yield Data(0, payloads)
        yield End(digest.count, digest.value(), status, content_type, self._state.running)

    def _refuse(self, kind: str, detail: str) -> Refused:
        self._metrics.count("attempts_refused_total", {"kind": kind})
        return Refused(kind, detail, RETRY_AFTER_S, self._state.running)


def _make_headers(request: AttemptRequest) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "X-Request-Id": request.request_id,
        "X-Attempt-Id": request.attempt_id,
        "X-Priority": str(request.priority),
        "X-Expected-Digest": request.digest,
    }


def _read_payloads(stream: HttpStream, is_events: bool, items: queue.SimpleQueue) -> None:
    """Put payloads, then None for a whole answer or an error for a cut one."""
    try:
        if not is_events:
            items.put(stream.read_all())
            items.put(None)
            stream.close()
            return
        for line in stream.read_lines():
            if not line.startswith(EVENT_PREFIX):
                continue
            payload = line[len(EVENT_PREFIX) :].rstrip(b"\r\n")
            if payload == EVENT_END:
                stream.read_all()
                items.put(None)
                stream.close()
                return
            items.put(payload)
        items.put(UpstreamConnectionLost("the answer had no end event"))
    except UpstreamError as error:
        items.put(error)
    stream.close()


def _take_batch(items: queue.SimpleQueue) -> tuple[list[bytes], bool, UpstreamError | None]:
    """Return the payloads waiting, whether the answer is over, and what cut it."""
    batch: list[bytes] = []
    try:
        item = items.get(timeout=BEAT_INTERVAL_S)
        while True:
            if item is None:
                return batch, True, None
            if isinstance(item, UpstreamError):
                return batch, False, item
            batch.append(item)
            item = items.get_nowait()
    except queue.Empty:
        return batch, False, None


def _drop_known(batch: list[bytes], count: int, skip: int) -> list[bytes]:
    """Return the payloads past those that the caller already has."""
    return batch[max(0, skip - count) :]
