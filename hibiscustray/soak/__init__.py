"""Randomized soak tests: injects faults into real entry processes and checks their guarantees."""

from hibiscustray.soak.cases import FAILED_SEEDS, FailedSeed
from hibiscustray.soak.early import EarlyEnd
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from hibiscustray.soak.runs import SoakOptions, SoakReport, run_soak
from hibiscustray.soak.schedule import (
    GROUPS,
    EarlyEnds,
    EntryFault,
    HarmfulRequest,
    LinkFault,
    OperatorAction,
    ReplicaFault,
    ReplicaLimit,
    ReplicaPushback,
    Step,
    StoreFault,
    generate_schedule,
)

__all__ = [
    "FAILED_SEEDS",
    "GROUPS",
    "EarlyEnd",
    "EarlyEnds",
    "EntryFault",
    "FailedSeed",
    "HarmfulRequest",
    "LinkFault",
    "LinkState",
    "LoopbackProxy",
    "OperatorAction",
    "ReplicaFault",
    "ReplicaLimit",
    "ReplicaPushback",
    "SoakOptions",
    "SoakReport",
    "Step",
    "StoreFault",
    "generate_schedule",
    "run_soak",
]
