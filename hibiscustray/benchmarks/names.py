"""Names of faults and loads, kept apart from the benchmarks so that the command line loads fast."""

from __future__ import annotations

CONFIGURATION_FAULTS = (
    "none",
    "store_outage",
    "lost_answers",
    "race",
    "restart",
    "partition",
    "pause",
    "all",
)
WEIGHTS_FAULTS = (
    "none",
    "corrupt",
    "stall",
    "die",
    "churn",
    "origin_outage",
    "store_outage",
    "version_change",
    "all",
)
PLACEMENT_LOADS = (
    "burst",
    "many-entries",
    "repeaters",
    "slow-replica",
    "scale-out",
    "release",
    "pushback",
    "pushback-of-all",
)
