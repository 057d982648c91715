"""Leases in the table, each acquisition with a higher fencing number."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass

import msgspec

from hibiscustray.exceptions import LeaseHeld, PreconditionFailed, StoreAnswerLost
from hibiscustray.platform import Put, Row, Table

LEASE_PARTITION = "lease"


class LeaseBody(msgspec.Struct, frozen=True):
    """What a lease's row holds; `expires_at` is wall-clock seconds."""

    holder: str
    nonce: str
    expires_at: float


@dataclass(frozen=True)
class Lease:
    """A held lease; the holder trusts it only until `valid_until` (monotonic seconds)."""

    name: str
    nonce: str
    number: int
    valid_until: float

    def is_valid(self) -> bool:
        """Tell whether the holder may still act on it."""
        return time.monotonic() < self.valid_until


class LeaseStore:
    """Acquires and releases leases by compare-and-set."""

    def __init__(self, table: Table, holder: str) -> None:
        self._table = table
        self._holder = holder

    def acquire(self, name: str, duration_s: float) -> Lease:
        """Take a free or lapsed lease; raise `LeaseHeld`, `StoreUnavailable`."""
        started = time.monotonic()
        row = self._table.get(LEASE_PARTITION, name)
        number = row.version if row else 0
        if row is not None:
            body = msgspec.msgpack.decode(row.body, type=LeaseBody)
            if body.holder != self._holder and body.expires_at > time.time():
                raise LeaseHeld(f"{name} is held by {body.holder}")
        lease = Lease(name, uuid.uuid4().hex, number + 1, started + duration_s)
        body = LeaseBody(self._holder, lease.nonce, time.time() + duration_s)
        self._write(lease, body, number)
        return lease

    def renew(self, lease: Lease, duration_s: float) -> Lease:
        """Prolong a lease that nobody has taken over; raise `LeaseHeld`, `StoreUnavailable`."""
        started = time.monotonic()
        renewed = Lease(lease.name, lease.nonce, lease.number + 1, started + duration_s)
        body = LeaseBody(self._holder, lease.nonce, time.time() + duration_s)
        self._write(renewed, body, lease.number)
        return renewed

    def release(self, lease: Lease) -> None:
        """Free a lease that is still held; one that was taken over stays untouched."""
        try:
            self._write(lease, LeaseBody("", lease.nonce, 0.0), lease.number, lease.number + 1)
        except LeaseHeld:
            return

    def _write(self, lease: Lease, body: LeaseBody, expected: int, version: int = 0) -> None:
        row = Row(
            LEASE_PARTITION, lease.name, version or lease.number, msgspec.msgpack.encode(body)
        )
        try:
            self._table.transact(uuid.uuid4().hex, [Put(row, expected)])
        except PreconditionFailed as error:
            raise LeaseHeld(f"{lease.name} was taken by another holder") from error
        except StoreAnswerLost:
            stored = self._table.get(LEASE_PARTITION, lease.name)
            if stored is None or stored.body != row.body:
                raise LeaseHeld(f"{lease.name} could not be confirmed") from None
