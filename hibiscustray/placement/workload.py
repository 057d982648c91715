"""What a request asks of a replica, and one that is under way there."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Demand:
    """The work of one request in tokens, its objective and how long it has waited, in seconds.

    `objective_s` counts from the caller's first try; `age_s` is what has passed of it.
    """

    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    objective_s: float = 1.0
    age_s: float = 0.0
    time_left_s: float = float("inf")


@dataclass(frozen=True)
class LoadReport:
    """What a replica said of its load in an answer: requests that run and wait, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(eq=False)
class InFlightRequest:
    """A request of this entry at a replica; `response_started_at` is when its answer began."""

    replica_id: str
    demand: Demand
    started_at: float
    predicted_s: float
    response_started_at: float | None = None
