"""Hypothesis settings for all tests: the same examples in every run and no deadline."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
