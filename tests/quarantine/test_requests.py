"""Tests of blocks of whole requests, shared by several entries through one table."""

from __future__ import annotations

import random
import sys

import pytest

from hibiscustray.quarantine.report import MAX_REPORTED_REQUEST_LOSSES
from hibiscustray.quarantine.requests import (
    IDLE_LIFETIME_S,
    MAX_REQUEST_BLOCKS,
    MAX_TRIALS,
    TRIAL_DELAYS_S,
)
from tests.quarantine.entries import SharedTable

BAD, SOUND = "request/bad", "request/sound"
CONTACT_S = 3.0
"""Time after the third end of a replica by which all entries refuse a request."""
MAX_LATER_REQUESTS = 3
MAX_ROW_B = 32768
HOUR_S = 3600.0


@pytest.fixture
def table() -> SharedTable:
    """Return a table with three entries."""
    table = SharedTable()
    for number in range(3):
        table.start(f"e{number}")
    table.exchange()
    return table


def end_replicas(table: SharedTable, *entries: str, interval_s: float = 0.1, parts=(BAD,)) -> None:
    """End a replica at each of these entries, one after the other."""
    for entry in entries:
        table.members[entry].lose(f"{entry}/{table.now}", *parts)
        table.exchange(interval_s)


def test_request_is_refused_by_all_entries_in_time_though_each_saw_one_replica_end(table):
    end_replicas(table, "e0", "e1", "e2")
    table.exchange(CONTACT_S - 1.0)
    assert table.is_refused(BAD) == [True] * 3
    assert table.is_refused(SOUND) == [False] * 3


def test_request_is_refused_though_three_replicas_ended_at_the_same_moment(table):
    for number in range(3):
        table.members["e1"].lose(f"r{number}", BAD)
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [True] * 3


def test_request_without_a_third_end_is_not_refused(table):
    end_replicas(table, "e0", "e1")
    table.members["e2"].lose(f"e0/{table.now}", SOUND)
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [False] * 3


@pytest.mark.parametrize("pause_s", [70.0, 600.0, 2 * HOUR_S])
def test_losses_of_a_request_that_comes_again_after_minutes_are_not_forgotten(table, pause_s):
    for entry in ("e0", "e1", "e2"):
        end_replicas(table, entry)
        table.exchange(pause_s, step_s=5.0)
    assert table.is_refused(BAD) == [True] * 3


def block(table: SharedTable, *parts: str) -> None:
    """Block a request at all entries."""
    end_replicas(table, *table.members, parts=parts or (BAD,))
    table.exchange(CONTACT_S)
    assert table.is_refused(parts[0] if parts else BAD) == [True] * len(table.members)


def send_for(table: SharedTable, seconds: float, is_harmful: bool = True) -> int:
    """Send the request once in five seconds to each entry; return how many were let through."""
    sent = 0
    end_at = table.now + seconds
    while table.now < end_at:
        for member in list(table.members.values()):
            for _ in range(2):
                if member.send(BAD):
                    sent += 1
                    if is_harmful:
                        member.lose(f"{member.name}/{table.now}", BAD)
                    else:
                        member.quarantine.record_success((BAD,))
        table.exchange(5.0, step_s=1.0)
    return sent


def test_all_entries_together_let_two_trials_through_for_good(table):
    block(table)
    assert send_for(table, TRIAL_DELAYS_S[0] + 60) == 1
    assert send_for(table, 3 * HOUR_S) == MAX_TRIALS - 1
    assert table.is_refused(BAD) == [True] * 3


def test_trial_is_not_held_up_by_a_request_that_was_not_sent(table):
    block(table)
    block_at = table.now
    placed = []
    while not placed and table.now < block_at + TRIAL_DELAYS_S[0] + 30:
        table.exchange(1.0)
        members = table.members.values()
        placed = [m for m in members if m.quarantine.find_refusal((BAD,), "not sent") is None]
    assert [member.send(BAD) for member in placed] == [True]


def test_unjust_block_ends_for_all_entries_with_its_first_trial(table):
    block(table)
    send_for(table, TRIAL_DELAYS_S[0] + 60, is_harmful=False)
    assert table.is_refused(BAD) == [False] * 3
    assert BAD not in table.rows
    table.exchange(300.0)
    assert table.is_refused(BAD) == [False] * 3


def test_request_that_completes_while_its_block_is_decided_is_released(table):
    end_replicas(table, "e0", "e1", "e2")
    table.exchange(0.3)
    table.members["e1"].quarantine.record_success((BAD,))
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [False] * 3


def test_trials_are_not_granted_anew_by_entries_that_replace_all_others(table):
    block(table)
    sent = 0
    for number in range(12):
        table.start(f"n{number}")
        table.stop(next(iter(table.members)))
        sent += send_for(table, 600.0)
    assert sent <= MAX_TRIALS
    assert table.is_refused(BAD) == [True] * 3


def test_entries_that_are_killed_one_by_one_take_no_loss_with_them(table):
    for number, entry in enumerate(("e0", "e1", "e2")):
        end_replicas(table, entry)
        table.exchange(1.0)
        table.kill(entry)
        table.start(f"n{number}")
        table.exchange(1000.0, step_s=5.0)
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [True] * 3


def test_losses_and_blocks_survive_a_clean_stop_of_all_entries_at_once(table):
    block(table, SOUND)
    end_replicas(table, "e0", "e1")
    table.exchange(1.0)
    table.stop("e0", "e1", "e2")
    table.now += 600.0
    for number in range(2):
        table.start(f"n{number}")
    assert table.is_refused(SOUND) == [True] * 2
    table.exchange(1.0)
    assert [member.counts[-1] for member in table.members.values()] == [2, 2]
    end_replicas(table, "n0")
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [True] * 2


def test_entry_that_restarts_under_its_name_keeps_its_losses(table):
    end_replicas(table, "e0", "e0")
    table.exchange(1.0)
    table.kill("e0")
    table.start("e0")
    end_replicas(table, "e0")
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [True] * 3


def test_fresh_entry_refuses_before_it_is_ready_to_serve(table):
    block(table)
    table.cut.add("new")
    fresh = table.start("new")
    assert not fresh.publisher.is_quarantine_usable
    table.reconnect("new")
    assert fresh.publisher.is_quarantine_usable
    assert not fresh.send(BAD)


def test_entry_without_the_store_at_the_third_end_tells_it_once_the_store_is_back(table):
    end_replicas(table, "e0", "e1")
    table.exchange(1.0)
    table.cut.add("e2")
    end_replicas(table, "e2")
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [False, False, True]
    table.reconnect("e2")
    table.exchange(10.0)
    assert table.is_refused(BAD) == [True] * 3


def test_entry_without_the_store_lets_no_trial_through(table):
    block(table)
    table.cut.update(table.members)
    assert send_for(table, HOUR_S) == 0


def test_entry_that_was_cut_off_while_trials_were_taken_takes_none(table):
    block(table)
    table.cut.add("e2")
    sent = 0
    for _ in range(2):
        sent += send_for(table, 600.0)
    table.reconnect("e2")
    assert sent + send_for(table, HOUR_S) == MAX_TRIALS


def test_request_that_was_placed_before_its_block_is_not_sent(table):
    member = table.members["e0"]
    assert member.quarantine.find_refusal((BAD,), "placed") is None
    block(table)
    assert not member.quarantine.use_trial((BAD,))


def test_requests_lost_at_the_same_replicas_are_blocked_each_by_itself(table):
    end_replicas(table, "e0", "e1", "e2", parts=(BAD,))
    block(table, SOUND)
    for member in table.members.values():
        member.quarantine.record_success((SOUND,))
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [True] * 3
    assert table.is_refused(SOUND) == [False] * 3


def test_block_of_a_request_with_a_prompt_does_not_refuse_others_with_its_parts(table):
    block(table, BAD, "first", "second")
    assert table.is_refused(SOUND, "first", "second") == [False] * 3


def test_popular_request_is_not_blocked_by_kills_at_once_or_in_series(table):
    entries = list(table.members.values())
    for number in range(12):
        for entry in entries:
            entry.quarantine.record_success((SOUND,))
        for replica in range(6 if number % 2 else 1):
            for entry in entries:
                entry.lose(f"r{number}-{replica}", SOUND, held_s=0.2)
        table.exchange(90.0 if number % 2 else 0.5)
    assert table.is_refused(SOUND) == [False] * 3


def test_popular_request_beside_the_harmful_one_is_not_blocked(table):
    for _ in range(5):
        for entry in table.members.values():
            entry.quarantine.record_success((SOUND,))
            entry.lose(f"r{table.now}", SOUND)
        table.members["e0"].lose(f"r{table.now}", BAD)
        table.exchange(1.0)
    assert table.is_refused(SOUND) == [False] * 3
    assert table.is_refused(BAD) == [True] * 3


def test_responses_broken_off_by_replicas_that_live_on_block_no_request(table):
    for number in range(6):
        table.members["e0"].lose(f"r{number}", BAD)
        table.exchange(0.2)
        table.members["e0"].quarantine.record_life_sign(f"r{number}")
        table.exchange(1.0)
    assert table.is_refused(BAD) == [False] * 3


def test_block_of_a_request_that_nobody_sends_ends_after_a_day(table):
    block(table)
    table.exchange(IDLE_LIFETIME_S - HOUR_S, step_s=60.0)
    assert BAD in table.rows
    table.exchange(2 * HOUR_S, step_s=60.0)
    assert BAD not in table.rows


def test_flood_of_fresh_requests_leaves_memory_rows_and_logs_bounded(table, caplog):
    fresh = random.Random(1)
    end_replicas(table, "e0", "e1")
    table.exchange(1.0)
    rows = set(table.rows)
    for number in range(40):
        for member in table.members.values():
            member.quarantine.record_success((SOUND,))
            for _ in range(300):
                digest = f"request/{fresh.getrandbits(64):016x}"
                member.quarantine.record_success((digest,))
                member.lose(f"replica-number-{number}", f"request/{fresh.getrandbits(64):016x}")
        table.exchange(0.3)
    assert set(table.rows) == rows
    assert max(len(row) for row, _ in table.rows.values()) <= MAX_ROW_B
    assert len(caplog.records) == 0
    for member in table.members.values():
        ledger = member.quarantine._requests
        assert len(ledger.losses) <= MAX_REPORTED_REQUEST_LOSSES
        assert sys.getsizeof(ledger.successes._once) <= 500_000
        assert ledger.successes.get(SOUND) > table.now - 1.0


def test_suspected_request_outlasts_a_flood_of_fresh_ones(table):
    end_replicas(table, "e0", "e1")
    table.exchange(1.0)
    for number in range(200):
        for member in table.members.values():
            member.lose(f"r{number}", f"request/{member.name}-{number}")
        table.exchange(0.1)
    end_replicas(table, "e2")
    table.exchange(CONTACT_S)
    assert table.is_refused(BAD) == [True] * 3


def test_number_of_blocked_requests_stays_bounded(table):
    for number in range(MAX_REQUEST_BLOCKS + 20):
        for replica in range(3):
            table.members["e0"].lose(f"r{replica}-{number}", f"request/{number}")
        table.exchange(1.2, step_s=0.4)
    table.exchange(10.0)
    blocked = [key for key in table.rows if key.startswith("request/")]
    assert len(blocked) <= MAX_REQUEST_BLOCKS
    assert f"request/{MAX_REQUEST_BLOCKS + 19}" in blocked
