"""Leases in the table, each acquisition with a higher fencing number."""

from __future__ import annotations

import random
import threading
import time
import uuid
from dataclasses import dataclass

import msgspec

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
"""How much longer a contender waits than the holder may act, for clocks that run unequally."""
INITIAL_RECHECK_INTERVAL_S = 0.2
MAX_RECHECK_INTERVAL_S = 8.0
FREE = ""


class LeaseBody(msgspec.Struct, frozen=True):
    """What a lease's row holds; a row without a holder is free."""

    holder: str
    nonce: str
    duration_s: float


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


@dataclass(frozen=True)
class _Observation:
    """A row of another holder: since when it has been seen unchanged, and when to look again."""

    version: int
    holder: str
    since: float
    recheck_s: float
    recheck_at: float


class LeaseStore:
    """Acquires, renews and releases leases by compare-and-set.

    No wall clock is compared with another VM's. A contender takes a lease over only after it has
    itself seen the same row for the lease's whole duration.
    """

    def __init__(self, table: Table, holder: str) -> None:
        self._table = table
        self._holder = holder
        self._random = random.Random(holder)
        self._observations: dict[str, _Observation] = {}
        self._lock = threading.Lock()

    def acquire(self, name: str, duration_s: float) -> Lease:
        """Take a free or lapsed lease; raise `LeaseHeld`, `StoreUnavailable`.

        While another holds it, most calls are answered from memory, so that many contenders
        that ask often read the table seldom.
        """
        self._check_last_observation(name)
        row = self._table.get(LEASE_PARTITION, name)
        if row is not None:
            self._check_row(name, row)
        return self._write(name, duration_s, row.version if row else 0)

    def renew(self, lease: Lease, duration_s: float) -> Lease:
        """Prolong a lease that nobody has taken over; raise `LeaseHeld`, `StoreUnavailable`."""
        return self._write(lease.name, duration_s, lease.number)

    def release(self, lease: Lease) -> None:
        """Free a lease that is still held; one that was taken over stays untouched."""
        body = LeaseBody(FREE, lease.nonce, 0.0)
        row = Row(LEASE_PARTITION, lease.name, lease.number + 1, msgspec.msgpack.encode(body))
        try:
            self._table.transact(uuid.uuid4().hex, [Put(row, lease.number)])
        except (PreconditionFailed, StoreAnswerLost):
            return

    def _check_last_observation(self, name: str) -> None:
        with self._lock:
            observation = self._observations.get(name)
        if observation is not None and time.monotonic() < observation.recheck_at:
            raise LeaseHeld(f"{name} is held by {observation.holder}")

    def _check_row(self, name: str, row: Row) -> None:
        body = _decode_body(row.body)
        if body.holder in (FREE, self._holder):
            return
        now = time.monotonic()
        with self._lock:
            observation = self._record_observation(name, row.version, body, now)
        if now - observation.since < body.duration_s * CLOCK_DRIFT_FACTOR:
            raise LeaseHeld(f"{name} is held by {body.holder}")

    def _record_observation(
        self, name: str, version: int, body: LeaseBody, now: float
    ) -> _Observation:
        """Remember a row and look again later, each time twice as late while it is unchanged."""
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
        """Write the holder's row; the time that it may act for counts from before the request."""
        started = time.monotonic()
        lease = Lease(name, uuid.uuid4().hex, expected + 1, started + duration_s)
        body = msgspec.msgpack.encode(LeaseBody(self._holder, lease.nonce, duration_s))
        row = Row(LEASE_PARTITION, name, lease.number, body)
        try:
            self._table.transact(uuid.uuid4().hex, [Put(row, expected)])
        except PreconditionFailed as error:
            raise LeaseHeld(f"{name} was taken by another holder") from error
        except StoreAnswerLost as error:
            self._confirm(row, error)
        with self._lock:
            self._observations.pop(name, None)
        return lease

    def _confirm(self, row: Row, error: StoreAnswerLost) -> None:
        """Find out by reading whether a write took effect; one that lands later only lapses."""
        stored = self._table.get(LEASE_PARTITION, row.sort)
        if stored is None or stored.body != row.body:
            raise StoreUnavailable(f"{row.sort} could not be confirmed") from error


def _decode_body(body: bytes) -> LeaseBody:
    try:
        return msgspec.msgpack.decode(body, type=LeaseBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordInvalid(f"unreadable lease: {error}") from error
