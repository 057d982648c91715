"""Streams of events, passed on as they come and resumed at another replica when one breaks."""

from __future__ import annotations

from collections.abc import Iterator

from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.gateway.attempts import Attempts
from hibiscustray.gateway.body import EndedBody
from hibiscustray.gateway.events import EventSplitter, read_event_id
from hibiscustray.gateway.interface import InboundAnswer, ReplicaAnswer
from hibiscustray.gateway.job import Job
from hibiscustray.gateway.outcome import Abandoned, MaybeRun, Outcome, OutOfTime
from hibiscustray.placement import Placed, Refusal

STREAM_SILENCE_S = 1.2
"""Gap in a stream after which it is resumed elsewhere; callers give up after two seconds."""


class StreamRelay:
    """Runs requests whose answer is a stream."""

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts

    def run(self, job: Job) -> InboundAnswer:
        """Return an answer whose body is the stream, begun with its first event."""
        while True:
            placed = self._attempts.place(job)
            if isinstance(placed, Refusal):
                return self._attempts.refuse(job, placed)
            result = self._begin(job, placed)
            if isinstance(result, InboundAnswer):
                return result
            ended = self._attempts.settle(job, result)
            if ended is not None:
                return ended
            if not self._attempts.may_send_again(job):
                return self._attempts.give_up(job)

    def _begin(self, job: Job, placed: Placed) -> InboundAnswer | Outcome:
        run = StreamRun(self._attempts, job, placed, job.inbound.resume_after)
        reply = run.open()
        if isinstance(reply, Outcome):
            return reply
        if not 200 <= reply.status < 300:
            return run.read_failure()
        first = run.read_first()
        if isinstance(first, Outcome):
            return first
        body = EndedBody(self._pass_on(run, first), run.close)
        return InboundAnswer(reply.status, reply.headers, body)

    def _pass_on(self, run: StreamRun, events: list[bytes]) -> Iterator[bytes]:
        """Yield events as they come; raise `UpstreamConnectionLost` if the stream is cut."""
        job = run.job
        try:
            while True:
                for event in events:
                    run.note_event(event)
                    yield event
                if run.is_whole:
                    self._attempts.endings.note_answered(job, 200, run.count)
                    return
                result = run.read_events()
                if isinstance(result, Outcome):
                    run, events = self._resume(run, result)
                else:
                    events = result
        except GeneratorExit:
            self._attempts.endings.note_left(job, run.count)
            raise
        finally:
            run.close()

    def _resume(self, broken: StreamRun, outcome: Outcome) -> tuple[StreamRun, list[bytes]]:
        """Go on behind the last event at another replica; raise `UpstreamConnectionLost`."""
        job = broken.job
        while True:
            if self._is_final(job, broken, outcome) or not self._attempts.may_send_again(job):
                self._cut(broken, outcome)
            placed = self._attempts.place(job)
            if isinstance(placed, Refusal):
                self._cut(broken, placed)
            run = StreamRun(self._attempts, job, placed, broken.last_id)
            run.continue_from(broken)
            result = run.open_resumption()
            if not isinstance(result, Outcome):
                self._attempts.endings.note_resumed(job)
                return run, result
            outcome = result

    def _is_final(self, job: Job, broken: StreamRun, outcome: Outcome) -> bool:
        """Take in a loss; tell whether the stream cannot be resumed after it."""
        match outcome:
            case Abandoned() | OutOfTime():
                return True
            case MaybeRun(detail=detail):
                job.may_have_run += 1
                self._attempts.endings.note_lost(job, detail)
        return not (job.route.is_resumable and broken.last_id)

    def _cut(self, broken: StreamRun, cause: Outcome | Refusal) -> None:
        """End a stream that cannot go on; raise `UpstreamConnectionLost`."""
        endings = self._attempts.endings
        match cause:
            case Abandoned():
                endings.note_left(broken.job, broken.count)
            case Refusal(reason=reason):
                endings.note_cut(broken.job, broken.count, reason.value)
            case _:
                endings.note_cut(broken.job, broken.count, str(cause))
        raise UpstreamConnectionLost(f"stream cut: {cause}")


class StreamRun:
    """One replica's part of a stream; its methods return an `Outcome` when the replica is lost."""

    def __init__(self, attempts: Attempts, job: Job, placed: Placed, resume_after: str) -> None:
        self.job = job
        self.count = 0
        self.last_id = ""
        self.is_whole = False
        self._attempts = attempts
        self._placed = placed
        self._resume_after = resume_after
        self._reply: ReplicaAnswer | None = None
        self._splitter = EventSplitter()
        self._watch = attempts.watch(job, attempts.find_first_silence(job, placed))
        self._is_settled = False

    def open(self) -> ReplicaAnswer | Outcome:
        """Send the attempt and return the head of its answer."""
        try:
            reply = self._attempts.open(self.job, self._placed, self._watch, self._resume_after)
        except UpstreamConnectionLost as error:
            return self._lose(str(error))
        if isinstance(reply, Outcome):
            self._is_settled = True
            self.close()
            return reply
        self._reply = reply
        self._watch.record_activity()
        return reply

    def open_resumption(self) -> list[bytes] | Outcome:
        """Send the attempt and return the first events behind those that the caller has."""
        reply = self.open()
        if isinstance(reply, Outcome):
            return reply
        if reply.status != 200:
            self._fail(is_silent=False)
            return MaybeRun(f"status {reply.status} to a resumption")
        return self.read_first()

    def read_failure(self) -> InboundAnswer | Outcome:
        """Return the replica's own failure, read to its end."""
        reply = self._reply
        assert reply is not None
        try:
            body = reply.read_all()
            if self._watch.is_cancelled():
                raise UpstreamConnectionLost("given up")
        except UpstreamConnectionLost as error:
            return self._lose(str(error))
        self._fail(is_silent=False)
        self.job.note_tried(self._placed, str(reply.status))
        self._attempts.endings.note_answered(self.job, reply.status)
        return InboundAnswer(reply.status, reply.headers, body)

    def read_first(self) -> list[bytes] | Outcome:
        """Return the first events, at least one unless the stream is whole."""
        events: list[bytes] = []
        while not events and not self.is_whole:
            result = self.read_events()
            if isinstance(result, Outcome):
                return result
            events = result
        self.job.note_tried(self._placed, "streaming")
        return events

    def read_events(self) -> list[bytes] | Outcome:
        """Return the events of the next block; an empty list may be followed by more."""
        assert self._reply is not None
        self._watch.record_activity()
        try:
            block = self._reply.read_block()
            if self._watch.is_cancelled():
                raise UpstreamConnectionLost("given up")
            events = list(self._splitter.add(block))
        except (UpstreamConnectionLost, ValueError) as error:
            return self._lose(str(error))
        self._watch.pause()
        if block:
            return events
        if self._splitter.has_rest:
            return self._lose("the stream ends within an event")
        self.is_whole = True
        self._is_settled = True
        self._attempts.placer.finish(self._placed, self.job.service)
        return events

    def continue_from(self, broken: StreamRun) -> None:
        """Go on behind the events that a broken run gave."""
        self.count, self.last_id = broken.count, broken.last_id

    def note_event(self, event: bytes) -> None:
        """Note an event that is passed on."""
        self._watch.set_silence_limit(STREAM_SILENCE_S)
        self.count += 1
        self.last_id = read_event_id(event) or self.last_id

    def close(self) -> None:
        """End the watch and the connection; a run that did not end is given back."""
        self._watch.close()
        if not self._is_settled:
            self._is_settled = True
            self._attempts.placer.give_back(self._placed)
        if self._reply is not None:
            self._reply.close()

    def _fail(self, is_silent: bool) -> None:
        if not self._is_settled:
            self._is_settled = True
            self._attempts.placer.fail(self._placed, is_silent)
        self.close()

    def _lose(self, detail: str) -> Outcome:
        outcome = self._attempts.explain_loss(self.job, self._watch, detail)
        match outcome:
            case MaybeRun(is_silent=is_silent):
                self._fail(is_silent)
            case _:
                self.close()
        return outcome
