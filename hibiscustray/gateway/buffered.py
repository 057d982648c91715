"""Requests whose response is forwarded once it is complete."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.catalog import RouteKind
from hibiscustray.entry.watchdog import Watch
from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.gateway.attempts import (
    NO_SILENCE_LIMIT_S,
    SILENCE_LIMIT_S,
    AttemptController,
)
from hibiscustray.gateway.context import RequestContext
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
    Superseded,
    WeightsOutdated,
)
from hibiscustray.gateway.race import Contender, Race
from hibiscustray.placement import Placement, Refusal

RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))
"""Errors of a replica after which an idempotent request is retried on another one."""


@dataclass(frozen=True)
class BufferedResponse:
    """A replica's whole response, and the context of the attempt that received it."""

    response: InboundResponse
    context: RequestContext


class BufferedForwarder:
    """Runs requests whose response is buffered."""

    def __init__(self, attempts: AttemptController) -> None:
        self._attempts = attempts

    def run(self, context: RequestContext) -> InboundResponse:
        """Return a replica's response, or the gateway's own error if there is none.

        A replica's error response is returned if no retry gives a better one.
        """
        failure: InboundResponse | None = None
        while True:
            placement = self._attempts.place(context)
            if isinstance(placement, Refusal):
                return self._return_failure(context, failure) or self._attempts.refuse(
                    context, placement
                )
            result = self._race(context, placement)
            if isinstance(result, BufferedResponse):
                context, response = result.context, result.response
                if _is_final(context, response):
                    self._attempts.reporter.record_response(
                        context, response.status, body_b=len(response.body)
                    )
                    return response
                failure = response
            else:
                final_response = self._attempts.handle_outcome(context, result)
                if final_response is not None:
                    return final_response
            if not self._attempts.may_retry(context):
                return self._return_failure(context, failure) or self._attempts.give_up(context)

    def _return_failure(
        self, context: RequestContext, failure: InboundResponse | None
    ) -> InboundResponse | None:
        """Report and return a replica's error response, None if there is none."""
        if failure is not None:
            self._attempts.reporter.record_response(
                context, failure.status, body_b=len(failure.body)
            )
        return failure

    def _race(self, context: RequestContext, placement: Placement) -> BufferedResponse | Outcome:
        """Make an attempt; while it is silent, try another replica if the request may repeat."""
        if not context.route.is_repeatable:
            watch = self._watch(context, placement, NO_SILENCE_LIMIT_S, _do_nothing)
            return self._attempt(context, placement, watch)
        race: Race[BufferedResponse] = self._attempts.make_race(
            context, lambda *backup: self._run_backup(race, *backup), _discard
        )
        watch = self._watch(context, placement, SILENCE_LIMIT_S, race.start_backup)
        race.open(watch)
        result = self._attempt(context, placement, watch)
        match result:
            case BufferedResponse(response=response) if _is_final(context, response):
                wait_s = 0.0
            case CallerDisconnected() | OutOfTime():
                wait_s = 0.0
            case _:
                wait_s = context.time_left()
        return race.settle(wait_s) or self._attempts.confirm_caller(context, result)

    def _run_backup(
        self,
        race: Race[BufferedResponse],
        context: RequestContext,
        placement: Placement,
        contender: Contender,
    ) -> BufferedResponse | Outcome:
        watch = self._watch(context, placement, SILENCE_LIMIT_S, race.start_backup)
        contender.set_watch(watch)
        result = self._attempt(context, placement, watch)
        match result:
            case BufferedResponse(response=response) if not _is_final(context, response):
                return MaybeRun(f"status {response.status}")
        return result

    def _watch(
        self,
        context: RequestContext,
        placement: Placement,
        silence_s: float,
        on_silent: Callable[[], None],
    ) -> Watch:
        in_flight = placement.in_flight
        return self._attempts.watch(
            context,
            placement,
            silence_s,
            on_silent,
            lambda: in_flight.response_started_at is not None,
        )

    def _attempt(
        self, context: RequestContext, placement: Placement, watch: Watch
    ) -> BufferedResponse | Outcome:
        try:
            response = self._attempts.open(context, placement, watch)
            if isinstance(response, Outcome):
                return response
            body = self._read(response, watch)
            if watch.is_cancelled():
                raise UpstreamConnectionLost("the attempt was cancelled")
            if not response.framing.is_delimited and self._attempts.is_work_over(context):
                raise UpstreamConnectionLost("the replica was told to stop")
        except UpstreamConnectionLost as error:
            outcome = self._attempts.classify_loss(context, placement, watch, error)
            if isinstance(outcome, Superseded | WeightsOutdated):
                self._attempts.placer.release(placement)
            else:
                self._attempts.placer.record_failure(placement)
            return outcome
        finally:
            watch.close()
        self._record_result(context, placement, response)
        return BufferedResponse(make_inbound_response(response, body), context)

    def _read(self, response: ReplicaResponse, watch: Watch) -> bytes:
        try:
            return self._attempts.memory.read(response, watch)
        finally:
            response.close()

    def _record_result(
        self, context: RequestContext, placement: Placement, response: ReplicaResponse
    ) -> None:
        context.record_attempt(placement, str(response.status))
        if response.status in RETRYABLE_STATUSES:
            self._attempts.placer.record_failure(placement)
        else:
            self._attempts.placer.record_success(placement, context.service)
            if response.framing.is_delimited:
                self._attempts.record_completion(context, response.status)


def _is_final(context: RequestContext, response: InboundResponse) -> bool:
    """Return whether a response is forwarded without trying another replica."""
    is_idempotent = context.route.kind is RouteKind.IDEMPOTENT
    return response.status not in RETRYABLE_STATUSES or not is_idempotent


def _do_nothing() -> None:
    return None


def _discard(response: BufferedResponse) -> None:
    """Drop a response; nothing is left open."""
