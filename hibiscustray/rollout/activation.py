"""Activation of a version on one engine by a fenced load order."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.exceptions import ActivationAbandoned
from hibiscustray.protocols import EngineClient, LoadWeightsOrder
from hibiscustray.rollout.fencing import FencingCounter
from hibiscustray.rollout.waves import WaveSlot

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class TargetWeights:
    """The weights that an engine should serve, and the revision that requires them.

    `digest` and `adapters` are manifest digests; `digest` is empty for a plain service.
    """

    service: str
    digest: str
    revision: int
    max_unavailable: int
    adapters: tuple[str, ...] = ()

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the digests of all weights, the model first; empty for a plain service."""
        return (self.digest, *self.adapters) if self.digest else ()


class OrderGate:
    """Allows an engine to read weights only with the fencing number of the newest order.

    This fences orders that reach an engine late, even if the engine ignores fencing numbers.
    """

    def __init__(self) -> None:
        self._number = 0
        self._lock = threading.Lock()

    def open(self, number: int) -> None:
        """Allow reads for an order unless a newer one has been opened."""
        with self._lock:
            self._number = max(self._number, number)

    def is_open(self, number: int) -> bool:
        """Return whether an order is the newest, so that its weights may be read."""
        return number == self._number


class Activation:
    """Orders an engine to load weights; no attempts may be running on it meanwhile."""

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

    def load(
        self, target: TargetWeights, slot: WaveSlot | None, is_wanted: Callable[[], bool]
    ) -> None:
        """Order the engine to load a target, and check afterwards which weights it has loaded.

        Raises `ActivationAbandoned` before the order is sent if the wave slot has expired or the
        target is no longer wanted. Raises an `UpstreamError` if the engine fails or holds other
        weights afterwards.
        """
        self._fencing.observe(self._engine.read_weights().fencing)
        number = self._fencing.next()
        order = LoadWeightsOrder(
            digest=target.digest,
            weights_url=self._weights_url(number),
            fencing=number,
            issuer=self._issuer,
            revision=target.revision,
            adapters=target.adapters,
            slot_number=slot.number if slot else 0,
        )
        if slot is not None and not slot.is_valid():
            raise ActivationAbandoned("the wave slot expired before the order was sent")
        if not is_wanted():
            raise ActivationAbandoned("another version is wanted")
        self._gate.open(number)
        self._engine.load_weights(order)
        log.info("weights active", extra={"digest": target.digest, "revision": target.revision})

    def is_loaded(self, target: TargetWeights) -> bool:
        """Return whether the engine holds exactly a target's weights; raise an `UpstreamError`."""
        loaded = self._engine.read_weights()
        same_adapters = set(loaded.adapters) == set(target.adapters)
        return loaded.digest == target.digest and same_adapters
