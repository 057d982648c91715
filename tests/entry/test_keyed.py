"""Keyed bookings run at most once despite agent deaths, store faults and repeats."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.entry.callers import Caller, count_runs, kill, wait_until


def find_runner(site, reference):
    return next(plain for plain in site.plains if plain.service.runs[reference])


def wait_for_runner(site, reference):
    """Return the service that has begun a booking; its agent counts it as running earlier."""
    wait_until(lambda: any(plain.service.started[reference] for plain in site.plains))
    return next(plain for plain in site.plains if plain.service.started[reference])


def test_duplicates_through_two_entries_run_once(booking_site):
    for plain in booking_site.plains:
        plain.service.delay_s = 0.3
    callers = [Caller(booking_site, entry) for entry in (0, 1, 0, 1)]
    with ThreadPoolExecutor(len(callers)) as pool:
        responses = list(pool.map(lambda caller: caller.book("r1", "k1"), callers))
    assert [response.outcome for response in responses] == ["answered"] * len(callers)
    assert all(response.body == responses[0].body for response in responses)
    assert count_runs(booking_site, "r1") == 1


def test_repeat_after_agent_death_gets_first_response(booking_site):
    first = Caller(booking_site, 0).book("r1", "k1")
    runner = find_runner(booking_site, "r1")
    wait_until(lambda: booking_site.platform.table_writes >= 3)
    kill(runner.agent)
    second = Caller(booking_site, 1).book("r1", "k1")
    assert (first.outcome, second.outcome) == ("answered", "answered")
    assert second.body == first.body
    assert count_runs(booking_site, "r1") == 1


@pytest.mark.parametrize("has_ticket", [False, True])
def test_agent_death_while_running_is_unknown_and_never_runs_again(booking_site, has_ticket):
    for plain in booking_site.plains:
        plain.service.delay_s = 4.0
    caller = Caller(booking_site, 0)
    key = caller.request_ticket() if has_ticket else "k1"
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(caller.book, "r1", key, Hibiscustray_Deadline_Ms="8000")
        kill(wait_for_runner(booking_site, "r1").agent)
        first = sending.result()
    second = Caller(booking_site, 1).book("r1", key, Hibiscustray_Deadline_Ms="3000")
    assert (first.outcome, second.outcome) == ("unknown", "unknown")
    wait_until(lambda: count_runs(booking_site, "r1") == 1)
    time.sleep(1.0)
    assert count_runs(booking_site, "r1") == 1


def test_agent_death_before_claim_lets_another_agent_run_it_once(booking_site):
    booking_site.platform.set_faults(delay_s=0.5)
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(Caller(booking_site, 0).book, "r1", "k1")
        wait_until(lambda: any(plain.agent.state.running for plain in booking_site.plains))
        kill(next(p for p in booking_site.plains if p.agent.state.running).agent)
        first = sending.result()
    second = Caller(booking_site, 1).book("r1", "k1")
    assert (first.outcome, second.outcome) == ("answered", "answered")
    assert second.body == first.body
    assert count_runs(booking_site, "r1") == 1


def test_store_outage_refuses_claims_but_not_tickets(booking_site):
    caller = Caller(booking_site, 0)
    ticket = caller.request_ticket()
    booking_site.platform.set_faults(is_store_down=True)
    declared = caller.book("r1", "k1", Hibiscustray_Retry_Count="0")
    undeclared = caller.book("r2", "k2")
    by_ticket = caller.book("r3", ticket)
    in_outage = caller.book("r4", caller.request_ticket())
    assert (declared.status, declared.outcome) == (503, "not_run")
    assert "/tickets" in declared.body["detail"]
    assert declared.body["retry_after_s"] > 0
    assert undeclared.outcome == "unknown"
    assert (by_ticket.outcome, in_outage.outcome) == ("answered", "answered")
    assert [count_runs(booking_site, r) for r in ("r1", "r2", "r3", "r4")] == [0, 0, 1, 1]


def test_repeat_of_claimed_key_in_store_outage_is_unknown(booking_site):
    Caller(booking_site, 0).book("r1", "k1")
    kill(find_runner(booking_site, "r1").agent)
    booking_site.platform.set_faults(is_store_down=True)
    assert Caller(booking_site, 1).book("r1", "k1").outcome == "unknown"


def test_lost_store_responses_do_not_run_booking_twice(booking_site):
    booking_site.platform.set_faults(loses_answers=True)
    responses = [Caller(booking_site, entry).book("r1", "k1") for entry in (0, 1)]
    assert [response.outcome for response in responses] == ["answered", "answered"]
    assert count_runs(booking_site, "r1") == 1


@pytest.mark.parametrize("has_ticket", [False, True])
def test_key_reused_with_another_body_is_refused(booking_site, has_ticket):
    caller = Caller(booking_site, 0)
    key = caller.request_ticket() if has_ticket else "k1"
    assert caller.book("r1", key).outcome == "answered"
    for entry in (0, 1):
        reused = Caller(booking_site, entry).book("r2", key)
        assert (reused.status, reused.outcome) == (422, "not_run")
    assert count_runs(booking_site, "r2") == 0


def test_repeat_of_ticket_after_planned_stop_gets_first_response(booking_site):
    caller = Caller(booking_site, 0)
    ticket = caller.request_ticket()
    first = caller.book("r1", ticket)
    runner = find_runner(booking_site, "r1")
    runner.agent.drain(5.0)
    runner.agent.stop()
    booking_site.plains.remove(runner)
    second = Caller(booking_site, 1).book("r1", ticket)
    assert second.outcome == "answered"
    assert second.body == first.body
    assert runner.service.runs["r1"] + count_runs(booking_site, "r1") == 1
    runner.service.stop()


@pytest.mark.parametrize("key", ["hbt1.", "hbt1.AAAA", "hbt1.%%%"])
def test_undecodable_ticket_is_refused(booking_site, key):
    response = Caller(booking_site).book("r1", key)
    assert (response.status, response.outcome) == (400, "not_run")


def test_ambiguous_busy_response_is_unknown(booking_site):
    for plain in booking_site.plains:
        plain.service.busy_status = 503
    caller = Caller(booking_site)
    assert caller.book("r1").outcome == "unknown"
    assert caller.book("r2", "k2").outcome == "unknown"
    assert [count_runs(booking_site, r) for r in ("r1", "r2")] == [1, 1]


def test_long_call_is_not_mistaken_for_silence(booking_site):
    for plain in booking_site.plains:
        plain.service.delay_s = 3.6
    response = Caller(booking_site).book("r1", "k1")
    assert response.outcome == "answered"


def test_booking_past_deadline_is_unknown_and_its_repeat_is_answered(booking_site):
    for plain in booking_site.plains:
        plain.service.delay_s = 1.0
    caller = Caller(booking_site)
    first = caller.book("r1", "k1", Hibiscustray_Deadline_Ms="400")
    second = Caller(booking_site, 1).book("r1", "k1", Hibiscustray_Deadline_Ms="5000")
    assert (first.status, first.outcome) == (504, "unknown")
    assert second.outcome == "answered"
    assert count_runs(booking_site, "r1") == 1


@pytest.mark.parametrize("part", ["agent", "entry"])
def test_planned_stop_completes_running_booking_and_new_ones_run_once(booking_site, part):
    for plain in booking_site.plains:
        plain.service.delay_s = 1.0
    with ThreadPoolExecutor(2) as pool:
        sending = pool.submit(Caller(booking_site, 0).book, "r1", "k1")
        wait_until(lambda: any(plain.agent.state.running for plain in booking_site.plains))
        runner = next(plain for plain in booking_site.plains if plain.agent.state.running)
        stopped = booking_site.entries[0] if part == "entry" else runner.agent
        draining = pool.submit(stopped.drain, 20.0)
        later = Caller(booking_site, 1).book("r2", "k2")
        assert draining.result()
        stopped.stop()
        first = sending.result()
    assert (first.outcome, later.outcome) == ("answered", "answered")
    assert [count_runs(booking_site, reference) for reference in ("r1", "r2")] == [1, 1]
    if part == "entry":
        booking_site.entries.remove(stopped)
    else:
        booking_site.plains.remove(runner)
        runner.service.stop()
