"""Clients of published protocols: table, object store, origin, VM list and upstreams."""

from hibiscustray.protocols.budget import RateBudget
from hibiscustray.protocols.engine import EngineClient, EngineLoad, EngineWeights, LoadOrder
from hibiscustray.protocols.machines import MachineList, VirtualMachine
from hibiscustray.protocols.objects import ObjectStore
from hibiscustray.protocols.origin import Origin
from hibiscustray.protocols.table import ANY_VERSION, Delete, Put, Row, Table

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
