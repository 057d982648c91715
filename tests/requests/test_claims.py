"""Claims stay exclusive under lost and delayed writes, restarts and races."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import pytest

from hibiscustray.exceptions import PlatformError, StoreUnavailable
from hibiscustray.requests import (
    BodyMismatch,
    Claim,
    ClaimedElsewhere,
    ClaimStore,
    RecordedResponse,
    Uncertain,
)
from hibiscustray.requests.ledger import RECORD_TTL_S
from tests.requests.tables import FakeTable

RESPONSE = RecordedResponse((b"seat 4",), 200, "application/json")


class Clock:
    """A clock that tests set."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def table():
    return FakeTable()


def test_only_first_of_two_agents_gets_claim(table):
    first, second = ClaimStore(table, "a", 1), ClaimStore(table, "b", 1)
    assert isinstance(first.claim("k", "d"), Claim)
    assert second.claim("k", "d") == ClaimedElsewhere("a", 1)
    assert second.claim("k", "other") == BodyMismatch()


def test_restarted_agent_does_not_take_over_its_own_claim(table):
    ClaimStore(table, "a", 1).claim("k", "d")
    assert ClaimStore(table, "a", 2).claim("k", "d") == ClaimedElsewhere("a", 1)


@pytest.mark.parametrize("outcome", [RESPONSE, Uncertain("lost")])
def test_recorded_outcome_is_returned_to_other_agents(table, outcome):
    first = ClaimStore(table, "a", 1)
    first.record_outcome(first.claim("k", "d"), outcome, "c1")
    found = ClaimStore(table, "b", 1).claim("k", "d")
    assert type(found) is type(outcome)
    assert found == RESPONSE or isinstance(found, Uncertain)


def test_released_key_can_be_claimed_by_one_other_agent(table):
    first = ClaimStore(table, "a", 1)
    first.release(first.claim("k", "d"), "c1")
    assert isinstance(ClaimStore(table, "b", 1).claim("k", "d"), Claim)
    assert ClaimStore(table, "c", 1).claim("k", "d") == ClaimedElsewhere("b", 1)


def test_late_write_of_abandoned_claim_does_not_release_key(table):
    first, second = ClaimStore(table, "a", 1), ClaimStore(table, "b", 1)
    table.mode = "late"
    with pytest.raises(PlatformError):
        first.claim("k", "d")
    table.mode = "up"
    assert isinstance(second.claim("k", "d"), Claim)
    while table.delayed_writes:
        table.apply_late_write()
    assert first.claim("k", "d") == ClaimedElsewhere("b", 1)


def test_late_release_does_not_release_key_claimed_again(table):
    first = ClaimStore(table, "a", 1)
    claim = first.claim("k", "d")
    table.mode = "late"
    with pytest.raises(PlatformError):
        first.release(claim, "c1")
    table.mode = "up"
    assert isinstance(first.claim("k", "d"), Claim)
    table.apply_late_write()
    assert ClaimStore(table, "b", 1).claim("k", "d") == ClaimedElsewhere("a", 1)


def test_lost_store_response_is_resolved_by_reading_row(table):
    table.mode = "lossy"
    assert isinstance(ClaimStore(table, "a", 1).claim("k", "d"), Claim)
    assert table.writes == 1


def test_claim_older_than_ledger_records_is_not_run_again(table):
    clock = Clock()
    store = ClaimStore(table, "a", 1, clock)
    store.claim("k", "d")
    clock.now = RECORD_TTL_S
    assert isinstance(store.claim("k", "d"), Uncertain)


def test_undecodable_row_raises_platform_error(table):
    store = ClaimStore(table, "a", 1)
    store.claim("k", "d")
    (key, row), *_ = table.rows.items()
    table.rows[key] = replace(row, body=b"?")
    with pytest.raises(PlatformError):
        store.claim("k", "d")


def test_claims_fail_at_once_while_a_probe_of_the_table_hangs(table):
    store = ClaimStore(table, "a", 1)
    table.mode = "down"
    with pytest.raises(PlatformError):
        store.claim("k", "d")
    table.mode = "up"
    hanging, released = threading.Event(), threading.Event()
    commit = table.transact
    table.transact = lambda *write: hanging.set() or released.wait(5.0) and commit(*write)
    with ThreadPoolExecutor(1) as pool:
        probing = pool.submit(store.claim, "k", "d")
        assert hanging.wait(5.0)
        with pytest.raises(StoreUnavailable):
            store.claim("k2", "d")
        released.set()
        assert isinstance(probing.result(), Claim)
    assert isinstance(store.claim("k2", "d"), Claim)
