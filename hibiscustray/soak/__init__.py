"""A randomized soak: real programs, faults from outside, and promises checked while it runs."""

from hibiscustray.soak.cases import FAILED_SEEDS, FailedSeed
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from hibiscustray.soak.runs import SoakOptions, SoakReport, run_soak
from hibiscustray.soak.schedule import (
    DisturbLink,
    DisturbReplica,
    DisturbStore,
    Operate,
    SignalEntry,
    Step,
    draw_schedule,
)

__all__ = [
    "FAILED_SEEDS",
    "DisturbLink",
    "DisturbReplica",
    "DisturbStore",
    "FailedSeed",
    "LinkState",
    "LoopbackProxy",
    "Operate",
    "SignalEntry",
    "SoakOptions",
    "SoakReport",
    "Step",
    "draw_schedule",
    "run_soak",
]
