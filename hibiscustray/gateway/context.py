"""One request on its way: what was decided about it and what was tried."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace

from hibiscustray.catalog import Catalog, Route, ServiceEntry
from hibiscustray.gateway.interface import InboundRequest
from hibiscustray.placement import Demand, Placement


@dataclass
class Job:
    """A request with its route, service and team; `deadline` is in monotonic seconds.

    `sends` counts attempts, `may_have_run` those after which the request may have run, and `trail`
    names each replica tried with what came of it.
    """

    inbound: InboundRequest
    catalog: Catalog
    route: Route
    service: ServiceEntry
    team: str
    deadline: float
    demand: Demand
    sends: int = 0
    may_have_run: int = 0
    excluded: set[str] = field(default_factory=set)
    trail: list[str] = field(default_factory=list)
    last_placed: Placement | None = None

    @property
    def model(self) -> str:
        """Return the model asked for, empty for a plain call."""
        return self.inbound.generation.model if self.inbound.generation else ""

    @property
    def is_late(self) -> bool:
        """Tell whether the request came past its objective."""
        return self.demand.age_s > self.demand.objective_s

    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()

    def demand_now(self) -> Demand:
        """Return the demand with the time that has passed since the request came."""
        elapsed_s = time.monotonic() - self.inbound.received_at
        return replace(
            self.demand, age_s=self.demand.age_s + elapsed_s, time_left_s=self.time_left()
        )

    def note_tried(self, placed: Placement, result: str) -> None:
        """Note what came of an attempt."""
        self.trail.append(f"{placed.replica.id}:{result}")
