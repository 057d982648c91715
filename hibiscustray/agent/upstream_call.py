"""A call to the upstream that runs in its own thread and has exactly one outcome."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import (
    AnswerCrossed,
    UpstreamConnectionLost,
    UpstreamError,
    UpstreamUnreachable,
)
from hibiscustray.peers import AttemptRequest
from hibiscustray.protocols import EngineClient
from hibiscustray.protocols.engine import HttpStream
from hibiscustray.requests import ClaimedElsewhere, RecordedResponse, Uncertain

EVENT_PREFIX = b"data: "
EVENT_END = b"[DONE]"
EVENT_STREAM = "text/event-stream"
HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
RETRY_AFTER_S = 0.2
KEYED_CALL_TIMEOUT_S = 120.0
"""Timeout of calls that continue without their caller, for repeats with the same key."""


@dataclass(frozen=True)
class NotStarted:
    """The request did not run and will not run.

    `is_final` is set if no request with the same idempotency key has run or ever will.
    """

    kind: str
    detail: str
    retry_after_s: float = RETRY_AFTER_S
    is_final: bool = False


AttemptOutcome = RecordedResponse | Uncertain | NotStarted | ClaimedElsewhere
CallItems = queue.SimpleQueue[bytes | AttemptOutcome]


class CompletionIdentity(msgspec.Struct, frozen=True):
    """The fields of a chat completion that identify its request and the weights that were used."""

    id: str = ""
    system_fingerprint: str = ""


decode_identity = msgspec.json.Decoder(CompletionIdentity).decode


class UpstreamCall:
    """Runs one attempt and puts its payloads, then its outcome, into the queue `items`.

    `prepare` runs before the call; if it returns an outcome, the upstream is not called.
    `on_outcome` records the outcome and returns the one to put into the queue. Either
    `cancel_if_not_started` or the start of the call takes effect, whichever comes first.
    """

    def __init__(
        self,
        engine: EngineClient,
        request: AttemptRequest,
        deadline: float,
        prepare: Callable[[], AttemptOutcome | None],
        on_outcome: Callable[[AttemptOutcome], AttemptOutcome],
        busy_means_not_run: bool,
    ) -> None:
        self._engine = engine
        self._request = request
        self._deadline = deadline
        self._prepare = prepare
        self._on_outcome = on_outcome
        self._busy_means_not_run = busy_means_not_run or request.is_idempotent
        self._runs_to_completion = bool(request.key) and not request.is_idempotent
        self._is_started = False
        self._is_cancelled = False
        self._is_aborted = False
        self._close_connection: Callable[[], None] | None = None
        self._lock = threading.Lock()
        self.items: CallItems = queue.SimpleQueue()

    def run(self) -> None:
        """Run the call and queue its outcome."""
        try:
            outcome = self._execute()
        except Exception:
            self._finish(Uncertain("internal error of the agent"))
            raise
        self._finish(outcome)

    def cancel_if_not_started(self) -> bool:
        """Cancel the call if it has not started; return whether it is cancelled."""
        with self._lock:
            self._is_cancelled = self._is_cancelled or not self._is_started
            return self._is_cancelled

    def abort(self) -> None:
        """Close the connection to the upstream, which cancels the request there."""
        with self._lock:
            self._is_aborted = True
            if self._close_connection is not None:
                self._close_connection()

    def _finish(self, outcome: AttemptOutcome) -> None:
        self.items.put(self._on_outcome(outcome))

    def _execute(self) -> AttemptOutcome:
        early = self._prepare()
        if early is not None:
            if isinstance(early, RecordedResponse):
                self._put_payloads(early.payloads)
            return early
        if not self._begin():
            return NotStarted(
                "deadline", "the request was cancelled or its deadline passed before it started"
            )
        try:
            return self._call()
        except UpstreamUnreachable as error:
            return NotStarted("upstream-unreachable", str(error))
        except UpstreamError as error:
            return Uncertain(str(error))

    def _begin(self) -> bool:
        with self._lock:
            if self._is_cancelled or time.monotonic() >= self._deadline:
                self._is_cancelled = True
                return False
            self._is_started = True
            return True

    def _call(self) -> AttemptOutcome:
        request = self._request
        # Nothing else tells for certain to which request the response of a plain service belongs.
        stream = self._engine.open(
            request.path,
            request.body,
            _make_headers(request),
            KEYED_CALL_TIMEOUT_S if self._runs_to_completion else request.timeout_s,
            is_fresh=True,
            on_connect=self._set_close_connection,
        )
        try:
            return self._read(stream)
        finally:
            # Once it is closed, a late abort must not shut its socket down.
            self._set_close_connection(None)
            stream.close()

    def _set_close_connection(self, close_connection: Callable[[], None] | None) -> None:
        with self._lock:
            self._close_connection = close_connection
            if self._is_aborted and close_connection is not None:
                close_connection()

    def _read(self, stream: HttpStream) -> AttemptOutcome:
        if stream.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
            detail = f"the upstream returned HTTP status {stream.status}"
            if self._busy_means_not_run:
                return NotStarted("upstream-busy", detail)
            return Uncertain(detail)
        content_type = stream.headers.get("content-type", "application/json")
        recorded: list[bytes] = []
        for payload in self._read_payloads(stream, content_type.startswith(EVENT_STREAM)):
            self._check_identity(payload, stream.status)
            self.items.put(payload)
            if self._runs_to_completion:
                recorded.append(payload)
        return RecordedResponse(tuple(recorded), stream.status, content_type)

    def _read_payloads(self, stream: HttpStream, is_events: bool) -> Iterator[bytes]:
        if is_events:
            yield from _read_events(stream)
            return
        if not stream.framing.is_delimited:
            raise UpstreamConnectionLost(
                "the response has neither a Content-Length nor chunked encoding"
            )
        yield stream.read_all()

    def _check_identity(self, payload: bytes, status: int) -> None:
        """Raise `AnswerCrossed` if a completion names another request or other weights."""
        if not self._request.digest or status != HTTP_OK:
            return
        try:
            identity = decode_identity(payload)
        except DECODE_ERRORS as error:
            raise AnswerCrossed(f"the completion cannot be decoded: {error}") from error
        # Engines may prepend their own prefix to the request id.
        if not identity.id.endswith(self._request.request_id):
            raise AnswerCrossed(f"the response is for request {identity.id[:80]!r}")
        if identity.system_fingerprint != self._request.digest:
            raise AnswerCrossed(
                f"the response was computed with weights {identity.system_fingerprint[:80]!r}"
            )

    def _put_payloads(self, payloads: tuple[bytes, ...]) -> None:
        for payload in payloads:
            self.items.put(payload)


def _read_events(stream: HttpStream) -> Iterator[bytes]:
    for line in stream.read_lines():
        if not line.endswith(b"\n"):
            break
        if not line.startswith(EVENT_PREFIX):
            continue
        payload = line[len(EVENT_PREFIX) :].rstrip(b"\r\n")
        if payload == EVENT_END:
            stream.read_all()
            return
        yield payload
    raise UpstreamConnectionLost("the event stream ended without an end event")


def _make_headers(request: AttemptRequest) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "X-Request-Id": request.request_id,
        "X-Attempt-Id": request.attempt_id,
        "X-Priority": str(request.priority),
        "X-Expected-Digest": request.digest,
    }
