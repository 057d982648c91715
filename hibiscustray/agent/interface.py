"""Interface to a model engine that loads weights from a staging area."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hibiscustray.replicas import LayerSpan, ServedModel


class LoadMode(Enum):
    """How a load treats running requests: it lets them finish or cancels them."""

    FINISH_RUNNING = "finish-running"
    CUT_RUNNING = "cut-running"


@dataclass(frozen=True)
class EngineReport:
    """The state that the engine reports.

    `order_count` counts the load orders since the engine's last restart; `born_ms` is the time of
    its start in milliseconds.
    """

    models: tuple[ServedModel, ...]
    layers: LayerSpan | None
    is_loading: bool
    order_count: int
    running: int
    waiting: int
    born_ms: int

    def find_version(self, model: str) -> int:
        """Return the loaded version of a model, 0 if none is loaded or its layers differ."""
        version = next((m.version for m in self.models if m.name == model), 0)
        if self.layers is None:
            return version
        is_empty = self.layers.end <= self.layers.first
        return 0 if is_empty or self.layers.version != version else version


@dataclass(frozen=True)
class OrderAccepted:
    """The engine has started to execute an order."""


@dataclass(frozen=True)
class OrderInForce:
    """The engine already holds the ordered version."""


@dataclass(frozen=True)
class OrderConflict:
    """The order conflicts with the engine's state or with a newer order."""

    detail: str


@dataclass(frozen=True)
class OrderRejected:
    """The engine rejected the order for another reason, for example as unknown."""

    status: int
    detail: str


OrderOutcome = OrderAccepted | OrderInForce | OrderConflict | OrderRejected


class StagingEngine(Protocol):
    """An engine with a staging area; all methods raise an `UpstreamError`."""

    def read_report(self) -> EngineReport:
        """Return the engine's state."""
        ...

    def list_staged(self, model: str) -> frozenset[int]:
        """Return the indexes of the chunks in the staging area."""
        ...

    def read_staged(self, model: str, index: int, size_b: int) -> bytes:
        """Return a staged chunk of at most `size_b` bytes unverified; raise `ChunkMissing`."""
        ...

    def stage(self, model: str, index: int, data: bytes) -> None:
        """Write a chunk to the staging area."""
        ...

    def order_load(
        self, model: str, version: int, mode: LoadMode, order_count: int, fencing: int
    ) -> OrderOutcome:
        """Order the engine to load the staged chunks.

        The engine rejects the order as a conflict if `order_count` differs from its own count;
        `fencing` is the fencing number of the order.
        """
        ...
