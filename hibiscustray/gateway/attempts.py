"""The steps that whole answers and streams share: choosing, sending, and what a loss means."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hibiscustray.catalog import VersionBook
from hibiscustray.entry.watchdog import Watch, Watchdog
from hibiscustray.exceptions import UpstreamConnectionLost, UpstreamUnreachable
from hibiscustray.gateway.endings import Endings
from hibiscustray.gateway.interface import (
    InboundAnswer,
    OutboundRequest,
    ReplicaAnswer,
    ReplicaCaller,
)
from hibiscustray.gateway.job import Job
from hibiscustray.gateway.outcome import (
    Abandoned,
    MaybeRun,
    NotRun,
    NotSent,
    Outcome,
    OutOfTime,
)
from hibiscustray.placement import Placed, Placer, Refusal, RefusalReason, WeightsRule
from hibiscustray.routing import RetryBudgets
from hibiscustray.telemetry import Metrics

CONNECT_TIMEOUT_S = 0.25
"""Time for a connection to a replica: the longest round trip is a few milliseconds."""
FIRST_BYTE_SILENCE_S = 1.2
"""Silence before an answer's first byte after which a repeatable request is tried elsewhere."""
BOUND_MARGIN_S = 0.15
"""Time before a version's bound at which a request that has not begun is given up."""
LEAST_SILENCE_S = 0.1
"""Shortest wait for a first byte, about two passes of an engine."""
SENDS_BEYOND_ATTEMPTS = 2
"""Further sends after refusals by replicas that did not run the request."""
NOT_TAKEN_RETRY_S = 0.5
"""Time to come back after refusals by replicas: several of an engine's passes."""
SWAP_RETRY_S = 1.6
"""Time in which replicas that are changing their weights are expected back in service."""
SWAP_SPREAD = 0.3
"""Spread of that time, so that callers do not come back together."""
URGENCY_LATE = 7
"""Urgency of requests past their objective; the engines' default is 5."""


@dataclass(frozen=True)
class RelayLimits:
    """Bounds given by the platform: the time for new weights, in seconds.

    `version_margin_s` covers the wait of a request in an engine's queue.
    """

    version_bound_s: float = 8.0
    version_margin_s: float = 0.8

    @property
    def version_switch_s(self) -> float:
        """Return the age of a named version from which no other is used."""
        return max(0.0, self.version_bound_s - self.version_margin_s)


class Attempts:
    """Makes attempts at replicas and decides whether there may be another."""

    def __init__(
        self,
        versions: VersionBook,
        placer: Placer,
        caller: ReplicaCaller,
        budgets: RetryBudgets,
        watchdog: Watchdog,
        endings: Endings,
        metrics: Metrics,
        limits: RelayLimits,
    ) -> None:
        self.placer = placer
        self.endings = endings
        self.limits = limits
        self._versions = versions
        self._caller = caller
        self._budgets = budgets
        self._watchdog = watchdog
        self._metrics = metrics
        self._random = random.Random()

    def place(self, job: Job) -> Placed | Refusal:
        """Choose a replica for the next attempt."""
        placed = self.placer.place(
            job.service, job.demand_now(), self._find_rule(job), job.excluded
        )
        if isinstance(placed, Placed):
            job.last_placed = placed
        return placed

    def watch(self, job: Job, silence_s: float) -> Watch:
        """Watch an attempt for silence, the deadline and a caller that leaves."""
        return self._watchdog.watch(lambda: None, job.deadline, silence_s, job.inbound.is_abandoned)

    def find_first_silence(self, job: Job, placed: Placed) -> float:
        """Return how long to wait for the first byte of an answer, in seconds.

        A request that has not begun when the bound of a newer version passes must not begin on the
        older one, so it is given up just before.
        """
        held = placed.replica.find_version(job.model)
        left_s = self._versions.find_time_left(job.model, held, self.limits.version_bound_s)
        return max(LEAST_SILENCE_S, min(FIRST_BYTE_SILENCE_S, left_s - BOUND_MARGIN_S))

    def open(
        self, job: Job, placed: Placed, watch: Watch, resume_after: str = ""
    ) -> ReplicaAnswer | Outcome:
        """Send an attempt; return the replica's answer, or the outcome if there is none.

        Raises `UpstreamConnectionLost` when the request may have run.
        """
        outbound = OutboundRequest(
            job.inbound,
            placed.replica,
            job.time_left(),
            job.team,
            # A replica compares for equality, and may already hold more than is required.
            placed.version if self._find_required(job) else 0,
            URGENCY_LATE if job.is_late else None,
            resume_after or job.inbound.resume_after,
        )
        job.sends += 1
        job.excluded.add(placed.replica.id)
        try:
            reply = self._caller.open(outbound, CONNECT_TIMEOUT_S, watch.set_cancel)
        except UpstreamUnreachable as error:
            self.placer.fail(placed, is_silent=True)
            job.note_tried(placed, "unreachable")
            return Abandoned() if job.inbound.is_abandoned() else NotSent(str(error))
        try:
            return self._check(job, placed, watch, reply)
        except UpstreamConnectionLost:
            reply.close()
            raise

    def explain_loss(self, job: Job, watch: Watch, detail: str) -> Outcome:
        """Return what the loss of an attempt's answer means."""
        if job.inbound.is_abandoned():
            return Abandoned()
        if watch.is_silent():
            return MaybeRun("silent", is_silent=True)
        if watch.is_cancelled() or job.time_left() <= 0:
            return OutOfTime()
        return MaybeRun(detail)

    def settle(self, job: Job, outcome: Outcome) -> InboundAnswer | None:
        """Take in how an attempt ended; return the final answer if there can be no other."""
        match outcome:
            case Abandoned():
                return self.endings.note_left(job)
            case OutOfTime():
                job.may_have_run += 1
                if job.last_placed is not None:
                    job.note_tried(job.last_placed, "out-of-time")
                return self.endings.fail(job, 504, "deadline")
            case MaybeRun(detail=detail):
                job.may_have_run += 1
                if job.last_placed is not None:
                    job.note_tried(job.last_placed, "lost")
                self.endings.note_lost(job, detail)
                if not job.route.is_repeatable:
                    return self.endings.fail(job, 502, "lost")
        return None

    def may_send_again(self, job: Job) -> bool:
        """Tell whether limits, time and the budget of retries allow another send."""
        if job.may_have_run and not job.route.is_repeatable:
            return False
        if job.may_have_run >= job.route.attempts or job.time_left() <= 0:
            return False
        if job.sends >= job.route.attempts + SENDS_BEYOND_ATTEMPTS:
            return False
        if not self._budgets.get(job.service.name).withdraw():
            self._metrics.count("retries_denied_total", {"service": job.service.name})
            return False
        return True

    def give_up(self, job: Job) -> InboundAnswer:
        """Return the answer to a request that may not be sent again."""
        if job.may_have_run:
            return self.endings.fail(job, 502, "lost")
        return self.endings.refuse(job, "not-taken", NOT_TAKEN_RETRY_S)

    def refuse(self, job: Job, refusal: Refusal) -> InboundAnswer:
        """Return the answer to a request that no replica can take."""
        if job.may_have_run:
            return self.endings.fail(job, 502, "lost")
        retry_after_s = refusal.retry_after_s
        if refusal.reason is RefusalReason.NO_REPLICA and job.service.engine is not None:
            retry_after_s = SWAP_RETRY_S * self._random.uniform(1.0, 1.0 + SWAP_SPREAD)
        return self.endings.refuse(job, refusal.reason.value, retry_after_s, refusal)

    def _find_rule(self, job: Job) -> WeightsRule:
        if not job.model:
            return WeightsRule()
        newest = self._versions.newest(job.model)
        left_s = self._versions.find_time_left(job.model, newest - 1, self.limits.version_bound_s)
        return WeightsRule(job.model, self._find_required(job), newest, left_s)

    def _find_required(self, job: Job) -> int:
        if not job.model:
            return 0
        return self._versions.find_required(job.model, self.limits.version_switch_s)

    def _check(
        self, job: Job, placed: Placed, watch: Watch, reply: ReplicaAnswer
    ) -> ReplicaAnswer | Outcome:
        """Return an answer that is the replica's own and for this request."""
        if watch.is_cancelled():
            raise UpstreamConnectionLost("given up")
        if reply.load is not None:
            self.placer.note_reading(placed.replica, reply.load)
        if reply.request_id and reply.request_id != job.inbound.id:
            raise UpstreamConnectionLost("the answer is for another request")
        if reply.is_not_run or reply.is_misplaced:
            reply.close()
            if reply.is_misplaced:
                self.placer.note_outdated(placed)
            else:
                self.placer.refused_by(placed)
            job.note_tried(placed, f"refused-{reply.status}")
            self._metrics.count("attempts_refused_total", {"service": job.service.name})
            return NotRun(reply.status, reply.is_misplaced)
        if 200 <= reply.status < 300 and not reply.is_authentic:
            raise UpstreamConnectionLost("the answer carries no proof of its replica")
        if reply.version:
            self.placer.note_version(placed.replica, reply.version)
        self.placer.note_first(placed)
        return reply
