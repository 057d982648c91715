"""Requests whose answer is passed on once it is whole."""

from __future__ import annotations

from hibiscustray.catalog import RouteKind
from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.gateway.attempts import FIRST_BYTE_SILENCE_S, Attempts
from hibiscustray.gateway.interface import InboundAnswer, ReplicaAnswer
from hibiscustray.gateway.job import Job
from hibiscustray.gateway.outcome import MaybeRun, Outcome
from hibiscustray.placement import Placed, Refusal

NEVER_SILENT_S = 3600.0
"""A request that may run once only is waited for until its deadline."""
RETRIED_STATUSES = frozenset((500, 502, 503, 504))
"""A replica's own failures after which an idempotent request is tried at another."""


class WholeRelay:
    """Runs requests with whole answers."""

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts

    def run(self, job: Job) -> InboundAnswer:
        """Return a replica's answer, or the gateway's own if there is none.

        A replica's failure is the answer if trying another one does not bring a better.
        """
        failure: InboundAnswer | None = None
        while True:
            placed = self._attempts.place(job)
            if isinstance(placed, Refusal):
                return self._end(job, failure) or self._attempts.refuse(job, placed)
            result = self._attempt(job, placed)
            if isinstance(result, InboundAnswer):
                is_final = (
                    result.status not in RETRIED_STATUSES
                    or job.route.kind is not RouteKind.IDEMPOTENT
                )
                if is_final:
                    self._attempts.endings.note_answered(job, result.status)
                    return result
                failure = result
            else:
                ended = self._attempts.settle(job, result)
                if ended is not None:
                    return ended
            if not self._attempts.may_send_again(job):
                return self._end(job, failure) or self._attempts.give_up(job)

    def _end(self, job: Job, failure: InboundAnswer | None) -> InboundAnswer | None:
        if failure is not None:
            self._attempts.endings.note_answered(job, failure.status)
        return failure

    def _attempt(self, job: Job, placed: Placed) -> InboundAnswer | Outcome:
        silence_s = FIRST_BYTE_SILENCE_S if job.route.is_repeatable else NEVER_SILENT_S
        watch = self._attempts.watch(job, silence_s)
        try:
            reply = self._attempts.open(job, placed, watch)
            if isinstance(reply, Outcome):
                return reply
            body = self._read(reply)
            if watch.is_cancelled():
                raise UpstreamConnectionLost("given up")
        except UpstreamConnectionLost as error:
            outcome = self._attempts.explain_loss(job, watch, str(error))
            is_silent = isinstance(outcome, MaybeRun) and outcome.is_silent
            self._attempts.placer.fail(placed, is_silent)
            return outcome
        finally:
            watch.close()
        self._note_result(job, placed, reply)
        return InboundAnswer(reply.status, reply.headers, body)

    @staticmethod
    def _read(reply: ReplicaAnswer) -> bytes:
        try:
            return reply.read_all()
        finally:
            reply.close()

    def _note_result(self, job: Job, placed: Placed, reply: ReplicaAnswer) -> None:
        job.note_tried(placed, str(reply.status))
        if reply.status in RETRIED_STATUSES:
            job.may_have_run += 1
            self._attempts.placer.fail(placed)
        else:
            self._attempts.placer.finish(placed, job.service)
