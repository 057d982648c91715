"""Tests of leases and fencing under pauses, expiry, lost responses, late writes and outages."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import (
    FencingRejected,
    HibiscustrayError,
    LeaseHeld,
    PreconditionFailed,
    StoreAnswerLost,
    StoreUnavailable,
)
from hibiscustray.rollout import FencingCounter, LeaseStore
from hibiscustray.rollout import leases as leases_module

HOLDERS = ("a", "b", "c")
DURATION_S = 10.0


class Clock:
    """A monotonic clock that tests advance and that replaces the time module in `leases`."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now


class MemoryTable:
    """An in-memory table; the response to the next write can be lost or the write delayed."""

    def __init__(self) -> None:
        self.rows = {}
        self.delayed = []
        self.reads = 0
        self.fault = "none"
        self.is_down = False

    def get(self, partition, sort):
        if self.is_down:
            raise StoreUnavailable("down")
        self.reads += 1
        return self.rows.get((partition, sort))

    def transact(self, change_id, writes):
        fault, self.fault = self.fault, "none"
        if self.is_down:
            raise StoreUnavailable("down")
        if fault == "delayed":
            self.delayed.append(writes)
            raise StoreAnswerLost("write delayed")
        self.commit(writes)
        if fault == "lost":
            raise StoreAnswerLost("lost")

    def commit(self, writes):
        for write in writes:
            key = (write.row.partition, write.row.sort)
            stored = self.rows.get(key)
            if write.expected != (stored.version if stored else 0):
                raise PreconditionFailed("changed")
            self.rows[key] = write.row


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(leases_module, "time", clock)
    monkeypatch.setattr(leases_module, "read_clock", clock.monotonic)
    return clock


def acquire_when_free(store: LeaseStore, clock: Clock, timeout_s: float) -> float:
    """Poll for a lease; return the seconds until it was acquired."""
    started = clock.now
    while clock.now - started < timeout_s:
        try:
            store.acquire("slot", DURATION_S)
            return clock.now - started
        except LeaseHeld:
            clock.now += 0.25
    raise AssertionError("the lease was not acquired within the timeout")


def test_a_contender_waits_the_full_duration_from_its_own_first_observation(clock):
    table = MemoryTable()
    LeaseStore(table, "a").acquire("slot", DURATION_S)
    clock.now += DURATION_S * 5
    contender = LeaseStore(table, "b")
    assert acquire_when_free(contender, clock, 60.0) >= DURATION_S


def test_lease_expires_for_a_holder_whose_vm_was_suspended(suspend_machine):
    lease = LeaseStore(MemoryTable(), "a").acquire("slot", DURATION_S)
    assert lease.is_valid()
    suspend_machine(2 * DURATION_S)
    assert not lease.is_valid()


def test_renewing_keeps_contenders_out(clock):
    table = MemoryTable()
    holder, contender = LeaseStore(table, "a"), LeaseStore(table, "b")
    lease = holder.acquire("slot", DURATION_S)
    for _ in range(20):
        clock.now += DURATION_S / 2
        lease = holder.renew(lease, DURATION_S)
        with pytest.raises(LeaseHeld):
            contender.acquire("slot", DURATION_S)
    acquire_when_free(contender, clock, 60.0)
    with pytest.raises(LeaseHeld):
        holder.renew(lease, DURATION_S)


def test_a_late_release_does_not_free_the_lease_of_the_next_holder(clock):
    table = MemoryTable()
    first = LeaseStore(table, "a")
    lease = first.acquire("slot", DURATION_S)
    acquire_when_free(LeaseStore(table, "b"), clock, 60.0)
    first.release(lease)
    with pytest.raises(LeaseHeld):
        LeaseStore(table, "c").acquire("slot", DURATION_S)


def test_a_contender_that_retries_often_reads_the_table_rarely(clock):
    table = MemoryTable()
    holder, contender = LeaseStore(table, "a"), LeaseStore(table, "b")
    lease = holder.acquire("slot", 60.0)
    table.reads = 0
    for _ in range(200):
        clock.now += 0.25
        lease = lease if lease.valid_until - clock.now > 5 else holder.renew(lease, 60.0)
        with pytest.raises(LeaseHeld):
            contender.acquire("slot", 60.0)
    assert table.reads <= 25


def test_fencing_numbers_exceed_the_lower_bound_when_the_vm_clock_is_behind():
    lower_bound = 5000
    counter = FencingCounter(10, lambda: lower_bound)
    assert counter.next() == 5001
    counter.observe(9000)
    assert counter.next() == 9001


class Engine:
    """A fake engine that accepts orders; if it checks fencing, it rejects old numbers."""

    def __init__(self, is_checking: bool) -> None:
        self.is_checking = is_checking
        self.fencing = 0
        self.outdated_accepted = 0

    def order(self, number: int) -> None:
        if number <= self.fencing:
            if self.is_checking:
                raise FencingRejected("old")
            self.outdated_accepted += 1
        self.fencing = max(self.fencing, number)


class Contention(RuleBasedStateMachine):
    """Holders that may pause at any point between reading, acquiring and acting on a lease."""

    @initialize(is_checking=st.booleans())
    def begin(self, is_checking: bool) -> None:
        self.clock = Clock()
        self.real_time, leases_module.time = leases_module.time, self.clock
        leases_module.read_clock = self.clock.monotonic
        self.table = MemoryTable()
        self.stores = {name: LeaseStore(self.table, name) for name in HOLDERS}
        self.leases = {}
        self.engine = Engine(is_checking)

    def teardown(self) -> None:
        if hasattr(self, "real_time"):
            leases_module.time = self.real_time
            leases_module.read_clock = read_clock

    @rule(
        holder=st.sampled_from(HOLDERS),
        fault=st.sampled_from(["none", "none", "lost", "delayed"]),
        is_down=st.booleans(),
    )
    def acquire(self, holder: str, fault: str, is_down: bool) -> None:
        self.table.fault, self.table.is_down = fault, is_down
        try:
            self.leases[holder] = self.stores[holder].acquire("slot", DURATION_S)
        except HibiscustrayError:
            pass
        finally:
            self.table.fault, self.table.is_down = "none", False

    @rule(holder=st.sampled_from(HOLDERS))
    def renew(self, holder: str) -> None:
        if holder in self.leases:
            try:
                self.leases[holder] = self.stores[holder].renew(self.leases[holder], DURATION_S)
            except HibiscustrayError:
                del self.leases[holder]

    @rule(holder=st.sampled_from(HOLDERS))
    def release(self, holder: str) -> None:
        lease = self.leases.pop(holder, None)
        if lease is not None:
            self.stores[holder].release(lease)

    @rule(seconds=st.sampled_from([0.3, 2.0, 9.0, 11.0]))
    def wait(self, seconds: float) -> None:
        self.clock.now += seconds

    @precondition(lambda self: self.table.delayed)
    @rule()
    def deliver(self) -> None:
        delayed, self.table.delayed = self.table.delayed, []
        for writes in delayed:
            try:
                self.table.commit(writes)
            except PreconditionFailed:
                continue

    @rule(holder=st.sampled_from(HOLDERS))
    def act(self, holder: str) -> None:
        """Act only on a lease that is still valid, no matter how long the holder was paused."""
        lease = self.leases.get(holder)
        if lease is not None and lease.is_valid():
            try:
                self.engine.order(lease.number * 1000 + int(self.clock.now - 1000))
            except FencingRejected as error:
                raise AssertionError("an order under a valid lease was rejected") from error
            self.clock.now += 1.0

    @invariant()
    def at_most_one_lease_is_valid(self) -> None:
        valid = [name for name, lease in self.leases.items() if lease.is_valid()]
        assert len(valid) <= 1

    @invariant()
    def no_outdated_order_is_accepted(self) -> None:
        assert self.engine.outdated_accepted == 0


TestContention = Contention.TestCase
TestContention.settings = settings(
    max_examples=150, stateful_step_count=30, suppress_health_check=list(HealthCheck)
)
