"""Activation of verified weights in waves, fenced against orders from the past."""

from hibiscustray.rollout.activation import Activation
from hibiscustray.rollout.fencing import FencingCounter
from hibiscustray.rollout.leases import Lease, LeaseStore

__all__ = ["Activation", "FencingCounter", "Lease", "LeaseStore"]
