"""Chooses a replica for each request by predicted latency, and refuses requests early."""

from hibiscustray.placement.load import ReplicaLoad
from hibiscustray.placement.placer import Placement, Placer, WeightsConstraint
from hibiscustray.placement.prediction import EngineEstimate, predict_latency
from hibiscustray.placement.refusal import Refusal, RefusalReason
from hibiscustray.placement.workload import Demand, InFlightRequest, LoadReport, read_load

__all__ = [
    "Demand",
    "EngineEstimate",
    "InFlightRequest",
    "LoadReport",
    "Placement",
    "Placer",
    "Refusal",
    "RefusalReason",
    "ReplicaLoad",
    "WeightsConstraint",
    "predict_latency",
    "read_load",
]
