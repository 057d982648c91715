"""Bringing one engine to a version: checks, order, read-back."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.exceptions import ActivationAbandoned
from hibiscustray.protocols import EngineClient, LoadOrder
from hibiscustray.rollout.fencing import FencingCounter
from hibiscustray.rollout.waves import WaveSlot

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Target:
    """What an engine should serve, by which revision; adapters by their manifests' digests."""

    service: str
    digest: str
    revision: int
    max_unavailable: int
    adapters: tuple[str, ...] = ()

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the digests of all weights, the model's first."""
        return (self.digest, *self.adapters) if self.digest else ()


class OrderGate:
    """Lets an engine read weights under the newest order's number only.

    It fences orders that reach an engine late, also where the engine ignores fencing numbers.
    """

    def __init__(self) -> None:
        self._number = 0
        self._lock = threading.Lock()

    def open(self, number: int) -> None:
        """Make an order the newest."""
        with self._lock:
            self._number = max(self._number, number)

    def is_open(self, number: int) -> bool:
        """Tell whether an order is the newest."""
        return number == self._number


class Activation:
    """Orders an engine to swap its weights while no attempt runs on it."""

    def __init__(
        self,
        engine: EngineClient,
        fencing: FencingCounter,
        gate: OrderGate,
        issuer: str,
        weights_url: Callable[[int], str],
    ) -> None:
        self._engine = engine
        self._fencing = fencing
        self._gate = gate
        self._issuer = issuer
        self._weights_url = weights_url

    def load(self, target: Target, slot: WaveSlot | None, is_wanted: Callable[[], bool]) -> None:
        """Order the weights and read them back.

        Raises `ActivationAbandoned` before anything is ordered, an `UpstreamError` after.
        """
        self._fencing.observe(self._engine.read_weights().fencing)
        number = self._fencing.next()
        order = LoadOrder(
            digest=target.digest,
            weights_url=self._weights_url(number),
            fencing=number,
            issuer=self._issuer,
            revision=target.revision,
            adapters=target.adapters,
            slot_number=slot.number if slot else 0,
        )
        if slot is not None and not slot.is_valid():
            raise ActivationAbandoned("the wave slot lapsed before the order")
        if not is_wanted():
            raise ActivationAbandoned("another version is wanted")
        self._gate.open(number)
        self._engine.load(order)
        log.info("weights active", extra={"digest": target.digest, "revision": target.revision})

    def is_loaded(self, target: Target) -> bool:
        """Tell whether the engine holds just the target; raise an `UpstreamError`."""
        loaded = self._engine.read_weights()
        same_adapters = set(loaded.adapters) == set(target.adapters)
        return loaded.digest == target.digest and same_adapters
