"""The state of one request while the gateway handles it."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field, replace

from hibiscustray.catalog import Catalog, Route, ServiceEntry
from hibiscustray.clock import read_clock
from hibiscustray.gateway.interface import InboundRequest
from hibiscustray.placement import Demand, Placement
from hibiscustray.quarantine import REQUEST_PREFIX
from hibiscustray.web import Framing


class AttemptTally:
    """Counts a request's attempts and those in which it may have run; thread-safe."""

    def __init__(self) -> None:
        self.attempts = 0
        self.uncertain = 0
        self._unused = 0
        self._lock = threading.Lock()

    def add_attempt(self) -> None:
        """Count an attempt."""
        with self._lock:
            self.attempts += 1

    def add_sent(self, limit: int) -> bool:
        """Count an attempt that is about to be sent, after which the request may have run.

        Returns False, and counts nothing, if the request may have run `limit` times already.
        """
        with self._lock:
            if self.uncertain >= limit:
                return False
            self.uncertain += 1
            return True

    def add_unused(self) -> None:
        """Count an attempt that was withdrawn before anything was sent."""
        with self._lock:
            self._unused += 1

    def take_unused(self) -> bool:
        """Return whether a withdrawn attempt has not been made up for, and count that it is now."""
        with self._lock:
            if not self._unused:
                return False
            self._unused -= 1
            return True

    def remove_sent(self) -> None:
        """Take back an attempt that the replica has rejected."""
        with self._lock:
            self.uncertain -= 1


@dataclass
class RequestContext:
    """A request with its route, service and team; `deadline` is a time of `read_clock`.

    `tally`, `excluded` and `trail` are shared by the attempts that run at the same time; `excluded`
    has the replicas tried, and `trail` lists each with the result. `answered_version` is the
    version of the weights that the last response named, 0 if it named none, and `framing` tells how
    that response marks the end of its body, None without a response. `sent_at` is the time at which
    the last attempt was sent, and `weights_left_s` the seconds that were left then until a newer
    version of the weights than its replica's is required. `work_ends_at` is the time at which the
    replica has been told to stop for that reason. `digest` is the same for all repeats of a
    request.
    """

    inbound: InboundRequest
    catalog: Catalog
    route: Route
    service: ServiceEntry
    team: str | None
    deadline: float
    demand: Demand
    digest: str
    tally: AttemptTally = field(default_factory=AttemptTally)
    excluded: set[str] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    last_placement: Placement | None = None
    answered_version: int = 0
    framing: Framing | None = None
    sent_at: float = 0.0
    weights_left_s: float = float("inf")
    work_ends_at: float = float("inf")

    @property
    def model(self) -> str:
        """Return the requested model, empty for a call to a service without an engine."""
        return self.inbound.generation.model if self.inbound.generation else ""

    @property
    def parts(self) -> tuple[str, ...]:
        """Return what a quarantine may refuse: the request itself and the parts of its prompt."""
        return (f"{REQUEST_PREFIX}{self.digest}", *self.inbound.prompt_parts)

    @property
    def is_late(self) -> bool:
        """Return whether the request had already missed its objective when it was received."""
        return self.demand.age_s > self.demand.objective_s

    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - read_clock()

    def current_demand(self) -> Demand:
        """Return the demand with its age and remaining time updated to now."""
        elapsed_s = read_clock() - self.inbound.received_at
        return replace(
            self.demand, age_s=self.demand.age_s + elapsed_s, time_left_s=self.time_left()
        )

    def fork(self) -> RequestContext:
        """Return a context for an attempt that runs beside this one's."""
        return replace(self)

    def record_attempt(self, placement: Placement, result: str) -> None:
        """Append the result of an attempt to the trail."""
        self.trail.append(f"{placement.replica.id}:{result}")
