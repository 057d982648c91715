"""The ledger keeps each record for its whole lifetime and returns outcomes to waiters."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from hibiscustray.requests import (
    BodyMismatch,
    InProgress,
    Ledger,
    LedgerFull,
    NewKey,
    RecordedResponse,
    Uncertain,
)
from hibiscustray.requests.ledger import MAX_RESPONSE_B, RECORD_OVERHEAD_B, RECORD_TTL_S

RESPONSE = RecordedResponse((b"seat 4",), 200, "application/json")


def test_key_is_new_once_and_its_outcome_is_kept():
    ledger = Ledger()
    assert ledger.begin("k", "d") == NewKey()
    assert ledger.begin("k", "d") == InProgress()
    assert ledger.begin("k", "other") == BodyMismatch()
    ledger.finish("k", RESPONSE)
    assert ledger.begin("k", "d") == RESPONSE


def test_full_ledger_refuses_new_keys_and_keeps_old_ones():
    ledger = Ledger(capacity_b=2 * RECORD_OVERHEAD_B)
    assert [ledger.begin(key, "d") for key in "abc"] == [NewKey(), NewKey(), LedgerFull()]
    ledger.finish("a", RESPONSE)
    assert isinstance(ledger.begin("a", "d"), Uncertain)
    assert ledger.begin("b", "d") == InProgress()


def test_record_expires_exactly_after_its_lifetime():
    now = [0.0]
    ledger = Ledger(timer=lambda: now[0])
    ledger.begin("k", "d")
    ledger.finish("k", RESPONSE)
    now[0] = RECORD_TTL_S - 1
    assert ledger.begin("k", "d") == RESPONSE
    now[0] = RECORD_TTL_S + 1
    assert ledger.begin("k", "d") == NewKey()


def test_key_of_a_request_that_runs_for_longer_than_the_lifetime_is_not_new_again():
    now = [0.0]
    ledger = Ledger(timer=lambda: now[0])
    ledger.begin("k", "d")
    now[0] = 2 * RECORD_TTL_S
    assert ledger.begin("k", "d") == InProgress()
    ledger.finish("k", RESPONSE)
    now[0] = 3 * RECORD_TTL_S - 1
    assert ledger.begin("k", "d") == RESPONSE


def test_response_too_large_to_store_is_recorded_as_uncertain():
    ledger = Ledger()
    ledger.begin("k", "d")
    ledger.finish("k", RecordedResponse((bytes(MAX_RESPONSE_B + 1),), 200, "text/plain"))
    assert isinstance(ledger.begin("k", "d"), Uncertain)


def test_waiter_gets_outcome_or_none_for_released_key():
    ledger = Ledger()
    for key in "ab":
        ledger.begin(key, "d")
    with ThreadPoolExecutor(2) as pool:
        answered, released = (pool.submit(ledger.wait, key, 10.0) for key in "ab")
        ledger.finish("a", RESPONSE)
        ledger.release("b")
    assert (answered.result(), released.result()) == (RESPONSE, None)
    ledger.begin("c", "d")
    assert ledger.wait("c", 0.0) == InProgress()
