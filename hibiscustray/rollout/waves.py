"""Wave slots: how many replicas of a service may be out of service for a swap at once."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from hibiscustray.exceptions import LeaseHeld, StoreUnavailable
from hibiscustray.rollout.leases import Lease, LeaseStore

log = logging.getLogger(__name__)

SLOT_DURATION_S = 30.0
RENEWALS_PER_DURATION = 3
SLOT_RETRY_S = 0.25


class WaveSlot:
    """A slot held under a lease, renewed by a thread until it is released or lost."""

    def __init__(self, leases: LeaseStore, lease: Lease, duration_s: float) -> None:
        self._leases = leases
        self._lease = lease
        self._duration_s = duration_s
        self._released = threading.Event()
        self._thread = threading.Thread(target=self._run, name="wave-slot", daemon=True)
        self._thread.start()

    @property
    def number(self) -> int:
        """Return the fencing number of the lease."""
        return self._lease.number

    def is_valid(self) -> bool:
        """Tell whether the holder may still act on the slot."""
        return self._lease.is_valid()

    def release(self) -> None:
        """Give the slot back; one that cannot be given back lapses."""
        self._released.set()
        self._thread.join()
        try:
            self._leases.release(self._lease)
        except StoreUnavailable:
            log.warning("a wave slot will lapse", extra={"lease": self._lease.name})

    def _run(self) -> None:
        while not self._released.wait(self._duration_s / RENEWALS_PER_DURATION):
            try:
                self._lease = self._leases.renew(self._lease, self._duration_s)
            except StoreUnavailable:
                continue
            except LeaseHeld:
                log.warning("a wave slot was lost", extra={"lease": self._lease.name})
                return


class WaveSlotAllocator:
    """Hands out the wave slots of services."""

    def __init__(
        self, leases: LeaseStore, stopping: threading.Event, duration_s: float = SLOT_DURATION_S
    ) -> None:
        self._leases = leases
        self._stopping = stopping
        self._duration_s = duration_s

    def acquire(self, service: str, slots: int, is_wanted: Callable[[], bool]) -> WaveSlot | None:
        """Wait for a slot; None when stopping or when the swap is no longer wanted."""
        while not self._stopping.is_set() and is_wanted():
            for slot in range(slots):
                try:
                    lease = self._leases.acquire(f"{service}/{slot}", self._duration_s)
                except (LeaseHeld, StoreUnavailable):
                    continue
                return WaveSlot(self._leases, lease, self._duration_s)
            self._stopping.wait(SLOT_RETRY_S)
        return None
