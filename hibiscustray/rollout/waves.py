"""Wave slots, which limit how many replicas of a service swap weights concurrently."""

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
    """A slot held by a lease that a thread renews until the slot is released or lost."""

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
        """Return whether the holder may still act on the slot."""
        return self._lease.is_valid()

    def release(self) -> None:
        """Release the slot; if the store is unavailable, its lease expires later."""
        self._released.set()
        self._thread.join()
        try:
            self._leases.release(self._lease)
        except StoreUnavailable:
            log.warning(
                "wave slot not released, its lease will expire", extra={"lease": self._lease.name}
            )

    def _run(self) -> None:
        while not self._released.wait(self._duration_s / RENEWALS_PER_DURATION):
            try:
                self._lease = self._leases.renew(self._lease, self._duration_s)
            except StoreUnavailable:
                continue
            except LeaseHeld:
                log.warning("wave slot lost to another holder", extra={"lease": self._lease.name})
                return


class WaveSlotAllocator:
    """Acquires wave slots of services; each slot is a lease named after the service."""

    def __init__(
        self, leases: LeaseStore, stopping: threading.Event, duration_s: float = SLOT_DURATION_S
    ) -> None:
        self._leases = leases
        self._stopping = stopping
        self._duration_s = duration_s

    def acquire(self, service: str, slots: int, is_wanted: Callable[[], bool]) -> WaveSlot | None:
        """Wait for one of a service's slots.

        Returns None when the process is stopping or the swap is no longer wanted.
        """
        while not self._stopping.is_set() and is_wanted():
            for slot in range(slots):
                try:
                    lease = self._leases.acquire(f"{service}/{slot}", self._duration_s)
                except (LeaseHeld, StoreUnavailable):
                    continue
                return WaveSlot(self._leases, lease, self._duration_s)
            self._stopping.wait(SLOT_RETRY_S)
        return None
