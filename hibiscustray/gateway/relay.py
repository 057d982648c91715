"""Forwarding of callers' requests: the route, the team and the service, then the relay by kind."""

from __future__ import annotations

import random
import threading

from hibiscustray.catalog import Catalog, CatalogHolder, Route, RouteKind, ServiceEntry
from hibiscustray.gateway.attempts import Attempts, RelayLimits
from hibiscustray.gateway.body import EndedBody
from hibiscustray.gateway.endings import Endings
from hibiscustray.gateway.interface import InboundAnswer, InboundRequest
from hibiscustray.gateway.job import Job
from hibiscustray.gateway.streams import StreamRelay
from hibiscustray.gateway.whole import WholeRelay
from hibiscustray.placement import Demand
from hibiscustray.routing import RetryBudgets

DEADLINE_MARGIN_S = 0.02
"""Time kept for the way back to the caller."""
STARTING_RETRY_S = 0.5
"""Time in which a process that has just started learns its configuration."""
RETURN_SHARE = 0.25
"""Part of a route's longest time by which a caller's is shorter if it comes a second time."""


class Relay:
    """Runs requests; one method call on the caller's thread each."""

    def __init__(
        self,
        catalogs: CatalogHolder,
        attempts: Attempts,
        endings: Endings,
        budgets: RetryBudgets,
    ) -> None:
        self._catalogs = catalogs
        self._attempts = attempts
        self._endings = endings
        self._budgets = budgets
        self._whole = WholeRelay(attempts)
        self._streams = StreamRelay(attempts)
        self._random = random.Random()
        self._longest_given_s: dict[str, float] = {}
        self._running = 0
        self._idle = threading.Condition()

    @property
    def running(self) -> int:
        """Return the number of requests under way."""
        return self._running

    def set_limits(self, limits: RelayLimits) -> None:
        """Take on changed bounds."""
        self._attempts.limits = limits

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
        body = EndedBody(answer.body, lambda: self._change_running(-1))
        return InboundAnswer(answer.status, answer.headers, body)

    def _change_running(self, change: int) -> None:
        with self._idle:
            self._running += change
            if self._running == 0:
                self._idle.notify_all()

    def _run(self, inbound: InboundRequest) -> InboundAnswer:
        catalog = self._catalogs.current
        if catalog is None:
            return self._endings.reject(inbound, 503, "no-configuration", STARTING_RETRY_S)
        revision = catalog.revision
        route = catalog.find_route(inbound.host, inbound.path)
        if route is None:
            return self._endings.reject(inbound, 404, "no-route", revision=revision)
        team = ""
        if catalog.teams and not route.is_anonymous:
            entry = catalog.find_team(inbound.key)
            if entry is None:
                return self._endings.reject(inbound, 401, "unknown-key", revision=revision)
            team = entry.name
        service = self._choose_service(catalog, route)
        if service is None:
            return self._endings.reject(inbound, 503, "no-service", STARTING_RETRY_S, revision)
        job = self._make_job(inbound, catalog, route, service, team)
        self._budgets.get(service.name).deposit()
        if route.kind is RouteKind.STREAMING:
            return self._streams.run(job)
        return self._whole.run(job)

    def _choose_service(self, catalog: Catalog, route: Route) -> ServiceEntry | None:
        """Return one of a route's services by weight, None if none is known."""
        known = [s for s in route.shares if s.service in catalog.services and s.weight > 0]
        if not known:
            return None
        chosen = self._random.choices(known, [share.weight for share in known])[0]
        return catalog.services[chosen.service]

    def _make_job(
        self,
        inbound: InboundRequest,
        catalog: Catalog,
        route: Route,
        service: ServiceEntry,
        team: str,
    ) -> Job:
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
        return Job(inbound, catalog, route, service, team, deadline, demand)
