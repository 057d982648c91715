"""Acceptance of revisions with lost responses, late writes, outages and concurrent changes."""

from __future__ import annotations

import uuid
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscustray.deployments import RevisionStore
from hibiscustray.deployments.revisions import CHANGE_PARTITION, ChangeOutcome
from hibiscustray.exceptions import (
    HibiscustrayError,
    PreconditionFailed,
    RevisionConflict,
    StoreAnswerLost,
    StoreUnavailable,
)
from hibiscustray.protocols import Put, Row, Table
from hibiscustray.standins.platform import PlatformStandIn
from tests import waiting

ADDRESS = "127.0.0.1"
OPERATORS = 8
wait_until = partial(waiting.wait_until, timeout_s=10.0)


class MemoryTable:
    """An in-memory table whose next write can be rejected, delayed, or lose its response."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.delayed: list[list[Put]] = []
        self.next_fault = "none"
        self.is_down = False

    def get(self, partition: str, sort: str) -> Row | None:
        if self.is_down:
            raise StoreUnavailable("down")
        return self.rows.get((partition, sort))

    def query(self, partition: str) -> list[Row]:
        return [row for key, row in sorted(self.rows.items()) if key[0] == partition]

    def transact(self, change_id: str, writes: list[Put]) -> None:
        fault, self.next_fault = self.next_fault, "none"
        if self.is_down or fault == "rejected":
            raise StoreUnavailable("rejected")
        if fault == "delayed":
            self.delayed.append(writes)
            raise StoreAnswerLost("delayed")
        self.commit(writes)
        if fault == "lost":
            raise StoreAnswerLost("lost")
        if fault == "retried":
            raise PreconditionFailed("the client's own first attempt was committed")

    def commit(self, writes: list[Put]) -> None:
        for write in writes:
            stored = self.rows.get((write.row.partition, write.row.sort))
            if write.expected != (stored.version if stored else 0):
                raise PreconditionFailed("changed")
        for write in writes:
            self.rows[(write.row.partition, write.row.sort)] = write.row

    def commit_delayed(self) -> None:
        delayed, self.delayed = self.delayed, []
        for writes in delayed:
            try:
                self.commit(writes)
            except PreconditionFailed:
                continue


@pytest.fixture
def platform():
    standin = PlatformStandIn(ADDRESS, 0, 0, 100.0, {})
    standin.start()
    yield standin
    standin.stop()


def accept(store: RevisionStore, expected: int, operator: str = "ana") -> str:
    """Accept a revision; return its change id."""
    change_id = uuid.uuid4().hex
    store.accept(f"text of {change_id}", operator, expected, change_id)
    return change_id


def test_change_reported_as_not_accepted_is_never_committed():
    table = MemoryTable()
    store = RevisionStore(table)
    table.next_fault = "delayed"
    with pytest.raises(StoreUnavailable):
        accept(store, 0)
    table.commit_delayed()
    assert store.read_head() is None
    assert store.read_history() == []


def test_retry_that_conflicts_with_own_write_is_accepted():
    table = MemoryTable()
    store = RevisionStore(table)
    table.next_fault = "retried"
    change_id = accept(store, 0)
    assert store.read_head().change_id == change_id


def test_undetermined_outcome_raises_store_answer_lost():
    table = MemoryTable()
    store = RevisionStore(table, resolve_timeout_s=0.2)
    table.next_fault = "delayed"
    real_get = table.get

    def get_down(partition, sort):
        raise StoreUnavailable("down")

    table.get = get_down
    with pytest.raises(StoreAnswerLost):
        accept(store, 0)
    table.get = real_get
    table.commit_delayed()
    assert store.read_head().number == 1


def test_stale_expected_revision_reports_conflicting_revision():
    table = MemoryTable()
    store = RevisionStore(table)
    accept(store, 0, "ana")
    accept(store, 1, "ben")
    for expected, revision, operator in ((0, 1, "ana"), (1, 2, "ben"), (7, 2, "ben")):
        with pytest.raises(RevisionConflict) as conflict:
            accept(store, expected, "cleo")
        assert (conflict.value.revision, conflict.value.operator) == (revision, operator)


def test_late_write_is_not_committed_after_withdrawal(platform):
    store = RevisionStore(Table(platform.url, 2.0))
    platform.set_faults(loses_answers=True, late_write_s=0.3)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(accept, store, 0)
        wait_until(lambda: platform.table_reads > 0)
        platform.set_faults(loses_answers=False, late_write_s=0.0)
        outcome = running.exception()
    wait_until(lambda: platform.late_writes == 0)
    head = store.read_head()
    assert (head is None) == isinstance(outcome, StoreUnavailable)


def test_concurrent_operators_produce_one_history(platform):
    platform.set_faults(lost_answer_share=0.3)
    table = Table(platform.url, 2.0)
    store = RevisionStore(table)
    accepted: list[str] = []
    conflicts: list[RevisionConflict] = []

    def race(operator: str) -> None:
        for _ in range(4):
            head = store.read_head()
            try:
                accepted.append(accept(store, head.number if head else 0, operator))
            except RevisionConflict as error:
                conflicts.append(error)

    with ThreadPoolExecutor(OPERATORS) as pool:
        list(pool.map(race, [f"operator-{i}" for i in range(OPERATORS)]))
    history = store.read_history()
    by_number = {revision.number: revision.operator for revision in history}
    assert [revision.number for revision in history] == list(range(1, len(history) + 1))
    assert sorted(revision.change_id for revision in history) == sorted(accepted)
    assert len(accepted) + len(conflicts) == OPERATORS * 4
    assert all(by_number[error.revision] == error.operator for error in conflicts)
    assert store.read_head() == history[-1]


def test_history_longer_than_one_page_is_read_completely(platform):
    table = Table(platform.url, 2.0)
    rows = [Row("long", f"{number:012d}", 1, b"x") for number in range(250)]
    for start in range(0, len(rows), 50):
        table.transact(uuid.uuid4().hex, [Put(row) for row in rows[start : start + 50]])
    assert table.query("long") == rows


class Acceptance(RuleBasedStateMachine):
    """Changes of the configuration while writes are rejected, delayed or lose their responses."""

    @initialize()
    def begin(self) -> None:
        self.table = MemoryTable()
        self.store = RevisionStore(self.table, resolve_timeout_s=0.01)
        self.accepted: dict[str, int] = {}
        self.rejected: set[str] = set()

    @rule(
        fault=st.sampled_from(["none", "lost", "delayed", "rejected", "retried"]),
        lag=st.integers(0, 2),
    )
    def change(self, fault: str, lag: int) -> None:
        head = self.store.read_head()
        expected = max(0, (head.number if head else 0) - lag)
        change_id = uuid.uuid4().hex
        self.table.next_fault = fault
        try:
            revision = self.store.accept("text", "ana", expected, change_id)
            self.accepted[change_id] = revision.number
        except StoreAnswerLost:
            raise
        except HibiscustrayError:
            self.rejected.add(change_id)
        self.table.next_fault = "none"

    @rule()
    def deliver(self) -> None:
        self.table.commit_delayed()

    @invariant()
    def history_contains_exactly_accepted_changes(self) -> None:
        history = self.store.read_history()
        assert {r.change_id: r.number for r in history} == self.accepted
        assert not self.rejected & {r.change_id for r in history}
        head = self.store.read_head()
        assert head == (history[-1] if history else None)


TestAcceptance = Acceptance.TestCase
TestAcceptance.settings = settings(
    max_examples=60, stateful_step_count=20, suppress_health_check=list(HealthCheck)
)


def test_withdrawn_change_keeps_its_outcome():
    table = MemoryTable()
    store = RevisionStore(table)
    table.next_fault = "delayed"
    with pytest.raises(StoreUnavailable):
        accept(store, 0)
    (row,) = table.query(CHANGE_PARTITION)
    assert row.body == msgspec.msgpack.encode(ChangeOutcome("withdrawn"))
