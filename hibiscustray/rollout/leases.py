"""Leases stored in the table, where each acquisition has a higher fencing number."""

from __future__ import annotations

import random
import threading
import time
import uuid
from dataclasses import dataclass

import msgspec

from hibiscustray.clock import read_clock
from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import (
    LeaseHeld,
    PreconditionFailed,
    RecordInvalid,
    StoreAnswerLost,
    StoreUnavailable,
)
from hibiscustray.protocols import Put, Row, Table

LEASE_PARTITION = "lease"
CLOCK_DRIFT_FACTOR = 1.05
"""Ratio of a contender's wait to the lease duration, which allows for clocks of unequal speed."""
INITIAL_RECHECK_INTERVAL_S = 0.2
MAX_RECHECK_INTERVAL_S = 8.0
NO_HOLDER = ""


class LeaseBody(msgspec.Struct, frozen=True):
    """The body of a lease's row; an empty holder marks a free lease."""

    holder: str
    nonce: str
    duration_s: float


@dataclass(frozen=True)
class Lease:
    """A held lease, on which the holder may act until `valid_until` (a time of `read_clock`).

    `number` is the fencing number of the acquisition or renewal, and the version of the row.
    """

    name: str
    nonce: str
    number: int
    valid_until: float

    def is_valid(self) -> bool:
        """Return whether the holder may still act on the lease."""
        return read_clock() < self.valid_until


@dataclass(frozen=True)
class _Observation:
    """A row of another holder, the time of its first read, and the time of the next read."""

    version: int
    holder: str
    since: float
    recheck_s: float
    recheck_at: float


class LeaseStore:
    """Acquires, renews and releases leases by compare-and-set.

    Wall clocks of different VMs are never compared. A contender takes over a lease only after it
    has itself observed the same row for the full duration of the lease. Time in which its machine
    was suspended counts for a holder, but not for a contender.
    """

    def __init__(self, table: Table, holder: str) -> None:
        self._table = table
        self._holder = holder
        self._random = random.Random(holder)
        self._observations: dict[str, _Observation] = {}
        self._lock = threading.Lock()

    def acquire(self, name: str, duration_s: float) -> Lease:
        """Acquire a free or expired lease; raise `LeaseHeld` or `StoreUnavailable`.

        While another holder has the lease, most calls use the last observation instead of the
        table, so that many contenders that retry often cause few reads.
        """
        self._check_last_observation(name)
        row = self._table.get(LEASE_PARTITION, name)
        if row is not None:
            self._check_row(name, row)
        return self._write(name, duration_s, row.version if row else 0)

    def renew(self, lease: Lease, duration_s: float) -> Lease:
        """Renew a lease unless it was taken over; raise `LeaseHeld` or `StoreUnavailable`."""
        return self._write(lease.name, duration_s, lease.number)

    def release(self, lease: Lease) -> None:
        """Free a lease unless it was taken over by another holder."""
        body = LeaseBody(NO_HOLDER, lease.nonce, 0.0)
        row = Row(LEASE_PARTITION, lease.name, lease.number + 1, msgspec.msgpack.encode(body))
        try:
            self._table.transact(uuid.uuid4().hex, [Put(row, lease.number)])
        except (PreconditionFailed, StoreAnswerLost):
            return

    def _check_last_observation(self, name: str) -> None:
        with self._lock:
            observation = self._observations.get(name)
        if observation is not None and time.monotonic() < observation.recheck_at:
            raise LeaseHeld(f"lease {name} is held by {observation.holder}")

    def _check_row(self, name: str, row: Row) -> None:
        body = _decode_body(row.body)
        if body.holder in (NO_HOLDER, self._holder):
            return
        now = time.monotonic()
        with self._lock:
            observation = self._record_observation(name, row.version, body, now)
        if now - observation.since < body.duration_s * CLOCK_DRIFT_FACTOR:
            raise LeaseHeld(f"lease {name} is held by {body.holder}")

    def _record_observation(
        self, name: str, version: int, body: LeaseBody, now: float
    ) -> _Observation:
        """Record a row and schedule its next read; the interval doubles while it is unchanged."""
        known = self._observations.get(name)
        if known is None or known.version != version:
            since, recheck_s = now, INITIAL_RECHECK_INTERVAL_S
        else:
            since, recheck_s = known.since, min(MAX_RECHECK_INTERVAL_S, known.recheck_s * 2)
        expires_at = since + body.duration_s * CLOCK_DRIFT_FACTOR
        recheck_at = min(now + recheck_s * self._random.uniform(0.5, 1.0), max(now, expires_at))
        observation = _Observation(version, body.holder, since, recheck_s, recheck_at)
        self._observations[name] = observation
        return observation

    def _write(self, name: str, duration_s: float, expected: int) -> Lease:
        """Write the holder's row; the lease's validity counts from before the request was sent."""
        started = read_clock()
        lease = Lease(name, uuid.uuid4().hex, expected + 1, started + duration_s)
        body = msgspec.msgpack.encode(LeaseBody(self._holder, lease.nonce, duration_s))
        row = Row(LEASE_PARTITION, name, lease.number, body)
        try:
            self._table.transact(uuid.uuid4().hex, [Put(row, expected)])
        except PreconditionFailed as error:
            raise LeaseHeld(f"lease {name} was taken over by another holder") from error
        except StoreAnswerLost as error:
            self._confirm(row, error)
        with self._lock:
            self._observations.pop(name, None)
        return lease

    def _confirm(self, row: Row, error: StoreAnswerLost) -> None:
        """Raise `StoreUnavailable` unless a write whose response was lost has taken effect.

        If it takes effect later, nobody acts on the lease, and it expires.
        """
        stored = self._table.get(LEASE_PARTITION, row.sort)
        if stored is None or stored.body != row.body:
            raise StoreUnavailable(
                f"the write of lease {row.sort} could not be confirmed"
            ) from error


def _decode_body(body: bytes) -> LeaseBody:
    try:
        return msgspec.msgpack.decode(body, type=LeaseBody)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"the lease row cannot be decoded: {error}") from error
