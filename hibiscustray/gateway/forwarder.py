"""Finds a request's route, team and service, then runs the forwarder for the route's kind."""

from __future__ import annotations

import random
import threading

from hibiscustray.catalog import Catalog, CatalogHolder, Route, RouteKind, ServiceEntry
from hibiscustray.gateway.attempts import AttemptController, VersionLimits
from hibiscustray.gateway.body import TrackedBody
from hibiscustray.gateway.buffered import BufferedForwarder
from hibiscustray.gateway.context import RequestContext
from hibiscustray.gateway.drain import DrainWindow
from hibiscustray.gateway.interface import InboundRequest, InboundResponse, digest_request
from hibiscustray.gateway.reporter import RequestReporter
from hibiscustray.gateway.streams import StreamForwarder
from hibiscustray.placement import Demand
from hibiscustray.routing import RetryBudgets

DEADLINE_MARGIN_S = 0.02
"""Part of the deadline reserved for sending the response to the caller."""
STARTUP_RETRY_AFTER_S = 0.5
"""Time in which a process that has just started receives its configuration."""
RETRY_DEADLINE_SHARE = 0.25
"""Share of a route's longest deadline by which a deadline must be shorter to count as a retry."""


class RequestForwarder:
    """Runs each request in the thread that calls `run`."""

    def __init__(
        self,
        catalogs: CatalogHolder,
        attempts: AttemptController,
        reporter: RequestReporter,
        budgets: RetryBudgets,
    ) -> None:
        self._catalogs = catalogs
        self._attempts = attempts
        self._reporter = reporter
        self._budgets = budgets
        self._buffered = BufferedForwarder(attempts)
        self._streams = StreamForwarder(attempts)
        self._random = random.Random()
        self._longest_deadlines_s: dict[str, float] = {}
        self._running = 0
        self._lock = threading.Lock()

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._running

    def stop(self) -> None:
        """Start no more backups of silent attempts."""
        self._attempts.stop()

    def set_limits(self, limits: VersionLimits) -> None:
        """Apply changed limits to later attempts."""
        self._attempts.limits = limits

    def drain(self, window: DrainWindow) -> None:
        """Turn late requests away, and end all others by the end of a drain."""
        self._attempts.drain_window = window

    def run(self, inbound: InboundRequest) -> InboundResponse:
        """Forward a request and return its response, or an error response."""
        self._change_running(1)
        try:
            response = self._run(inbound)
        except BaseException:
            self._change_running(-1)
            raise
        if isinstance(response.body, bytes):
            self._change_running(-1)
            return response
        body = TrackedBody(response.body, lambda: self._change_running(-1))
        return InboundResponse(response.status, response.headers, body, response.is_delimited)

    def _change_running(self, change: int) -> None:
        with self._lock:
            self._running += change

    def _run(self, inbound: InboundRequest) -> InboundResponse:
        catalog = self._catalogs.current
        if catalog is None or not self._attempts.quarantine.is_usable():
            return self._reporter.reject(inbound, 503, "no-configuration", STARTUP_RETRY_AFTER_S)
        revision = catalog.revision
        route = catalog.find_route(inbound.host, inbound.path)
        if route is None:
            return self._reporter.reject(inbound, 404, "no-route", revision=revision)
        team = None
        if catalog.requires_keys and not route.is_anonymous:
            entry = catalog.find_team(inbound.key)
            if entry is None:
                return self._reporter.reject(inbound, 401, "unknown-key", revision=revision)
            team = entry.name
        service = self._choose_service(catalog, route)
        if service is None:
            return self._reporter.reject(
                inbound, 503, "no-service", STARTUP_RETRY_AFTER_S, revision
            )
        context = self._make_context(inbound, catalog, route, service, team)
        self._budgets.get(service.name).deposit()
        if route.kind is RouteKind.STREAMING:
            return self._streams.run(context)
        return self._buffered.run(context)

    def _choose_service(self, catalog: Catalog, route: Route) -> ServiceEntry | None:
        """Return one of a route's services by weight, None if none is known."""
        known = [s for s in route.shares if s.service in catalog.services and s.weight > 0]
        if not known:
            return None
        chosen = self._random.choices(known, [share.weight for share in known])[0]
        return catalog.services[chosen.service]

    def _make_context(
        self,
        inbound: InboundRequest,
        catalog: Catalog,
        route: Route,
        service: ServiceEntry,
        team: str | None,
    ) -> RequestContext:
        deadline_s = inbound.time_left_s if inbound.time_left_s is not None else route.timeout_s
        longest_deadline_s = max(self._longest_deadlines_s.get(route.name, 0.0), deadline_s)
        self._longest_deadlines_s[route.name] = longest_deadline_s
        inferred_age_s = longest_deadline_s - deadline_s
        time_left_s = min(deadline_s, route.timeout_s)
        generation = inbound.generation
        demand = Demand(
            prompt_tokens=generation.prompt_tokens if generation else 0.0,
            output_tokens=generation.output_tokens if generation else 0.0,
            objective_s=route.objective_s,
            # Deadlines of first tries vary within a route; a much shorter one indicates a retry.
            age_s=(
                inferred_age_s
                if inferred_age_s > RETRY_DEADLINE_SHARE * longest_deadline_s
                else 0.0
            ),
            time_left_s=time_left_s,
        )
        deadline = inbound.received_at + time_left_s - DEADLINE_MARGIN_S
        digest = digest_request(inbound, team)
        return RequestContext(inbound, catalog, route, service, team, deadline, demand, digest)
