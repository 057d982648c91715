"""Rolling activation of verified weights, with fencing against outdated load orders."""

from hibiscustray.rollout.activation import Activation, OrderGate, TargetWeights
from hibiscustray.rollout.fencing import FencingCounter
from hibiscustray.rollout.leases import Lease, LeaseStore
from hibiscustray.rollout.waves import WaveSlot, WaveSlotAllocator

__all__ = [
    "Activation",
    "FencingCounter",
    "Lease",
    "LeaseStore",
    "OrderGate",
    "TargetWeights",
    "WaveSlot",
    "WaveSlotAllocator",
]
