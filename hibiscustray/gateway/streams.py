"""Streams of events, forwarded as they arrive and resumed from another replica when broken."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import TypeVar

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import ResponseInvalid, UpstreamConnectionLost
from hibiscustray.gateway.attempts import SILENCE_LIMIT_S, AttemptController
from hibiscustray.gateway.body import TrackedBody
from hibiscustray.gateway.context import RequestContext
from hibiscustray.gateway.events import EventSplitter, read_event_id
from hibiscustray.gateway.interface import (
    InboundResponse,
    ReplicaResponse,
    make_inbound_response,
)
from hibiscustray.gateway.outcome import (
    CallerDisconnected,
    MaybeRun,
    Outcome,
    OutOfTime,
    WeightsOutdated,
)
from hibiscustray.gateway.race import Contender, Race
from hibiscustray.placement import Placement, Refusal, RefusalReason

Result = TypeVar("Result")

SOUND_STREAM_S = 1.0
"""Time after its first event at which a stream shows that its prompt is not what ends replicas."""
SWAP_WAIT_S = 1.4
"""Time for which a stream waits for newer weights; callers leave after a gap of two seconds."""
SWAP_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True)
class StreamPart:
    """An attempt whose stream goes on, and the events that it has just received."""

    attempt: StreamAttempt
    events: list[bytes]


class StreamForwarder:
    """Runs requests whose response is a stream of events."""

    def __init__(self, attempts: AttemptController) -> None:
        self._attempts = attempts

    def run(self, context: RequestContext) -> InboundResponse:
        """Return a response whose body is the stream, once the first event has arrived."""
        while True:
            placement = self._attempts.place(context)
            if isinstance(placement, Refusal):
                return self._attempts.refuse(context, placement)
            result = self._begin(context, placement)
            match result:
                case InboundResponse(status=status):
                    self._attempts.reporter.record_response(context, status)
                    return result
                case StreamPart(attempt=attempt):
                    response = attempt.response
                    attempt.position.is_delimited = response.framing.is_delimited
                    body = TrackedBody(self._forward_events(result), attempt.close)
                    return make_inbound_response(response, body)
            final_response = self._attempts.handle_outcome(context, result)
            if final_response is not None:
                return final_response
            if not self._attempts.may_retry(context):
                return self._attempts.give_up(context)

    def _begin(
        self, context: RequestContext, placement: Placement
    ) -> StreamPart | InboundResponse | Outcome:
        """Make an attempt; while it is silent, try another replica if the request may repeat."""
        race = self._make_race(context, StreamPosition(context.inbound.resume_after))
        attempt = StreamAttempt(
            self._attempts, context, placement, context.inbound.resume_after, race.start_backup
        )
        race.open(attempt.watch)
        return self._settle(race, attempt, attempt.begin())

    def _settle(self, race: Race[StreamPart], attempt: StreamAttempt, result: Result) -> Result:
        """Return the result of an attempt, or that of the backup that has responded first."""
        match result:
            case CallerDisconnected() | OutOfTime():
                wait_s = 0.0
            case _:
                wait_s = attempt.context.time_left() if isinstance(result, Outcome) else 0.0
        winner = race.settle(wait_s)
        if winner is None:
            return self._attempts.confirm_caller(attempt.context, result)
        attempt.close()
        return winner

    def _forward_events(self, part: StreamPart) -> Iterator[bytes]:
        """Yield events as they arrive; raise `UpstreamConnectionLost` on a truncated stream."""
        attempt, events = part.attempt, part.events
        race = self._follow(attempt)
        try:
            while True:
                for event in events:
                    attempt.record_event(event)
                    yield event
                if attempt.is_complete:
                    self._attempts.reporter.record_response(
                        attempt.context, 200, attempt.event_count
                    )
                    return
                race.open(attempt.watch)
                result = self._settle(race, attempt, attempt.read_next_events())
                if isinstance(result, Outcome):
                    result = self._resume(attempt, result)
                if isinstance(result, StreamPart):
                    attempt, events = result.attempt, result.events
                    self._attempts.reporter.record_resumed(attempt.context)
                    race = self._follow(attempt)
                else:
                    events = result
        except GeneratorExit:
            self._attempts.reporter.record_disconnect(attempt.context, attempt.event_count)
            raise
        finally:
            race.close()
            attempt.close()

    def _follow(self, attempt: StreamAttempt) -> Race[StreamPart]:
        """Return a race between the rest of a stream and its resumptions."""
        race = self._make_race(attempt.context, attempt.position)

        def start_backup() -> None:
            # Without an event id, a resumption would repeat events.
            if attempt.position.last_event_id:
                race.start_backup()

        attempt.watch.set_on_silent(start_backup)
        return race

    def _make_race(self, context: RequestContext, position: StreamPosition) -> Race[StreamPart]:
        race: Race[StreamPart] = self._attempts.make_race(
            context, lambda *backup: self._run_backup(race, position, *backup), _discard
        )
        return race

    def _run_backup(
        self,
        race: Race[StreamPart],
        position: StreamPosition,
        context: RequestContext,
        placement: Placement,
        contender: Contender,
    ) -> StreamPart | Outcome:
        position = position.copy()
        attempt = StreamAttempt(
            self._attempts, context, placement, position.last_event_id, race.start_backup
        )
        attempt.position = position
        contender.set_watch(attempt.watch)
        return attempt.resume()

    def _resume(self, broken: StreamAttempt, outcome: Outcome) -> StreamPart:
        """Continue after the last event from another replica; raise `UpstreamConnectionLost`."""
        context = broken.context
        while True:
            if self._is_final(context, broken, outcome) or not self._attempts.may_retry(context):
                self._truncate(broken, outcome)
            placement = self._place_resumption(context, outcome)
            if isinstance(placement, Refusal):
                self._truncate(broken, placement)
            race = self._make_race(context, broken.position)
            attempt = StreamAttempt(
                self._attempts,
                context,
                placement,
                broken.position.last_event_id,
                race.start_backup,
            )
            attempt.position = broken.position.copy()
            race.open(attempt.watch)
            result = self._settle(race, attempt, attempt.resume())
            if isinstance(result, StreamPart):
                return result
            outcome = result

    def _place_resumption(self, context: RequestContext, outcome: Outcome) -> Placement | Refusal:
        """Choose a replica for the rest of a stream, or refuse it.

        A stream whose weights have become outdated waits for a replica with newer ones.
        """
        ends_at = read_clock() + SWAP_WAIT_S if isinstance(outcome, WeightsOutdated) else 0.0
        while True:
            placement = self._attempts.place(context)
            is_swapping = (
                isinstance(placement, Refusal) and placement.reason is RefusalReason.NO_REPLICA
            )
            is_over = read_clock() >= min(ends_at, context.deadline)
            if not is_swapping or is_over or context.inbound.is_disconnected():
                return placement
            time.sleep(SWAP_CHECK_INTERVAL_S)

    def _is_final(self, context: RequestContext, broken: StreamAttempt, outcome: Outcome) -> bool:
        """Record a loss and return whether the stream cannot be resumed after it."""
        match outcome:
            case CallerDisconnected() | OutOfTime():
                return True
            case MaybeRun(detail=detail):
                self._attempts.reporter.record_lost_attempt(context, detail)
        return not (context.route.is_resumable and broken.position.last_event_id)

    def _truncate(self, broken: StreamAttempt, cause: Outcome | Refusal) -> None:
        """Report a stream that cannot be resumed; raise `UpstreamConnectionLost`."""
        reporter = self._attempts.reporter
        match cause:
            case CallerDisconnected():
                reporter.record_disconnect(broken.context, broken.position.event_count)
            case Refusal(reason=reason):
                reporter.record_truncated(broken.context, broken.position.event_count, reason.value)
            case _:
                reporter.record_truncated(broken.context, broken.position.event_count, str(cause))
        raise UpstreamConnectionLost(f"stream truncated: {cause}")


@dataclass
class StreamPosition:
    """How far a stream has been forwarded.

    `is_delimited` is set once the caller has been promised a mark of the stream's end.
    """

    last_event_id: str = ""
    event_count: int = 0
    is_delimited: bool = False

    def copy(self) -> StreamPosition:
        """Return a copy, which does not move with this one."""
        return replace(self)


class StreamAttempt:
    """The part of a stream from one replica; methods return an `Outcome` when the replica fails.

    `position` is that of the whole stream.
    """

    def __init__(
        self,
        attempts: AttemptController,
        context: RequestContext,
        placement: Placement,
        resume_after: str,
        on_silent: Callable[[], None],
    ) -> None:
        self.context = context
        self.position = StreamPosition()
        self.is_complete = False
        self._attempts = attempts
        self._placement = placement
        self._resume_after = resume_after
        self._response: ReplicaResponse | None = None
        self._splitter = EventSplitter()
        self._is_released = False
        self._first_event_at: float | None = None
        self._is_sound = False
        self.watch = attempts.watch(
            context,
            placement,
            SILENCE_LIMIT_S,
            on_silent,
            lambda: self._first_event_at is not None,
        )

    @property
    def response(self) -> ReplicaResponse:
        """Return the response, whose head has been read."""
        assert self._response is not None
        return self._response

    @property
    def event_count(self) -> int:
        """Return the number of events of the stream that were forwarded."""
        return self.position.event_count

    def begin(self) -> StreamPart | InboundResponse | Outcome:
        """Send the attempt and return its first events, or the replica's error response."""
        response = self._open()
        if isinstance(response, Outcome):
            return response
        if not 200 <= response.status < 300:
            return self._read_error_response()
        return self._read_first_events()

    def resume(self) -> StreamPart | Outcome:
        """Send the attempt and return the first events after those that the caller has."""
        response = self._open()
        if isinstance(response, Outcome):
            return response
        if response.status != 200:
            self._fail()
            return MaybeRun(f"status {response.status} to a resumption")
        return self._read_first_events()

    def read_next_events(self) -> list[bytes] | Outcome:
        """Return the next events; empty only if the stream is complete."""
        events: list[bytes] = []
        while not events and not self.is_complete:
            result = self._read_events()
            if isinstance(result, Outcome):
                return result
            events = result
        return events

    def record_event(self, event: bytes) -> None:
        """Record an event that is about to be forwarded."""
        self.position.event_count += 1
        self._record_progress()
        self.position.last_event_id = read_event_id(event) or self.position.last_event_id

    def close(self) -> None:
        """Close the watch and the connection, and release the placement if it is still held."""
        self.watch.close()
        if not self._is_released:
            self._is_released = True
            self._attempts.placer.release(self._placement)
        if self._response is not None:
            self._response.close()

    def _open(self) -> ReplicaResponse | Outcome:
        """Send the attempt and return the response with its body unread."""
        try:
            response = self._attempts.open(
                self.context, self._placement, self.watch, self._resume_after
            )
        except UpstreamConnectionLost as error:
            return self._handle_loss(error)
        if isinstance(response, Outcome):
            self._is_released = True
            self.close()
            return response
        self._response = response
        return response

    def _read_error_response(self) -> InboundResponse | Outcome:
        """Return the replica's error response with its whole body."""
        response = self.response
        try:
            body = self._attempts.memory.read(response, self.watch)
            if self.watch.is_cancelled():
                raise UpstreamConnectionLost("the attempt was cancelled")
        except UpstreamConnectionLost as error:
            return self._handle_loss(error)
        self._fail()
        self.context.record_attempt(self._placement, str(response.status))
        self._attempts.record_completion(self.context, max(300, response.status))
        return make_inbound_response(response, body)

    def _read_first_events(self) -> StreamPart | Outcome:
        """Return the first events; empty only if the stream is complete without any."""
        events = self.read_next_events()
        if isinstance(events, Outcome):
            return events
        self.context.record_attempt(self._placement, "streaming")
        return StreamPart(self, events)

    def _read_events(self) -> list[bytes] | Outcome:
        """Return the events completed by the next block; an empty list does not mean the end."""
        self.watch.resume()
        try:
            block = self.response.read_block()
            if self.watch.is_cancelled():
                raise UpstreamConnectionLost("the attempt was cancelled")
            events = list(self._splitter.add(block))
        except UpstreamConnectionLost as error:
            return self._handle_loss(error)
        if events or not block:
            self.watch.pause()
        if block:
            if events and self._first_event_at is None:
                self._first_event_at = read_clock()
            return events
        if self._splitter.has_partial_event:
            return self._handle_loss(UpstreamConnectionLost("the stream ended within an event"))
        is_delimited = self.response.framing.is_delimited
        if not is_delimited and self._attempts.is_work_over(self.context):
            return self._handle_loss(UpstreamConnectionLost("the replica was told to stop"))
        if not is_delimited and self._first_event_at is None:
            return self._handle_loss(UpstreamConnectionLost("the stream ended before an event"))
        if not is_delimited and self.position.is_delimited:
            return self._handle_loss(ResponseInvalid("the end of the stream is not marked"))
        self.is_complete = True
        self._is_released = True
        self._attempts.placer.record_success(self._placement, self.context.service)
        if is_delimited:
            self._attempts.record_completion(self.context)
        return events

    def _record_progress(self) -> None:
        now = read_clock()
        self._attempts.quarantine.record_life_sign(self._placement.replica.boot)
        if self._first_event_at is None or self._is_sound:
            return
        if now - self._first_event_at >= SOUND_STREAM_S:
            self._is_sound = True
            self._attempts.quarantine.record_success(self.context.inbound.prompt_parts)

    def _fail(self) -> None:
        if not self._is_released:
            self._is_released = True
            self._attempts.placer.record_failure(self._placement)
        self.close()

    def _handle_loss(self, error: UpstreamConnectionLost) -> Outcome:
        outcome = self._attempts.classify_loss(self.context, self._placement, self.watch, error)
        match outcome:
            case MaybeRun() if not isinstance(outcome, WeightsOutdated):
                self._fail()
            case _:
                self.close()
        return outcome


def _discard(part: StreamPart) -> None:
    part.attempt.close()
