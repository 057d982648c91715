"""Forwarding of one request: route, team, attempts at replicas, and the answer to the caller."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from hibiscustray.catalog import (
    Catalog,
    CatalogHolder,
    Route,
    RouteKind,
    ServiceEntry,
    VersionBook,
)
from hibiscustray.entry.watchdog import Watch, Watchdog
from hibiscustray.exceptions import UpstreamConnectionLost, UpstreamUnreachable
from hibiscustray.gateway.events import EventSplitter, read_event_id
from hibiscustray.gateway.interface import (
    Headers,
    InboundAnswer,
    InboundRequest,
    OutboundRequest,
    ReplicaAnswer,
    ReplicaCaller,
)
from hibiscustray.gateway.outcome import (
    Abandoned,
    MaybeRun,
    NotRun,
    NotSent,
    Outcome,
    OutOfTime,
)
from hibiscustray.placement import Demand, Placed, Placer, Refusal, RefusalReason
from hibiscustray.routing import RetryBudgets
from hibiscustray.telemetry import Metrics
from hibiscustray.web.problem import PROBLEM_JSON, make_problem

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.25
"""Time for a connection to a replica: the longest round trip is a few milliseconds."""
FIRST_BYTE_SILENCE_S = 1.2
"""Silence before an answer's first byte after which a repeatable request is tried elsewhere."""
STREAM_SILENCE_S = 1.2
"""Gap in a stream after which it is resumed elsewhere; callers give up after two seconds."""
BOUND_MARGIN_S = 0.15
"""Time before a version's bound at which a request that has not begun is given up."""
LEAST_SILENCE_S = 0.1
NEVER_SILENT_S = 3600.0
DEADLINE_MARGIN_S = 0.02
"""Time kept for the way back to the caller."""
SENDS_BEYOND_ATTEMPTS = 2
"""Further sends after refusals by replicas that did not run the request."""
UNPLACED_RETRY_S = 0.5
SWAP_RETRY_S = 1.6
"""Time in which replicas that are changing their weights are expected back in service."""
SWAP_SPREAD = 0.3
"""Spread of that time, so that callers do not come back together."""
RETRIED_STATUSES = frozenset((500, 502, 503, 504))
"""A replica's own failures after which an idempotent request is tried at another."""
RETURN_SHARE = 0.25
"""Part of a route's longest time by which a caller's is shorter if it comes a second time."""
URGENCY_LATE = 7
"""Urgency of requests past their objective; the engines' default is 5."""


@dataclass(frozen=True)
class RelayLimits:
    """Bounds given by the platform: time for new weights, in seconds."""

    version_bound_s: float = 8.0
    version_margin_s: float = 0.8

    @property
    def version_switch_s(self) -> float:
        """Return the age of a named version from which no other is used."""
        return max(0.0, self.version_bound_s - self.version_margin_s)


@dataclass
class _Job:
    """One request on its way: what was decided and what was tried."""

    inbound: InboundRequest
    catalog: Catalog
    route: Route
    service: ServiceEntry
    team: str
    deadline: float
    demand: Demand
    sends: int = 0
    may_have_run: int = 0
    tried: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    last_placed: Placed | None = None

    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()


class Relay:
    """Runs requests; one method call on the caller's thread each."""

    def __init__(
        self,
        catalogs: CatalogHolder,
        versions: VersionBook,
        placer: Placer,
        caller: ReplicaCaller,
        budgets: RetryBudgets,
        watchdog: Watchdog,
        metrics: Metrics,
        limits: RelayLimits,
    ) -> None:
        self._catalogs = catalogs
        self._versions = versions
        self._placer = placer
        self._caller = caller
        self._budgets = budgets
        self._watchdog = watchdog
        self._metrics = metrics
        self.limits = limits
        self._random = random.Random()
        self._longest_given_s: dict[str, float] = {}
        self._running = 0
        self._idle = threading.Condition()

    @property
    def running(self) -> int:
        """Return the number of requests under way."""
        return self._running

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is under way; tell whether that was reached."""
        with self._idle:
            return self._idle.wait_for(lambda: self._running == 0, timeout_s)

    def run(self, inbound: InboundRequest) -> InboundAnswer:
        """Forward a request and return its answer, or a refusal."""
        self._change_running(1)
        try:
            answer = self._run(inbound)
        except BaseException:
            self._change_running(-1)
            raise
        if isinstance(answer.body, bytes):
            self._change_running(-1)
            return answer
        return InboundAnswer(answer.status, answer.headers, _Counted(answer.body, self._leave))

    def _leave(self) -> None:
        self._change_running(-1)

    def _change_running(self, change: int) -> None:
        with self._idle:
            self._running += change
            if self._running == 0:
                self._idle.notify_all()

    def _run(self, inbound: InboundRequest) -> InboundAnswer:
        catalog = self._catalogs.current
        if catalog is None:
            return self._reject(inbound, 503, "no-configuration", UNPLACED_RETRY_S)
        route = catalog.find_route(inbound.host, inbound.path)
        if route is None:
            return self._reject(inbound, 404, "no-route", revision=catalog.revision)
        team, rank = "", route.rank
        if catalog.teams and not route.is_anonymous:
            entry = catalog.find_team(inbound.key)
            if entry is None:
                return self._reject(inbound, 401, "unknown-key", revision=catalog.revision)
            team, rank = entry.name, entry.rank if entry.rank is not None else rank
        service = self._choose_service(catalog, route)
        if service is None:
            return self._reject(inbound, 503, "no-service", UNPLACED_RETRY_S)
        job = self._make_job(inbound, catalog, route, service, team)
        self._budgets.get(service.name).earn()
        if route.kind is RouteKind.STREAMING:
            return self._run_stream(job)
        return self._run_whole(job)

    def _choose_service(self, catalog: Catalog, route: Route) -> ServiceEntry | None:
        known = [share for share in route.shares if share.service in catalog.services]
        if not known:
            return None
        weights = [max(0.0, share.weight) for share in known]
        if sum(weights) <= 0:
            return None
        chosen = self._random.choices(known, weights)[0]
        return catalog.services[chosen.service]

    def _make_job(
        self,
        inbound: InboundRequest,
        catalog: Catalog,
        route: Route,
        service: ServiceEntry,
        team: str,
    ) -> _Job:
        given_s = inbound.time_left_s if inbound.time_left_s is not None else route.timeout_s
        longest_s = max(self._longest_given_s.get(route.name, 0.0), given_s)
        self._longest_given_s[route.name] = longest_s
        missing_s = longest_s - given_s
        time_left_s = min(given_s, route.timeout_s)
        generation = inbound.generation
        demand = Demand(
            prompt_tokens=generation.prompt_tokens if generation else 0.0,
            output_tokens=generation.output_tokens if generation else 0.0,
            objective_s=route.objective_s,
            # Callers of a route start with deadlines that differ; one far shorter is a return.
            age_s=missing_s if missing_s > RETURN_SHARE * longest_s else 0.0,
            time_left_s=time_left_s,
        )
        deadline = inbound.received_at + time_left_s - DEADLINE_MARGIN_S
        return _Job(inbound, catalog, route, service, team, deadline, demand)

    # Whole answers

    def _run_whole(self, job: _Job) -> InboundAnswer:
        failed: InboundAnswer | None = None
        while True:
            placed = self._place(job)
            if isinstance(placed, Refusal):
                return failed or self._refuse(job, placed)
            outcome, answer = self._attempt_whole(job, placed)
            if answer is not None:
                if not self._is_worth_repeating(job, answer.status):
                    self._note_answered(job, answer.status)
                    return answer
                failed = answer
            else:
                assert outcome is not None
                ended = self._settle(job, outcome)
                if ended is not None:
                    return failed or ended
            if not self._may_send_again(job):
                return failed or self._give_up(job, outcome)

    def _attempt_whole(
        self, job: _Job, placed: Placed
    ) -> tuple[Outcome | None, InboundAnswer | None]:
        silence_s = FIRST_BYTE_SILENCE_S if job.route.is_repeatable else NEVER_SILENT_S
        watch = self._watch(job, silence_s)
        reply: ReplicaAnswer | None = None
        try:
            reply = self._open(job, placed, watch)
            if isinstance(reply, Outcome):
                return reply, None
            body = reply.read_all()
            if watch.is_cut():
                return self._explain_cut(job, watch), None
        except UpstreamConnectionLost as error:
            outcome = self._explain_loss(job, watch, error)
            self._placer.fail(placed, isinstance(outcome, MaybeRun) and outcome.is_silent)
            return outcome, None
        finally:
            watch.close()
            if reply is not None and not isinstance(reply, Outcome):
                reply.close()
        if reply.status in RETRIED_STATUSES:
            self._placer.fail(placed)
            job.may_have_run += 1
        else:
            self._placer.finish(placed, job.service)
        job.trail.append(f"{placed.replica.id}:{reply.status}")
        return None, InboundAnswer(reply.status, reply.headers, body)

    def _is_worth_repeating(self, job: _Job, status: int) -> bool:
        return (
            status in RETRIED_STATUSES
            and job.route.kind is RouteKind.IDEMPOTENT
            and self._may_send_again(job)
        )

    # Streams

    def _run_stream(self, job: _Job) -> InboundAnswer:
        while True:
            placed = self._place(job)
            if isinstance(placed, Refusal):
                return self._refuse(job, placed)
            outcome, answer = self._begin_stream(job, placed)
            if answer is not None:
                return answer
            assert outcome is not None
            ended = self._settle(job, outcome)
            if ended is not None:
                return ended
            if not self._may_send_again(job):
                return self._give_up(job, outcome)

    def _begin_stream(
        self, job: _Job, placed: Placed
    ) -> tuple[Outcome | None, InboundAnswer | None]:
        run = _StreamRun(self, job, placed, job.inbound.resume_after)
        outcome = run.open()
        if outcome is not None:
            return outcome, None
        reply = run.reply
        assert reply is not None
        if not 200 <= reply.status < 300:
            return run.read_failure()
        first, outcome = run.read_first()
        if outcome is not None:
            return outcome, None
        events = _Counted(self._relay_events(run, first), run.close)
        return None, InboundAnswer(reply.status, reply.headers, events)

    def _relay_events(self, run: _StreamRun, first: list[bytes]) -> Iterator[bytes]:
        """Yield events as they come; a stream that breaks is resumed at another replica."""
        job = run.job
        pending = first
        try:
            while True:
                for event in pending:
                    run.note_event(event)
                    yield event
                if run.is_whole:
                    self._note_answered(job, 200, run.count)
                    return
                pending, outcome = run.read_events()
                if outcome is not None:
                    run, pending = self._resume(run, outcome)
        except GeneratorExit:
            self._log_end(job, "caller-left", events=run.count)
            raise
        finally:
            run.close()

    def _resume(self, broken: _StreamRun, outcome: Outcome) -> tuple[_StreamRun, list[bytes]]:
        job = broken.job
        while True:
            ended = self._settle(job, outcome)
            is_resumable = job.route.is_resumable and broken.last_id
            if ended is not None or not is_resumable or not self._may_send_again(job):
                self._log_end(job, "cut", events=broken.count, detail=str(outcome))
                raise UpstreamConnectionLost(f"stream cut: {outcome}")
            placed = self._place(job)
            if isinstance(placed, Refusal):
                self._log_end(job, "cut", events=broken.count, detail=placed.reason.value)
                raise UpstreamConnectionLost("stream cut: no replica to resume at")
            run = _StreamRun(self, job, placed, broken.last_id)
            run.continue_from(broken)
            outcome_or_none = run.open()
            if outcome_or_none is None and run.reply is not None and run.reply.status != 200:
                outcome_or_none = MaybeRun(f"status {run.reply.status} to a resumption")
                run.fail(outcome_or_none)
            if outcome_or_none is None:
                events, outcome_or_none = run.read_first()
                if outcome_or_none is None:
                    self._metrics.count("streams_resumed_total")
                    return run, events
            outcome = outcome_or_none

    # Shared steps

    def _place(self, job: _Job) -> Placed | Refusal:
        model = job.inbound.generation.model if job.inbound.generation else ""
        required = self._find_required(model)
        time_left_s = job.time_left()
        elapsed_s = time.monotonic() - job.inbound.received_at
        demand = Demand(
            job.demand.prompt_tokens,
            job.demand.output_tokens,
            job.demand.objective_s,
            job.demand.age_s + elapsed_s,
            time_left_s,
        )
        placed = self._placer.place(job.service, demand, model, required, job.excluded)
        if isinstance(placed, Placed):
            job.last_placed = placed
        return placed

    def _find_required(self, model: str) -> int:
        if not model:
            return 0
        return self._versions.find_required(model, self.limits.version_switch_s)

    def _open(self, job: _Job, placed: Placed, watch: Watch, resume_after: str = ""):
        """Send an attempt; return the replica's answer, or the outcome if there is none."""
        model = job.inbound.generation.model if job.inbound.generation else ""
        is_late = job.demand.age_s > job.demand.objective_s
        outbound = OutboundRequest(
            job.inbound,
            placed.replica,
            job.time_left(),
            job.team,
            self._find_required(model),
            URGENCY_LATE if is_late else None,
            resume_after or job.inbound.resume_after,
        )
        job.sends += 1
        job.excluded.add(placed.replica.id)
        try:
            reply = self._caller.open(outbound, CONNECT_TIMEOUT_S, watch.set_cancel)
        except UpstreamUnreachable as error:
            self._placer.fail(placed, is_silent=True)
            job.trail.append(f"{placed.replica.id}:unreachable")
            if job.inbound.is_abandoned():
                return Abandoned()
            return NotSent(str(error))
        if watch.is_cut():
            reply.close()
            raise UpstreamConnectionLost("cut by the watch")
        if reply.load is not None:
            self._placer.note_reading(placed.replica, reply.load)
        if reply.is_not_run or reply.is_misplaced:
            reply.close()
            self._note_refused(job, placed, reply)
            return NotRun(reply.status, reply.is_misplaced)
        if reply.request_id and reply.request_id != job.inbound.id:
            reply.close()
            raise UpstreamConnectionLost("the answer is for another request")
        if 200 <= reply.status < 300 and not reply.is_authentic:
            reply.close()
            raise UpstreamConnectionLost("the answer carries no proof of its replica")
        if reply.version:
            self._placer.note_version(placed.replica, reply.version)
        self._placer.note_first(placed)
        return reply

    def _note_refused(self, job: _Job, placed: Placed, reply: ReplicaAnswer) -> None:
        self._placer.refused_by(placed)
        job.trail.append(f"{placed.replica.id}:refused-{reply.status}")
        self._metrics.count("attempts_refused_total", {"service": job.service.name})

    def _find_first_silence(self, job: _Job, placed: Placed) -> float:
        """Return how long to wait for the first byte of an answer.

        A request that has not begun when the bound of a newer version passes must not begin on the
        older one, so it is given up just before.
        """
        if job.inbound.generation is None:
            return FIRST_BYTE_SILENCE_S
        model = job.inbound.generation.model
        held = placed.replica.find_version(model)
        left_s = self._versions.find_time_left(model, held, self.limits.version_bound_s)
        return max(LEAST_SILENCE_S, min(FIRST_BYTE_SILENCE_S, left_s - BOUND_MARGIN_S))

    def _watch(self, job: _Job, silence_s: float) -> Watch:
        return self._watchdog.watch(lambda: None, job.deadline, silence_s, job.inbound.is_abandoned)

    def _explain_loss(self, job: _Job, watch: Watch, error: Exception) -> Outcome:
        if watch.is_cut():
            return self._explain_cut(job, watch)
        if job.time_left() <= 0:
            return OutOfTime()
        return MaybeRun(str(error))

    def _explain_cut(self, job: _Job, watch: Watch) -> Outcome:
        if job.inbound.is_abandoned():
            return Abandoned()
        if watch.is_silent():
            return MaybeRun("silent", is_silent=True)
        return OutOfTime()

    def _settle(self, job: _Job, outcome: Outcome) -> InboundAnswer | None:
        """Take in how an attempt ended; return the final answer if there can be no other."""
        match outcome:
            case Abandoned():
                self._log_end(job, "caller-left")
                return InboundAnswer(499, (), b"")
            case OutOfTime():
                job.may_have_run += 1
                return self._fail(job, 504, "deadline")
            case MaybeRun(detail=detail):
                job.may_have_run += 1
                job.trail.append(f"{job.last_placed.replica.id}:lost" if job.last_placed else "")
                log.info("attempt lost", extra={"request": job.inbound.id, "detail": detail[:200]})
                if not job.route.is_repeatable:
                    return self._fail(job, 502, "lost")
        return None

    def _may_send_again(self, job: _Job) -> bool:
        """Tell whether limits, time and the budget of retries allow another send."""
        if job.may_have_run and not job.route.is_repeatable:
            return False
        if job.may_have_run >= job.route.attempts or job.time_left() <= 0:
            return False
        if job.sends >= job.route.attempts + SENDS_BEYOND_ATTEMPTS:
            return False
        if not self._budgets.get(job.service.name).spend():
            self._metrics.count("retries_denied_total", {"service": job.service.name})
            return False
        return True

    def _give_up(self, job: _Job, outcome: Outcome | None) -> InboundAnswer:
        if job.may_have_run:
            return self._fail(job, 502, "lost")
        return self._refuse_not_run(job, "not-taken", UNPLACED_RETRY_S)

    def _refuse(self, job: _Job, refusal: Refusal) -> InboundAnswer:
        if job.may_have_run:
            return self._fail(job, 502, "lost")
        retry_after_s = refusal.retry_after_s
        if refusal.reason is RefusalReason.NO_REPLICA and job.service.engine is not None:
            retry_after_s = SWAP_RETRY_S * self._random.uniform(1.0, 1.0 + SWAP_SPREAD)
        return self._refuse_not_run(job, refusal.reason.value, retry_after_s, refusal)

    def _refuse_not_run(
        self, job: _Job, reason: str, retry_after_s: float, refusal: Refusal | None = None
    ) -> InboundAnswer:
        """Answer that the request did not run, with the time to come back."""
        details = {}
        if refusal is not None:
            details = {
                "predicted_s": round(refusal.predicted_s, 3),
                "candidates": refusal.candidates,
            }
        self._log_end(job, "refused", reason=reason, retry_after_s=retry_after_s, **details)
        self._count_end(job, "refused")
        status = 503 if not job.demand.prompt_tokens or reason != "full" else 429
        return _make_refusal(status, reason, retry_after_s)

    def _fail(self, job: _Job, status: int, reason: str) -> InboundAnswer:
        """Answer that the request may have run."""
        self._log_end(job, "failed", reason=reason, status=status)
        self._count_end(job, "failed")
        return InboundAnswer(status, _problem_headers(), make_problem(status, reason))

    def _reject(
        self,
        inbound: InboundRequest,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        revision: int = 0,
    ) -> InboundAnswer:
        """Answer a request that no route or team allows."""
        log.info(
            "request rejected",
            extra={
                "request": inbound.id,
                "status": status,
                "reason": reason,
                "revision": revision,
                "host": inbound.host,
            },
        )
        self._metrics.count("requests_total", {"outcome": "rejected", "reason": reason})
        if retry_after_s is not None:
            return _make_refusal(status, reason, retry_after_s)
        return InboundAnswer(status, _problem_headers(), make_problem(status, reason))

    def _note_answered(self, job: _Job, status: int, events: int = 0) -> None:
        self._log_end(job, "answered", status=status, events=events)
        self._count_end(job, "answered" if status < 500 else "upstream-failure")

    def _count_end(self, job: _Job, outcome: str) -> None:
        labels = {"outcome": outcome, "service": job.service.name}
        self._metrics.count("requests_total", labels)
        self._metrics.observe("request_seconds", time.monotonic() - job.inbound.received_at, labels)

    def _log_end(self, job: _Job, outcome: str, **details: object) -> None:
        placed = job.last_placed
        if placed is not None:
            flight = placed.flight
            details["predicted_s"] = round(flight.predicted_s, 3)
            if flight.first_at is not None:
                details["first_s"] = round(flight.first_at - flight.started_at, 3)
            details["outstanding"] = round(placed.outstanding, 1)
            details["load_age_s"] = round(min(placed.reading_age_s, 99.0), 2)
        log.info(
            "request ended",
            extra={
                "request": job.inbound.id,
                "outcome": outcome,
                "route": job.route.name,
                "service": job.service.name,
                "revision": job.catalog.revision,
                "age_s": round(job.demand.age_s, 3),
                "took_s": round(time.monotonic() - job.inbound.received_at, 3),
                "trail": job.trail,
                **details,
            },
        )


class _StreamRun:
    """One replica's part of a stream."""

    def __init__(self, relay: Relay, job: _Job, placed: Placed, resume_after: str) -> None:
        self.job = job
        self.count = 0
        self.last_id = ""
        self.is_whole = False
        self.reply: ReplicaAnswer | None = None
        self._relay = relay
        self._placed = placed
        self._resume_after = resume_after
        self._splitter = EventSplitter()
        self._watch = relay._watch(job, relay._find_first_silence(job, placed))
        self._is_settled = False

    def open(self) -> Outcome | None:
        """Send the attempt; return the outcome if no answer came."""
        try:
            reply = self._relay._open(self.job, self._placed, self._watch, self._resume_after)
        except UpstreamConnectionLost as error:
            return self._lose(error)
        if isinstance(reply, Outcome):
            self._is_settled = True
            self.close()
            return reply
        self.reply = reply
        self._watch.touch()
        return None

    def read_failure(self) -> tuple[Outcome | None, InboundAnswer | None]:
        """Return the replica's own failure, read to its end."""
        assert self.reply is not None
        try:
            body = self.reply.read_all()
        except UpstreamConnectionLost as error:
            return self._lose(error), None
        if self._watch.is_cut():
            return self._lose(UpstreamConnectionLost("cut by the watch")), None
        reply = self.reply
        self.fail(MaybeRun(f"status {reply.status}"))
        self.job.trail.append(f"{self._placed.replica.id}:{reply.status}")
        self._relay._note_answered(self.job, reply.status)
        return None, InboundAnswer(reply.status, reply.headers, body)

    def read_first(self) -> tuple[list[bytes], Outcome | None]:
        """Return the first events, at least one unless the stream is whole."""
        events: list[bytes] = []
        while not events and not self.is_whole:
            events, outcome = self.read_events()
            if outcome is not None:
                return [], outcome
        self.job.trail.append(f"{self._placed.replica.id}:streaming")
        return events, None

    def read_events(self) -> tuple[list[bytes], Outcome | None]:
        """Return the events of the next block; an empty list may be followed by more."""
        assert self.reply is not None
        self._watch.touch()
        try:
            block = self.reply.read_block()
            if self._watch.is_cut():
                raise UpstreamConnectionLost("cut by the watch")
            events = list(self._splitter.add(block))
        except (UpstreamConnectionLost, ValueError) as error:
            return [], self._lose(error)
        self._watch.pause()
        if block:
            return events, None
        if self._splitter.has_rest:
            return [], self._lose(UpstreamConnectionLost("the stream ends within an event"))
        self.is_whole = True
        self._settle_placement()
        self._relay._placer.finish(self._placed, self.job.service)
        return events, None

    def continue_from(self, broken: _StreamRun) -> None:
        """Go on behind the events that a broken run gave."""
        self.count, self.last_id = broken.count, broken.last_id

    def note_event(self, event: bytes) -> None:
        """Note an event that is passed on."""
        self._watch.allow_silence(STREAM_SILENCE_S)
        self.count += 1
        self.last_id = read_event_id(event) or self.last_id

    def fail(self, outcome: Outcome) -> None:
        """Note that the replica failed, and close the connection."""
        if not self._is_settled:
            self._settle_placement()
            is_silent = isinstance(outcome, MaybeRun) and outcome.is_silent
            self._relay._placer.fail(self._placed, is_silent)
        self.close()

    def close(self) -> None:
        """End the watch and the connection; a run that did not end is given back."""
        self._watch.close()
        if not self._is_settled:
            self._settle_placement()
            self._relay._placer.give_back(self._placed)
        if self.reply is not None:
            self.reply.close()

    def _lose(self, error: Exception) -> Outcome:
        outcome = self._relay._explain_loss(self.job, self._watch, error)
        match outcome:
            case Abandoned() | OutOfTime():
                self.close()
            case _:
                self.fail(outcome)
        return outcome

    def _settle_placement(self) -> None:
        self._is_settled = True


class _Counted:
    """A streamed body that reports its end once, also when it is closed early."""

    def __init__(self, events: Iterator[bytes], on_end) -> None:
        self._events = events
        self._on_end = on_end
        self._lock = threading.Lock()
        self._is_ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._events)
        except BaseException:
            self._end()
            raise

    def close(self) -> None:
        """Close the stream."""
        try:
            self._events.close()
        finally:
            self._end()

    def _end(self) -> None:
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
        self._on_end()


def _problem_headers() -> Headers:
    return (("Content-Type", PROBLEM_JSON),)


def _make_refusal(status: int, reason: str, retry_after_s: float) -> InboundAnswer:
    headers = (*_problem_headers(), ("Retry-After", f"{retry_after_s:.2f}"))
    return InboundAnswer(status, headers, make_problem(status, reason))
