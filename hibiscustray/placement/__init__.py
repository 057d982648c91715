"""Where a request goes: predicted times at each replica, the choice, and early refusals."""

from hibiscustray.placement.flight import Demand, Flight, LoadReading
from hibiscustray.placement.load import ReplicaLoad
from hibiscustray.placement.placer import Placed, Placer, Refusal, RefusalReason, WeightsRule
from hibiscustray.placement.prediction import EngineEstimate, predict_engine

__all__ = [
    "Demand",
    "EngineEstimate",
    "Flight",
    "LoadReading",
    "Placed",
    "Placer",
    "Refusal",
    "RefusalReason",
    "ReplicaLoad",
    "WeightsRule",
    "predict_engine",
]
