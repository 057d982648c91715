"""Clients of the platform: table, object store, origin, VM list and upstreams."""

from hibiscustray.platform.budget import RateBudget
from hibiscustray.platform.engine import EngineClient, EngineLoad, EngineWeights, LoadOrder
from hibiscustray.platform.machines import MachineList, VirtualMachine
from hibiscustray.platform.objects import ObjectStore
from hibiscustray.platform.origin import Origin
from hibiscustray.platform.table import ANY_VERSION, Delete, Put, Row, Table

__all__ = [
    "ANY_VERSION",
    "Delete",
    "EngineClient",
    "EngineLoad",
    "EngineWeights",
    "LoadOrder",
    "MachineList",
    "ObjectStore",
    "Origin",
    "Put",
    "RateBudget",
    "Row",
    "Table",
    "VirtualMachine",
]
