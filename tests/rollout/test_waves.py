"""Tests of wave slots and the leases that they are based on."""

from __future__ import annotations

import threading
import time

import pytest

from hibiscustray.exceptions import LeaseHeld, PreconditionFailed, StoreUnavailable
from hibiscustray.protocols import Row
from hibiscustray.rollout import LeaseStore, WaveSlotAllocator

SHORT_S = 0.2
LONG_S = 30.0


class FakeTable:
    """An in-memory table with compare-and-set and a simulated outage."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.is_down = False
        self._lock = threading.Lock()

    def get(self, partition: str, sort: str) -> Row | None:
        self._check()
        return self.rows.get((partition, sort))

    def transact(self, change_id: str, writes) -> None:
        self._check()
        with self._lock:
            for put in writes:
                key = (put.row.partition, put.row.sort)
                stored = self.rows[key].version if key in self.rows else 0
                if stored != put.expected:
                    raise PreconditionFailed("changed")
                self.rows[key] = put.row

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailable("down")


def make_allocator(table: FakeTable, holder: str, duration_s: float = LONG_S) -> WaveSlotAllocator:
    return WaveSlotAllocator(LeaseStore(table, holder), threading.Event(), duration_s)


def wanted_for(seconds: float):
    deadline = time.monotonic() + seconds
    return lambda: time.monotonic() < deadline


def test_no_more_replicas_hold_a_slot_than_may_be_unavailable():
    table = FakeTable()
    held = [make_allocator(table, f"vm-{i}").acquire("s", 2, wanted_for(0.1)) for i in range(4)]
    assert [slot is not None for slot in held] == [True, True, False, False]
    held[0].release()
    assert make_allocator(table, "vm-3").acquire("s", 2, wanted_for(0.1)) is not None


def test_a_slot_outlives_its_duration_while_it_is_renewed():
    table = FakeTable()
    slot = make_allocator(table, "vm-0", SHORT_S).acquire("s", 1, wanted_for(1.0))
    assert make_allocator(table, "vm-1", SHORT_S).acquire("s", 1, wanted_for(3 * SHORT_S)) is None
    assert slot.is_valid()
    slot.release()


def test_a_slot_that_cannot_be_renewed_stops_being_valid():
    table = FakeTable()
    slot = make_allocator(table, "vm-0", SHORT_S).acquire("s", 1, wanted_for(1.0))
    table.is_down = True
    threading.Event().wait(2 * SHORT_S)
    assert not slot.is_valid()
    slot.release()


def test_a_lease_that_was_taken_over_is_not_renewed():
    table = FakeTable()
    lease = LeaseStore(table, "vm-0").acquire("s/0", 0.0)
    LeaseStore(table, "vm-1").acquire("s/0", LONG_S)
    with pytest.raises(LeaseHeld):
        LeaseStore(table, "vm-0").renew(lease, LONG_S)


def test_a_swap_that_is_no_longer_wanted_gets_no_slot():
    assert make_allocator(FakeTable(), "vm-0").acquire("s", 1, lambda: False) is None
