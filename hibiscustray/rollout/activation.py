"""Bringing one engine to a version: whole weights, wave slot, order, read-back."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.exceptions import LeaseHeld, StoreUnavailable
from hibiscustray.platform import EngineClient, LoadOrder
from hibiscustray.rollout.fencing import FencingCounter
from hibiscustray.rollout.leases import Lease, LeaseStore

log = logging.getLogger(__name__)

SLOT_DURATION_S = 60.0
SLOT_RETRY_S = 0.25


@dataclass(frozen=True)
class Target:
    """What an engine should serve, by which revision."""

    service: str
    digest: str
    revision: int
    max_unavailable: int


class Activation:
    """Swaps an engine's weights while no attempt runs on it."""

    def __init__(
        self,
        engine: EngineClient,
        leases: LeaseStore,
        fencing: FencingCounter,
        issuer: str,
        weights_url: Callable[[str], str],
        stopping: threading.Event,
    ) -> None:
        self._engine = engine
        self._leases = leases
        self._fencing = fencing
        self._issuer = issuer
        self._weights_url = weights_url
        self._stopping = stopping

    def acquire_slot(self, target: Target) -> Lease | None:
        """Wait for one of the service's wave slots; None when stopping."""
        while not self._stopping.is_set():
            for slot in range(target.max_unavailable):
                try:
                    return self._leases.acquire(f"{target.service}/{slot}", SLOT_DURATION_S)
                except (LeaseHeld, StoreUnavailable):
                    continue
            self._stopping.wait(SLOT_RETRY_S)
        return None

    def release_slot(self, lease: Lease | None) -> None:
        """Give a wave slot back; one that cannot be given back lapses."""
        if lease is None:
            return
        try:
            self._leases.release(lease)
        except StoreUnavailable:
            log.warning("a wave slot will lapse", extra={"lease": lease.name})

    def load(self, target: Target) -> None:
        """Order the weights and read them back; raise an `UpstreamError`."""
        self._fencing.observe(self._engine.read_weights().fencing)
        order = LoadOrder(
            digest=target.digest,
            weights_url=self._weights_url(target.digest),
            fencing=self._fencing.next(),
            issuer=self._issuer,
            revision=target.revision,
        )
        self._engine.load(order)
        log.info("weights active", extra={"digest": target.digest, "revision": target.revision})
