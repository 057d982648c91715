"""Runs attempts on the upstream and streams its responses to entries as numbered frames."""

from __future__ import annotations

import queue
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import grpc

from hibiscustray.agent.keyed import KeyedRequest, KeyedRequests
from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.agent.state import ServingState
from hibiscustray.agent.upstream_call import (
    RETRY_AFTER_S,
    AttemptOutcome,
    CallItems,
    NotStarted,
    UpstreamCall,
)
from hibiscustray.peers import (
    AttemptRequest,
    Claimed,
    Data,
    End,
    Failed,
    Frame,
    KeepAlive,
    Refused,
    TicketReply,
    TicketRequest,
)
from hibiscustray.peers.messages import BUSY
from hibiscustray.protocols import EngineClient
from hibiscustray.requests import (
    TICKET_LIFETIME_S,
    ClaimedElsewhere,
    InProgress,
    NewKey,
    RecordedResponse,
    ResponseDigest,
    Uncertain,
)
from hibiscustray.telemetry import Metrics

KEEP_ALIVE_INTERVAL_S = 0.5
DEADLINE_MARGIN_S = 0.1
DEADLINE_MARGIN_SHARE = 0.1
"""Bounds on the time before the deadline that is left for the last frame to reach the entry: in
seconds, and as a share of the remaining time."""


class AttemptServer:
    """Serves attempts, each in the thread of its gRPC call."""

    def __init__(
        self,
        state: ServingState,
        engine: EngineClient,
        keyed: KeyedRequests,
        incarnation: int,
        concurrency: int,
        metrics: Metrics,
        busy_means_not_run: bool = False,
        load: UpstreamLoad | None = None,
    ) -> None:
        self._state = state
        self._engine = engine
        self._keyed = keyed
        self._incarnation = incarnation
        self._metrics = metrics
        self._busy_means_not_run = busy_means_not_run
        self._concurrency = concurrency
        self._load = load or UpstreamLoad(engine)
        self._executor = ThreadPoolExecutor(concurrency * 2, thread_name_prefix="upstream")

    def serve(self, request: AttemptRequest, context: grpc.ServicerContext) -> Iterator[Frame]:
        """Yield the frames of one attempt."""
        deadline = _read_deadline(request, context)
        if not context.is_active() or time.monotonic() >= deadline:
            yield self._refuse(
                NotStarted("deadline", "the deadline passed before the attempt started")
            )
        elif request.incarnation not in (0, self._incarnation):
            yield self._refuse(
                NotStarted("incarnation", "the agent has restarted since the entry chose it")
            )
        elif request.is_idempotent or not request.key:
            yield from self._serve_unkeyed(request, context, deadline)
        else:
            yield from self._serve_keyed(request, context, deadline)

    def serve_ticket(self, request: TicketRequest, context: grpc.ServicerContext) -> TicketReply:
        """Issue a ticket; the reply is empty if the agent is leaving or serves no version."""
        if self._state.is_leaving or self._state.digest is None:
            return TicketReply()
        return TicketReply(self._keyed.issue(request.team, request.service), TICKET_LIFETIME_S)

    def _serve_unkeyed(self, request: AttemptRequest, context, deadline) -> Iterator[Frame]:
        refusal = self._admit(request)
        if refusal is not None:
            yield self._refuse(refusal)
            return
        call = self._make_call(request, deadline, lambda: None, self._finish_unkeyed)
        yield from self._run(request, call, context, deadline)

    def _serve_keyed(self, request: AttemptRequest, context, deadline) -> Iterator[Frame]:
        keyed, outcome = self._keyed.begin(request)
        match outcome:
            case NewKey():
                yield from self._run_keyed(request, keyed, context, deadline)
                return
            case InProgress():
                outcome = yield from self._wait_for_first(keyed, deadline)
        items: CallItems = queue.SimpleQueue()
        if isinstance(outcome, RecordedResponse):
            for payload in outcome.payloads:
                items.put(payload)
        items.put(outcome)
        yield from self._stream_frames(request, items, lambda: False, deadline)

    def _run_keyed(
        self, request: AttemptRequest, keyed: KeyedRequest, context, deadline: float
    ) -> Iterator[Frame]:
        refusal = self._admit(request)
        if refusal is not None:
            yield self._refuse(self._keyed.finish(keyed, refusal))
            return
        prepare, finish = self._keyed.make_callbacks(keyed)

        def finish_and_end_attempt(outcome: AttemptOutcome) -> AttemptOutcome:
            try:
                return finish(outcome)
            finally:
                self._state.end_attempt()

        call = self._make_call(request, deadline, prepare, finish_and_end_attempt)
        yield from self._run(request, call, context, deadline)

    def _admit(self, request: AttemptRequest) -> NotStarted | None:
        """Count an attempt as running, or return why it may not start."""
        refusal = self._state.begin_attempt(request.digest)
        if refusal:
            return NotStarted(refusal, "")
        if self._state.running > self._concurrency:
            self._state.end_attempt()
            return NotStarted(
                BUSY, f"the limit of {self._concurrency} concurrent attempts is reached"
            )
        return None

    def _wait_for_first(self, keyed: KeyedRequest, deadline: float):
        """Send keep-alive frames while the first request with the key runs; return its outcome."""
        while True:
            outcome = self._keyed.wait(keyed, KEEP_ALIVE_INTERVAL_S)
            if not isinstance(outcome, InProgress):
                return outcome
            if time.monotonic() >= deadline:
                return Uncertain("the first request with this key has not finished")
            yield KeepAlive(self._state.running)

    def _make_call(self, request, deadline, prepare, finish) -> UpstreamCall:
        return UpstreamCall(
            self._engine, request, deadline, prepare, finish, self._busy_means_not_run
        )

    def _finish_unkeyed(self, outcome: AttemptOutcome) -> AttemptOutcome:
        self._state.end_attempt()
        return outcome

    def _run(
        self, request: AttemptRequest, call: UpstreamCall, context, deadline: float
    ) -> Iterator[Frame]:
        def stop() -> None:
            # A non-idempotent call that has started continues, so that repeats receive its outcome.
            if not call.cancel_if_not_started() and request.is_idempotent:
                call.abort()

        self._executor.submit(call.run)
        if not context.add_callback(stop):
            stop()
        try:
            yield from self._stream_frames(
                request, call.items, call.cancel_if_not_started, deadline
            )
        finally:
            stop()

    def _stream_frames(
        self, request: AttemptRequest, items: CallItems, cancel, deadline
    ) -> Iterator[Frame]:
        """Yield payloads and the outcome as frames, and keep-alive frames while there are none."""
        digest = ResponseDigest(request.request_id)
        while True:
            batch, outcome = _read_batch(items)
            yield from _make_data_frames(digest, batch, request.skip)
            if outcome is not None:
                yield self._make_final_frame(digest, outcome)
                return
            if time.monotonic() >= deadline:
                yield self._make_deadline_frame(cancel())
                return
            if not batch:
                yield KeepAlive(self._state.running, self._load.waiting)

    def _make_deadline_frame(self, is_not_started: bool) -> Frame:
        if is_not_started:
            return self._refuse(
                NotStarted("deadline", "the deadline passed before the attempt started")
            )
        return Failed("deadline", "the deadline passed before the upstream's response was complete")

    def _make_final_frame(self, digest: ResponseDigest, outcome: AttemptOutcome) -> Frame:
        match outcome:
            case RecordedResponse(status=status, content_type=content_type):
                self._metrics.count("attempts_answered_total")
                load, waiting = self._state.running, self._load.waiting
                return End(digest.count, digest.hexdigest(), status, content_type, load, waiting)
            case NotStarted():
                return self._refuse(outcome)
            case ClaimedElsewhere(agent=agent, incarnation=incarnation):
                return Claimed(agent, incarnation)
            case Uncertain(detail=detail):
                self._metrics.count("attempts_uncertain_total")
                return Failed("uncertain", detail)

    def _refuse(self, refusal: NotStarted) -> Refused:
        self._metrics.count("attempts_refused_total", {"kind": refusal.kind})
        return Refused(
            kind=refusal.kind,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s or RETRY_AFTER_S,
            load=self._state.running,
            is_final=refusal.is_final,
        )


def _read_deadline(request: AttemptRequest, context: grpc.ServicerContext) -> float:
    """Return the deadline minus a margin in which the last frame can still reach the entry."""
    remaining = context.time_remaining()
    left_s = request.timeout_s if remaining is None else min(request.timeout_s, remaining)
    return time.monotonic() + left_s - min(DEADLINE_MARGIN_S, DEADLINE_MARGIN_SHARE * left_s)


def _read_batch(items: CallItems) -> tuple[list[bytes], AttemptOutcome | None]:
    """Wait up to a keep-alive interval; return queued payloads, and the outcome if it is there."""
    batch: list[bytes] = []
    try:
        item = items.get(timeout=KEEP_ALIVE_INTERVAL_S)
        while isinstance(item, bytes):
            batch.append(item)
            item = items.get_nowait()
        return batch, item
    except queue.Empty:
        return batch, None


def _make_data_frames(digest: ResponseDigest, batch: list[bytes], skip: int) -> Iterator[Data]:
    """Add payloads to the digest and yield those that the caller has not received yet."""
    skipped = max(0, min(len(batch), skip - digest.count))
    digest.add(batch[:skipped])
    unsent = batch[skipped:]
    if not unsent:
        return
    number = digest.count
    digest.add(unsent)
    yield Data(number, tuple(unsent), digest.checksum())
