"""What the platform's list says of one replica."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ReplicaState(Enum):
    """Whether a replica takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class ServedModel:
    """A model that a replica holds, and the version of its weights."""

    name: str
    version: int


@dataclass(frozen=True)
class LayerSpan:
    """Layers from `first` up to but without `end`, all of one version."""

    first: int
    end: int
    version: int


@dataclass(frozen=True)
class ReplicaRecord:
    """One replica; `born_ms` is the Unix time of its start, which tells a restart under one id."""

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    state: ReplicaState
    warmup_left_s: float = 0.0
    models: tuple[ServedModel, ...] = ()
    layers: LayerSpan | None = None
    born_ms: int = 0

    @property
    def host(self) -> str:
        """Return the IP address of the replica's VM."""
        return self.address.rpartition(":")[0]

    def find_version(self, model: str) -> int:
        """Return the version of a model's weights that the replica holds, 0 for none."""
        return next((m.version for m in self.models if m.name == model), 0)

    def has_all_layers(self, count: int) -> bool:
        """Tell whether the replica holds all layers of one version."""
        if self.layers is None:
            return bool(self.models)
        return self.layers.first == 0 and self.layers.end >= count > 0
