"""Steps shared by buffered and streamed requests: placement, sending and failure handling."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from hibiscustray.catalog import (
    CLOSE_LEAD_S,
    WORK_LEAD_S,
    TargetVersions,
    VersionLimits,
)
from hibiscustray.clock import read_clock
from hibiscustray.entry.watchdog import Watch, Watchdog
from hibiscustray.exceptions import (
    ResponseInvalid,
    SendWithdrawn,
    UpstreamConnectionLost,
    UpstreamSilent,
    UpstreamUnreachable,
)
from hibiscustray.gateway.context import RequestContext
from hibiscustray.gateway.drain import DrainWindow
from hibiscustray.gateway.interface import (
    InboundResponse,
    OutboundRequest,
    ReplicaClient,
    ReplicaResponse,
)
from hibiscustray.gateway.life import LifeProbes
from hibiscustray.gateway.memory import ResponseMemory
from hibiscustray.gateway.outcome import (
    CallerDisconnected,
    MaybeRun,
    NotRun,
    NotSent,
    Outcome,
    OutOfTime,
    Superseded,
    WeightsOutdated,
)
from hibiscustray.gateway.race import Contender, Race
from hibiscustray.gateway.reporter import RequestReporter
from hibiscustray.placement import Placement, Placer, Refusal, RefusalReason, WeightsConstraint
from hibiscustray.quarantine import PartQuarantine
from hibiscustray.replicas import ReplicaNotices
from hibiscustray.routing import RetryBudgets
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

Result = TypeVar("Result")

CONNECT_TIMEOUT_S = 0.25
"""Timeout for connecting to a replica; the longest round trip takes a few milliseconds."""
SILENCE_LIMIT_S = 1.2
"""Silence of a replica after which a repeatable request is sent to another one, too. Callers of
streams time out after 2 s."""
NO_SILENCE_LIMIT_S = float("inf")
"""For calls that run once: they may take long, and no other replica may be tried."""
MAX_EXTRA_ATTEMPTS = 2
"""Additional attempts after rejections by replicas that did not run the request."""
REJECTED_RETRY_AFTER_S = 0.5
"""Retry delay after rejections by replicas, several passes of an engine."""
SWAP_RETRY_AFTER_S = 1.6
"""Time in which replicas that are swapping their weights are expected back in service."""
SWAP_RETRY_JITTER = 0.3
"""Relative jitter of that time, so that callers do not retry at the same time."""
TURNED_AWAY_STATUSES = frozenset((408, 425, 429))
"""Responses that do not show that the replica began to run the request."""
STOPPING_RETRY_AFTER_S = 0.1
"""Retry delay after a request that another entry has to run; the balancer connects to it next."""
GATEWAY_TIMEOUT = 504
"""Status of a replica that has run a request for as long as it was told."""
MIN_WORK_S = 0.05
"""Shortest time that a replica is told to work for."""
WORK_END_TOLERANCE_S = 0.02
"""Time before the end of the told time at which a replica may end its work, by its own clock."""
PROMISE_STATUSES = frozenset((408, 429, 503))
"""Responses by which callers know that a request has not run and will not."""
LATE_URGENCY = 7
"""Urgency of requests past their objective, lower than the engines' default of 5."""


class AttemptController:
    """Makes attempts at replicas and decides whether a request may be retried."""

    def __init__(
        self,
        versions: TargetVersions,
        placer: Placer,
        quarantine: PartQuarantine,
        notices: ReplicaNotices,
        client: ReplicaClient,
        budgets: RetryBudgets,
        watchdog: Watchdog,
        reporter: RequestReporter,
        metrics: Metrics,
        limits: VersionLimits,
        backup_threads: int = 1,
    ) -> None:
        self.placer = placer
        self.quarantine = quarantine
        self.memory = ResponseMemory()
        self.reporter = reporter
        self.limits = limits
        self.drain_window: DrainWindow | None = None
        self._versions = versions
        self._notices = notices
        self._client = client
        self._budgets = budgets
        self._watchdog = watchdog
        self._metrics = metrics
        self._backup_threads = ThreadPoolExecutor(backup_threads, "backup")
        self._backups: set[Contender] = set()
        self._is_stopped = False
        self._life_probes = LifeProbes(quarantine.record_life_sign)
        self._random = random.Random()

    def place(self, context: RequestContext) -> Placement | Refusal:
        """Choose a replica for the next attempt, or refuse it.

        Reasons are a stop of the entry, the prompt and the load.
        """
        if self._is_turned_away(context):
            return Refusal(RefusalReason.STOPPING, STOPPING_RETRY_AFTER_S)
        retry_after_s = self._find_quarantine_refusal(context)
        if retry_after_s is not None:
            return Refusal(RefusalReason.QUARANTINED, retry_after_s)
        placement = self.placer.place(
            context.service,
            context.current_demand(),
            self._find_constraint(context),
            context.excluded,
        )
        if isinstance(placement, Placement):
            context.last_placement = placement
        return placement

    def stop(self) -> None:
        """End all backups and start no more."""
        self._is_stopped = True
        self._backup_threads.shutdown(wait=False, cancel_futures=True)
        for contender in list(self._backups):
            contender.cancel()

    def watch(
        self,
        context: RequestContext,
        placement: Placement,
        silence_s: float,
        on_silent: Callable[[], None],
        has_begun: Callable[[], bool],
    ) -> Watch:
        """Watch an attempt for silence, the deadline and a disconnected caller.

        A request must not begin on an old version after a newer one has become required, so an
        attempt that has not begun is cancelled just before that time. So are all attempts at the
        end of a drain, while their callers can still get a response. Silence does not end them.
        """
        return self._watchdog.watch(
            lambda: None,
            context.deadline,
            silence_s,
            context.inbound.is_disconnected,
            lambda: self._handle_silence(context, placement, on_silent),
            lambda: self.placer.end_silence(placement),
            lambda: self._is_drain_over()
            or (not has_begun() and self._is_outdated(context, placement)),
        )

    def make_race(
        self,
        context: RequestContext,
        run_attempt: Callable[[RequestContext, Placement, Contender], Result | Outcome],
        discard: Callable[[Result], None],
    ) -> Race[Result]:
        """Return a race between an attempt of a repeatable request and its backups."""
        return Race(
            self._backup_threads,
            lambda: self._may_back_up(context),
            lambda contender: self._track_backup(context, contender, run_attempt),
            discard,
        )

    def open(
        self, context: RequestContext, placement: Placement, watch: Watch, resume_after: str = ""
    ) -> ReplicaResponse | Outcome:
        """Send an attempt; return the replica's response, or the outcome if there is none.

        Raises `UpstreamConnectionLost` when the request may have run.
        """
        outbound = OutboundRequest(
            context.inbound,
            placement.replica,
            context.time_left(),
            context.team,
            # The replica compares for equality and may already have a newer version than required.
            placement.version if self._find_required(context) else 0,
            LATE_URGENCY if context.is_late else None,
            resume_after or context.inbound.resume_after,
        )
        context.framing = None
        context.work_ends_at = float("inf")
        context.tally.add_attempt()
        context.excluded.add(placement.replica.id)
        try:
            response = self._client.open(
                outbound,
                CONNECT_TIMEOUT_S,
                lambda cancel: self._confirm(context, placement, watch, cancel),
                lambda: self._limit_work(context, placement),
            )
        except SendWithdrawn as error:
            context.tally.add_unused()
            self.placer.release(placement)
            context.record_attempt(placement, "withdrawn")
            if context.inbound.is_disconnected():
                return CallerDisconnected()
            return Superseded() if watch.is_superseded() else NotSent(str(error))
        except UpstreamUnreachable as error:
            self.placer.record_failure(placement, is_silent=True)
            context.record_attempt(placement, "unreachable")
            return (
                CallerDisconnected() if context.inbound.is_disconnected() else NotSent(str(error))
            )
        try:
            return self._check_response(context, placement, watch, response)
        except UpstreamConnectionLost:
            response.close()
            raise

    def classify_loss(
        self,
        context: RequestContext,
        placement: Placement,
        watch: Watch,
        error: UpstreamConnectionLost,
    ) -> Outcome:
        """Record an attempt whose response was lost and return its outcome."""
        is_own = watch.is_cancelled() or self.is_work_over(context)
        if not is_own and not isinstance(error, ResponseInvalid | UpstreamSilent):
            self._record_loss(context, placement)
        if context.inbound.is_disconnected():
            return CallerDisconnected()
        if watch.is_superseded():
            context.record_attempt(placement, "superseded")
            return Superseded()
        if context.time_left() <= 0:
            return OutOfTime()
        if watch.is_cancelled():
            if self._is_drain_over():
                return MaybeRun("the entry stops")
            return self._end_with_weights(context, placement, "newer weights are required")
        if self.is_work_over(context):
            return self._end_with_weights(context, placement, "the replica was told to stop")
        return MaybeRun(str(error))

    def is_work_over(self, context: RequestContext) -> bool:
        """Return whether the replica has ended its work because its weights are outdated."""
        return read_clock() >= context.work_ends_at - WORK_END_TOLERANCE_S

    def record_completion(self, context: RequestContext, status: int = 200) -> None:
        """Record that a replica completed a response, so that the request does not end replicas."""
        if status < 300:
            self.quarantine.record_success(context.parts)
        elif status < 500 and status not in TURNED_AWAY_STATUSES:
            self.quarantine.record_success(context.parts[:1])

    def confirm_caller(self, context: RequestContext, result: Result) -> Result | Outcome:
        """Return a result, or that the caller has left while a lost attempt's backups ran."""
        is_lost = isinstance(result, Outcome) and context.inbound.is_disconnected()
        return CallerDisconnected() if is_lost else result

    def handle_outcome(self, context: RequestContext, outcome: Outcome) -> InboundResponse | None:
        """Record the outcome of an attempt; return the final response if it cannot be retried."""
        match outcome:
            case CallerDisconnected():
                return self.reporter.record_disconnect(context)
            case OutOfTime():
                if context.last_placement is not None:
                    context.record_attempt(context.last_placement, "out-of-time")
                return self.reporter.fail(context, 504, "deadline")
            case MaybeRun(detail=detail):
                if context.last_placement is not None:
                    context.record_attempt(context.last_placement, "lost")
                self.reporter.record_lost_attempt(context, detail)
                if not context.route.is_repeatable:
                    return self.reporter.fail(context, 502, "lost")
        return None

    def may_retry(self, context: RequestContext) -> bool:
        """Return whether attempt limits, deadline and retry budget allow another attempt.

        One that takes the place of a withdrawn attempt is no retry, as no replica got the request.
        """
        if not self._is_attempt_left(context):
            return False
        if context.tally.take_unused():
            return True
        if not self._budgets.get(context.service.name).withdraw():
            self._metrics.count("retries_denied_total", {"service": context.service.name})
            return False
        return True

    def give_up(self, context: RequestContext) -> InboundResponse:
        """Return the response to a request that may not be retried."""
        if context.tally.uncertain:
            return self.reporter.fail(context, 502, "lost")
        refusal = self.placer.find_pushback_refusal(context.service, self._find_constraint(context))
        retry_after_s = REJECTED_RETRY_AFTER_S
        if refusal is not None:
            retry_after_s = max(retry_after_s, self._find_retry_after(context, refusal))
        return self.reporter.refuse(context, "not-taken", retry_after_s, refusal)

    def refuse(self, context: RequestContext, refusal: Refusal) -> InboundResponse:
        """Return the response to a request that could not be placed."""
        if context.tally.uncertain:
            return self.reporter.fail(context, 502, "lost")
        retry_after_s = self._find_retry_after(context, refusal)
        return self.reporter.refuse(context, refusal.reason.value, retry_after_s, refusal)

    def _find_retry_after(self, context: RequestContext, refusal: Refusal) -> float:
        swap_s = SWAP_RETRY_AFTER_S * self._random.uniform(1.0, 1.0 + SWAP_RETRY_JITTER)
        if refusal.reason is RefusalReason.NO_REPLICA and context.service.engine is not None:
            return swap_s
        return min(refusal.retry_after_s, swap_s) if refusal.is_swapping else refusal.retry_after_s

    def _is_attempt_left(self, context: RequestContext) -> bool:
        tally, attempts = context.tally, context.route.attempts
        if tally.uncertain and not context.route.is_repeatable:
            return False
        if tally.uncertain >= attempts or context.time_left() <= 0:
            return False
        return tally.attempts < attempts + MAX_EXTRA_ATTEMPTS

    def _handle_silence(
        self, context: RequestContext, placement: Placement, on_silent: Callable[[], None]
    ) -> None:
        if not placement.in_flight.is_silent:
            self.placer.record_silence(placement)
            self._metrics.count("silences_total", {"service": context.service.name})
            log.info(
                "replica silent",
                extra={"request": context.inbound.id, "replica": placement.replica.id},
            )
        on_silent()

    def _is_turned_away(self, context: RequestContext) -> bool:
        """Return whether a request is left to another entry, as this one stops.

        One that may have run goes on here, since its caller could not be told that it has not.
        """
        window = self.drain_window
        if window is None:
            return False
        if context.tally.uncertain:
            return window.is_over(read_clock())
        return window.is_too_late(read_clock(), context.deadline)

    def _is_drain_over(self) -> bool:
        window = self.drain_window
        return window is not None and window.is_over(read_clock())

    def _is_outdated(self, context: RequestContext, placement: Placement) -> bool:
        """Return whether an attempt that has not begun must not begin any more."""
        return self._find_weights_left(context, placement) <= CLOSE_LEAD_S

    def _end_with_weights(
        self, context: RequestContext, placement: Placement, detail: str
    ) -> WeightsOutdated:
        """Return the outcome of an attempt whose replica may be used again with newer weights."""
        context.excluded.discard(placement.replica.id)
        return WeightsOutdated(detail)

    def _may_back_up(self, context: RequestContext) -> bool:
        budget = self._budgets.get(context.service.name)
        is_allowed = context.route.is_repeatable and self._is_attempt_left(context)
        return is_allowed and budget.is_available()

    def _track_backup(
        self,
        context: RequestContext,
        contender: Contender,
        run_attempt: Callable[[RequestContext, Placement, Contender], Result | Outcome],
    ) -> Result | None:
        """Run a backup that `stop` ends."""
        self._backups.add(contender)
        try:
            return None if self._is_stopped else self._run_backup(context, contender, run_attempt)
        finally:
            self._backups.discard(contender)

    def _run_backup(
        self,
        context: RequestContext,
        contender: Contender,
        run_attempt: Callable[[RequestContext, Placement, Contender], Result | Outcome],
    ) -> Result | None:
        """Make attempts until one responds; return None if none does."""
        context = context.fork()
        while not contender.is_cancelled and self._may_back_up(context):
            placement = self.place(context)
            if isinstance(placement, Refusal):
                return None
            if not self.may_retry(context):
                self.placer.release(placement)
                return None
            result = run_attempt(context, placement, contender)
            match result:
                case NotSent() | NotRun():
                    continue
                case MaybeRun(detail=detail):
                    context.record_attempt(placement, "lost")
                    self.reporter.record_lost_attempt(context, detail)
                case CallerDisconnected() | OutOfTime() | Superseded():
                    return None
                case _:
                    return result
        return None

    def _record_loss(self, context: RequestContext, placement: Placement) -> None:
        # A replica that drains may break off what has not ended in its grace period.
        is_planned = self.placer.is_draining(placement)
        parts = context.inbound.prompt_parts if is_planned else context.parts
        self.quarantine.record_loss(placement.replica.boot, parts, context.sent_at)
        self._life_probes.schedule(placement.replica)

    def _find_quarantine_refusal(self, context: RequestContext) -> float | None:
        return self.quarantine.find_refusal(context.parts, context.inbound.id)

    def _confirm(
        self,
        context: RequestContext,
        placement: Placement,
        watch: Watch,
        cancel: Callable[[], None],
    ) -> None:
        """Check once more, with the connection open, that a request may be sent."""
        watch.set_cancel(cancel)
        if watch.is_cancelled():
            raise SendWithdrawn("the attempt was cancelled before it was sent")
        if self._find_required(context) > placement.version:
            raise SendWithdrawn("newer weights are required")
        if self._find_quarantine_refusal(context) is not None:
            raise SendWithdrawn("the request or a part of its prompt has been blocked")
        if self._notices.is_draining(placement.replica.boot):
            raise SendWithdrawn("the replica is draining")
        if self._notices.find_pushback(placement.replica.boot) > 0:
            raise SendWithdrawn("the replica wants no requests for some time")
        if not placement.is_counted and not self._notices.take(placement.replica.boot):
            raise SendWithdrawn("the replica has named a limit that is used up")
        if not context.tally.add_sent(context.route.attempts if context.route.is_repeatable else 1):
            raise SendWithdrawn("another attempt of the request has been sent")
        if not self.quarantine.use_trial(context.parts):
            context.tally.remove_sent()
            raise SendWithdrawn("another request is on trial")
        context.sent_at = read_clock()
        context.weights_left_s = self._find_weights_left(context, placement)

    def _limit_work(self, context: RequestContext, placement: Placement) -> float:
        """Return the seconds for which the replica of an attempt may work, from now on.

        Raises `SendWithdrawn` if its weights got outdated since the check.
        """
        if self._find_required(context) > placement.version:
            context.tally.remove_sent()
            raise SendWithdrawn("newer weights are required")
        time_left_s = context.time_left()
        work_s = max(MIN_WORK_S, self._find_weights_left(context, placement) - WORK_LEAD_S)
        if work_s < time_left_s:
            context.work_ends_at = read_clock() + work_s
        return min(time_left_s, work_s)

    def _find_weights_left(self, context: RequestContext, placement: Placement) -> float:
        """Return the seconds until weights newer than a replica's are required, else infinity."""
        if not context.model:
            return float("inf")
        return self._versions.find_time_left(
            context.model, placement.version, self.limits.version_bound_s
        )

    def _find_constraint(self, context: RequestContext) -> WeightsConstraint:
        if not context.model:
            return WeightsConstraint()
        newest = self._versions.find_newest(context.model)
        left_s = self._versions.find_time_left(
            context.model, newest - 1, self.limits.version_bound_s
        )
        return WeightsConstraint(context.model, self._find_required(context), newest, left_s)

    def _find_required(self, context: RequestContext) -> int:
        if not context.model:
            return 0
        return self._versions.find_required(context.model, self.limits.version_swap_s)

    def _check_response(
        self, context: RequestContext, placement: Placement, watch: Watch, response: ReplicaResponse
    ) -> ReplicaResponse | Outcome:
        """Return a response after checking that it is the chosen replica's and for this request."""
        if not response.is_misdirected:
            self._notices.record(
                placement.replica.boot, response.notice, context.sent_at, context.inbound.id
            )
        context.framing = response.framing
        if watch.is_cancelled():
            raise UpstreamConnectionLost("the attempt was cancelled")
        watch.record_activity()
        if response.load is not None:
            self.placer.record_load(placement.replica, response.load)
        if response.request_id and response.request_id != context.inbound.id:
            raise ResponseInvalid("the response is for another request")
        if response.is_not_run or response.is_misdirected:
            response.close()
            context.tally.remove_sent()
            if response.is_misdirected:
                self.placer.mark_stale(placement)
            elif self.is_work_over(context):
                self.placer.release(placement)
                context.excluded.discard(placement.replica.id)
            else:
                self.placer.record_rejection(placement)
            context.record_attempt(placement, f"refused-{response.status}")
            self._metrics.count("attempts_refused_total", {"service": context.service.name})
            return NotRun(response.status, response.is_misdirected)
        if response.status == GATEWAY_TIMEOUT and self.is_work_over(context):
            raise UpstreamConnectionLost("the replica ended its work")
        if response.status in PROMISE_STATUSES:
            raise ResponseInvalid(f"status {response.status} of a request that may have run")
        if 200 <= response.status < 300 and not response.is_authentic:
            raise ResponseInvalid("the response does not authenticate its replica")
        if response.version:
            context.answered_version = response.version
            self.placer.record_version(placement.replica, response.version)
        self.placer.record_response_start(placement)
        self.quarantine.record_life_sign(placement.replica.boot)
        return response
