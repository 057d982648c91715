"""Routing policies: the adaptive policy and the baselines that it is benchmarked against."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.settings import RoutingSettings


@dataclass(frozen=True)
class Adaptive:
    """Fair queues, deadline-aware admission, adaptive limits, health scores, prefix affinity."""

    subset: int


@dataclass(frozen=True)
class FirstCome:
    """The adaptive limits and replica choice behind a single first-come, first-served queue."""

    subset: int


@dataclass(frozen=True)
class LeastOutstanding:
    """The replica with the fewest outstanding requests of this entry, without a queue."""


@dataclass(frozen=True)
class RoundRobin:
    """Each replica in turn, without a queue."""


Policy = Adaptive | FirstCome | LeastOutstanding | RoundRobin


def make_policy(settings: RoutingSettings) -> Policy:
    """Return the policy that the settings select."""
    match settings.policy:
        case "adaptive":
            return Adaptive(settings.subset)
        case "first_come":
            return FirstCome(settings.subset)
        case "least_outstanding":
            return LeastOutstanding()
        case "round_robin":
            return RoundRobin()
