"""Clients for the table, object store, weights origin, VM list and upstreams."""

from hibiscustray.protocols.engine import EngineClient, EngineLoad, EngineWeights, LoadWeightsOrder
from hibiscustray.protocols.objects import ObjectStore
from hibiscustray.protocols.origin import Origin
from hibiscustray.protocols.rate_limiter import CallRateLimiter
from hibiscustray.protocols.table import ANY_VERSION, Delete, Put, Row, Table
from hibiscustray.protocols.vm_list import VirtualMachine, VmList

__all__ = [
    "ANY_VERSION",
    "CallRateLimiter",
    "Delete",
    "EngineClient",
    "EngineLoad",
    "EngineWeights",
    "LoadWeightsOrder",
    "ObjectStore",
    "Origin",
    "Put",
    "Row",
    "Table",
    "VirtualMachine",
    "VmList",
]
