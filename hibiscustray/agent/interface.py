"""The interface towards a model engine that loads weights from a staging area."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hibiscustray.replicas import LayerSpan, ServedModel


class LoadMode(Enum):
    """What a load does to the requests that run."""

    FINISH_RUNNING = "finish-running"
    CUT_RUNNING = "cut-running"


@dataclass(frozen=True)
class EngineReport:
    """The engine's own word of its state; `order_count` is forgotten at a restart."""

    models: tuple[ServedModel, ...]
    layers: LayerSpan | None
    is_loading: bool
    order_count: int
    running: int
    waiting: int
    born_ms: int

    def find_version(self, model: str) -> int:
        """Return the version of a model that the engine holds, 0 for none."""
        version = next((m.version for m in self.models if m.name == model), 0)
        if self.layers is None:
            return version
        is_empty = self.layers.end <= self.layers.first
        return 0 if is_empty or self.layers.version != version else version


@dataclass(frozen=True)
class OrderAccepted:
    """The engine has begun to carry out an order."""


@dataclass(frozen=True)
class OrderInForce:
    """What was ordered is already so."""


@dataclass(frozen=True)
class OrderConflict:
    """The order does not fit the engine's state, or a newer one was given."""

    detail: str


@dataclass(frozen=True)
class OrderRejected:
    """The engine does not know such an order."""

    status: int
    detail: str


OrderOutcome = OrderAccepted | OrderInForce | OrderConflict | OrderRejected


class StagingEngine(Protocol):
    """An engine with a staging area; all methods raise an `UpstreamError`."""

    def read_report(self) -> EngineReport:
        """Return the engine's state."""
        ...

    def list_staged(self, model: str) -> frozenset[int]:
        """Return the chunks that lie in the staging area."""
        ...

    def read_staged(self, model: str, index: int) -> bytes:
        """Return a staged chunk as it lies there; raise `ChunkMissing`."""
        ...

    def stage(self, model: str, index: int, data: bytes) -> None:
        """Put a chunk into the staging area."""
        ...

    def order_load(
        self, model: str, version: int, mode: LoadMode, order_count: int, fencing: int
    ) -> OrderOutcome:
        """Order the engine to load what is staged."""
        ...
