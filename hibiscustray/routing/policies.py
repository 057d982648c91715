"""Routing policies: the adaptive one and the plain baselines that it is measured against."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.settings import RoutingSettings


@dataclass(frozen=True)
class Adaptive:
    """Fair queues, admission by deadline, adaptive limits, health scores and affinity."""

    subset: int


@dataclass(frozen=True)
class FirstCome:
    """The adaptive limits and choice behind one queue in order of arrival."""

    subset: int


@dataclass(frozen=True)
class LeastOutstanding:
    """The replica with the least own outstanding requests, without a queue."""


@dataclass(frozen=True)
class RoundRobin:
    """One replica after the other, without a queue."""


Policy = Adaptive | FirstCome | LeastOutstanding | RoundRobin


def make_policy(settings: RoutingSettings) -> Policy:
    """Return the policy that the settings name."""
    match settings.policy:
        case "adaptive":
            return Adaptive(settings.subset)
        case "first_come":
            return FirstCome(settings.subset)
        case "least_outstanding":
            return LeastOutstanding()
        case "round_robin":
            return RoundRobin()
