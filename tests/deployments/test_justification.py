"""When a process may serve the revision that it holds."""

from __future__ import annotations

import pytest

from hibiscustray.deployments import justification as module
from hibiscustray.deployments.justification import Justification


@pytest.fixture
def clock(monkeypatch):
    """A monotonic clock that tests advance."""

    class Clock:
        now = 1000.0

        def monotonic(self) -> float:
            return self.now

    clock = Clock()
    monkeypatch.setattr(module, "time", clock)
    return clock


def test_a_process_that_heard_nothing_never_serves(clock):
    justification = Justification()
    clock.now += 3600.0
    justification.reevaluate(held=5)
    assert not justification.allows_serving()


def test_a_lagging_store_does_not_establish_against_a_peer_that_holds_more(clock):
    justification = Justification()
    justification.expect_peers(1)
    justification.record_peer("a", 6, True, held=5)
    justification.record_store_read(5, held=5)
    clock.now += 60.0
    justification.reevaluate(held=5)
    assert not justification.allows_serving()
    justification.record_peer("a", 6, True, held=6)
    assert justification.allows_serving()


def test_the_store_alone_suffices_once_peers_had_time_to_answer(clock):
    justification = Justification(settle_s=3.0)
    justification.expect_peers(9)
    justification.record_store_read(5, held=5)
    assert not justification.allows_serving()
    clock.now += 3.0
    justification.reevaluate(held=5)
    assert justification.allows_serving()


def test_a_fleet_started_at_once_serves_by_the_store_without_waiting(clock):
    justification = Justification()
    justification.expect_peers(9)
    justification.record_store_read(5, held=5)
    for peer in "abc":
        justification.record_peer(peer, 0, False, held=5)
    assert justification.allows_serving()


def test_peers_that_are_not_established_are_no_witnesses(clock):
    justification = Justification()
    justification.expect_peers(3)
    for peer in "abc":
        justification.record_peer(peer, 5, False, held=5)
    clock.now += 60.0
    justification.reevaluate(held=5)
    assert not justification.allows_serving()


def test_three_established_peers_suffice_while_the_store_is_down(clock):
    justification = Justification()
    for peer in "ab":
        justification.record_peer(peer, 5, True, held=5)
    assert not justification.allows_serving()
    justification.record_peer("c", 4, True, held=5)
    assert justification.allows_serving()


def test_a_process_cut_off_stops_after_the_grace_and_resumes_on_contact(clock):
    justification = Justification(grace_s=30.0)
    justification.expect_peers(0)
    justification.record_store_read(5, held=5)
    clock.now += 29.0
    assert justification.allows_serving()
    clock.now += 2.0
    assert not justification.allows_serving()
    justification.record_peer("a", 6, True, held=5)
    assert not justification.allows_serving(), "it knows that it is behind"
    justification.record_peer("a", 6, True, held=6)
    assert justification.allows_serving()


def test_an_island_whose_store_is_gone_goes_on(clock):
    justification = Justification(grace_s=30.0)
    justification.expect_peers(0)
    justification.record_store_read(5, held=5)
    for _ in range(100):
        clock.now += 10.0
        justification.record_peer("a", 5, True, held=5)
    assert justification.allows_serving()


def test_a_replaced_process_never_serves_again(clock):
    justification = Justification()
    justification.expect_peers(0)
    justification.record_store_read(5, held=5)
    justification.revoke()
    assert not justification.allows_serving()


def test_a_fleet_that_knows_the_store_to_be_empty_serves_the_first_revision_at_once(clock):
    justification = Justification()
    justification.expect_peers(1)
    justification.record_peer("a", 0, False, held=0)
    justification.record_store_read(0, held=0)
    justification.record_peer("a", 1, True, held=1)
    assert justification.allows_serving()


def test_an_empty_process_is_not_established_by_peers_that_hold_more(clock):
    justification = Justification()
    justification.expect_peers(1)
    justification.record_store_read(0, held=0)
    justification.record_peer("a", 4, True, held=0)
    clock.now += 60.0
    justification.reevaluate(held=0)
    assert not justification.allows_serving()
