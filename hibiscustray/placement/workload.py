"""The work of a request, the load that a replica reports, and a request in flight."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.web.numbers import read_numbers

MAX_REPORTED_COUNT = 1_000_000
"""Most requests or slots in a report of a replica's load."""


@dataclass(frozen=True)
class Demand:
    """The size of one request in tokens, its latency objective and its age, in seconds.

    `objective_s` and `age_s` count from the caller's first try.
    """

    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    objective_s: float = 1.0
    age_s: float = 0.0
    time_left_s: float = float("inf")


@dataclass(frozen=True)
class LoadReport:
    """The load that a replica reported in a response: running and waiting requests, and slots."""

    running: int
    waiting: int
    slots: int


def read_load(text: str) -> LoadReport | None:
    """Parse the running, waiting and slot counts; return None if they are absent or malformed."""
    counts = read_numbers(text, 3, MAX_REPORTED_COUNT)
    return None if counts is None else LoadReport(*counts)


@dataclass(eq=False)
class InFlightRequest:
    """A request that this entry has sent to a replica and that has not ended.

    `response_started_at` is None until the response has begun. `is_silent` is set while the replica
    sends nothing for it, and `was_silent` once it has been.
    """

    replica_id: str
    demand: Demand
    started_at: float
    predicted_s: float
    response_started_at: float | None = None
    is_silent: bool = False
    was_silent: bool = False
