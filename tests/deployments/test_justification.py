"""Conditions under which a process may serve its active revision."""

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
    monkeypatch.setattr(module, "read_clock", clock.monotonic)
    return clock


def test_process_without_evidence_never_serves(clock):
    justification = Justification()
    clock.now += 3600.0
    justification.reevaluate(local_number=5)
    assert not justification.allows_serving()


def test_stale_store_does_not_establish_if_peer_has_newer_revision(clock):
    justification = Justification()
    justification.expect_peers(1)
    justification.record_peer("a", 6, True, local_number=5)
    justification.record_store_read(5, local_number=5)
    clock.now += 60.0
    justification.reevaluate(local_number=5)
    assert not justification.allows_serving()
    justification.record_peer("a", 6, True, local_number=6)
    assert justification.allows_serving()


def test_store_alone_is_sufficient_after_settle_time(clock):
    justification = Justification(settle_s=3.0)
    justification.expect_peers(9)
    justification.record_store_read(5, local_number=5)
    assert not justification.allows_serving()
    clock.now += 3.0
    justification.reevaluate(local_number=5)
    assert justification.allows_serving()


def test_simultaneously_started_fleet_is_established_by_store_immediately(clock):
    justification = Justification()
    justification.expect_peers(9)
    justification.record_store_read(5, local_number=5)
    for peer in "abc":
        justification.record_peer(peer, 0, False, local_number=5)
    assert justification.allows_serving()


def test_unestablished_peers_are_not_sufficient(clock):
    justification = Justification()
    justification.expect_peers(3)
    for peer in "abc":
        justification.record_peer(peer, 5, False, local_number=5)
    clock.now += 60.0
    justification.reevaluate(local_number=5)
    assert not justification.allows_serving()


def test_three_established_peers_are_sufficient_without_store(clock):
    justification = Justification()
    for peer in "ab":
        justification.record_peer(peer, 5, True, local_number=5)
    assert not justification.allows_serving()
    justification.record_peer("c", 4, True, local_number=5)
    assert justification.allows_serving()


def test_isolated_process_stops_after_grace_time_and_resumes_on_contact(clock):
    justification = Justification(grace_s=30.0)
    justification.expect_peers(0)
    justification.record_store_read(5, local_number=5)
    clock.now += 29.0
    assert justification.allows_serving()
    clock.now += 2.0
    assert not justification.allows_serving()
    justification.record_peer("a", 6, True, local_number=5)
    assert not justification.allows_serving(), "a newer revision is known"
    justification.record_peer("a", 6, True, local_number=6)
    assert justification.allows_serving()


def test_process_in_contact_with_peer_keeps_serving_without_store(clock):
    justification = Justification(grace_s=30.0)
    justification.expect_peers(0)
    justification.record_store_read(5, local_number=5)
    for _ in range(100):
        clock.now += 10.0
        justification.record_peer("a", 5, True, local_number=5)
    assert justification.allows_serving()


def test_revoked_process_never_serves_again(clock):
    justification = Justification()
    justification.expect_peers(0)
    justification.record_store_read(5, local_number=5)
    justification.revoke()
    assert not justification.allows_serving()


def test_fleet_with_empty_store_serves_first_revision_immediately(clock):
    justification = Justification()
    justification.expect_peers(1)
    justification.record_peer("a", 0, False, local_number=0)
    justification.record_store_read(0, local_number=0)
    justification.record_peer("a", 1, True, local_number=1)
    assert justification.allows_serving()


def test_process_without_revision_is_not_established_by_peer_with_revision(clock):
    justification = Justification()
    justification.expect_peers(1)
    justification.record_store_read(0, local_number=0)
    justification.record_peer("a", 4, True, local_number=0)
    clock.now += 60.0
    justification.reevaluate(local_number=0)
    assert not justification.allows_serving()


def test_contact_expires_for_a_process_whose_vm_was_suspended(suspend_machine):
    justification = Justification(grace_s=30.0, settle_s=0.0)
    justification.record_store_read(5, local_number=5)
    assert justification.allows_serving()
    suspend_machine(60.0)
    assert not justification.allows_serving()
