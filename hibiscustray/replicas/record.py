"""The record of one replica in the platform's replica list."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ReplicaState(Enum):
    """Whether a replica takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class ServedModel:
    """A model that a replica has loaded, and the version of its weights."""

    name: str
    version: int


@dataclass(frozen=True)
class LayerSpan:
    """The layers from `first` up to, but not including, `end`, all of one version."""

    first: int
    end: int
    version: int


@dataclass(frozen=True)
class ReplicaRecord:
    """One replica; `born_ms` is the Unix time of its start, which distinguishes restarts.

    `sequence` rises with the rows of one start; rows that differ in nothing else are equal.
    """

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
    sequence: int = field(default=0, compare=False)

    @property
    def host(self) -> str:
        """Return the IP address of the replica's VM."""
        return self.address.rpartition(":")[0]

    @property
    def boot(self) -> str:
        """Return a name for one start of the replica."""
        return f"{self.id}/{self.born_ms}"

    def find_version(self, model: str) -> int:
        """Return the version of a model's weights that the replica has loaded, 0 for none."""
        return next((m.version for m in self.models if m.name == model), 0)

    def has_all_layers(self, count: int) -> bool:
        """Return whether all `count` layers are loaded; without layer data, whether a model is."""
        if self.layers is None:
            return bool(self.models)
        return self.layers.first == 0 and self.layers.end >= count > 0


def is_in_first_half(host: str) -> bool:
    """Return whether the replica on a VM swaps to new weights in the first half of its service.

    These are the VMs with an even last number of the address, so that entries, which send them no
    requests before a swap, and agents, which order the loads, agree without a message.
    """
    number = host.rpartition(".")[2]
    return number.isdigit() and int(number) % 2 == 0
