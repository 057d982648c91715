"""Limits that replicas name, as several entries keep them together."""

from __future__ import annotations

import random

import pytest

from hibiscustray.replicas import ReplicaNotice, ReplicaNotices
from hibiscustray.replicas.notices import MAX_REPLICAS
from hibiscustray.replicas.pacing import MAX_INTERVAL_S
from hibiscustray.telemetry import Metrics

BOOT = "i-1/1"
WINDOW_S = 4.0
STEP_S = 0.05


class Entries:
    """Entries that send to one replica as often as they may, over a fake clock."""

    def __init__(self, count: int, limit_per_s: float, seed: int = 1) -> None:
        draw = random.Random(seed)
        self.now = 1000.0
        self.limit_per_s: float | None = limit_per_s
        self.arrivals: list[float] = []
        self.entries = [self.make(draw) for _ in range(count)]
        for entry in self.entries:
            entry.share_among(count)
            entry.record(BOOT, ReplicaNotice(limit_per_s), self.now)

    def make(self, draw: random.Random) -> ReplicaNotices:
        return ReplicaNotices(Metrics("e"), lambda: self.now, draw.random)

    def send(self, seconds: float, demand: float = 1.0) -> None:
        """Let each entry send whenever it may, with a probability `demand` in each step."""
        draw = random.Random(int(self.now))
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for entry in self.entries:
                if draw.random() < demand and entry.take(BOOT):
                    self.arrivals.append(self.now)
                    entry.record(BOOT, ReplicaNotice(self.limit_per_s), self.now)

    def count_most(self, since: float = 0.0) -> int:
        """Return the most arrivals in any window."""
        later = [at for at in self.arrivals if at >= since]
        return max((sum(at <= x < at + WINDOW_S for x in later) for at in later), default=0)


def compute_bound(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.mark.parametrize("count", [1, 3, 14, 60])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.1, 0.4, 1.0, 1.8, 7.0, 40.0])
def test_entries_together_keep_a_limit(count, limit_per_s):
    for seed in range(3):
        entries = Entries(count, limit_per_s, seed)
        entries.send(60.0)
        assert entries.count_most() <= compute_bound(limit_per_s)


@pytest.mark.parametrize(("count", "limit_per_s"), [(3, 1.0), (14, 2.0), (3, 10.0)])
def test_entries_together_use_most_of_a_limit(count, limit_per_s):
    entries = Entries(count, limit_per_s)
    entries.send(120.0)
    assert len(entries.arrivals) >= 0.8 * limit_per_s * 120.0


@pytest.mark.parametrize("limit_per_s", [0.4, 1.0, 1.8])
def test_callers_that_come_to_all_entries_at_once_after_a_pause_do_not_exceed_a_limit(limit_per_s):
    for seed in range(20):
        entries = Entries(14, limit_per_s, seed)
        entries.now += 200.0
        entries.send(WINDOW_S)
        assert entries.count_most() <= compute_bound(limit_per_s)


def test_entry_that_was_frozen_does_not_make_up_for_the_time():
    entries = Entries(3, 2.0)
    frozen, entries.entries = entries.entries[0], entries.entries[1:]
    entries.send(60.0)
    entries.entries.append(frozen)
    woken_at = entries.now
    entries.send(20.0)
    assert entries.count_most(woken_at - WINDOW_S) <= compute_bound(2.0)


def test_entry_that_starts_keeps_to_its_share_from_its_first_response_with_a_limit():
    entries = Entries(3, 1.0)
    entries.send(20.0)
    started = entries.make(random.Random(9))
    assert started.take(BOOT)
    started.record(BOOT, ReplicaNotice(1.0), entries.now)
    entries.entries.append(started)
    for entry in entries.entries:
        entry.share_among(4)
    started_at = entries.now
    entries.send(20.0)
    assert entries.count_most(started_at) <= compute_bound(1.0)


def test_limit_that_falls_is_kept_at_once():
    entries = Entries(3, 20.0)
    entries.send(10.0)
    entries.limit_per_s = 0.5
    entries.send(2.0)
    fallen_at = entries.now
    entries.send(30.0)
    assert entries.count_most(fallen_at) <= compute_bound(0.5)


def test_limit_ends_when_a_response_names_none():
    notices = ReplicaNotices(Metrics("e"), lambda: 10.0)
    notices.record(BOOT, ReplicaNotice(0.5), 9.0)
    assert notices.find_wait(BOOT) > 0
    notices.record(BOOT, ReplicaNotice(), 10.1)
    assert notices.find_wait(BOOT) == 0
    assert not notices.is_limited(BOOT)


def test_limit_does_not_end_with_a_response_that_was_overtaken():
    notices = ReplicaNotices(Metrics("e"), lambda: 10.0)
    notices.record(BOOT, ReplicaNotice(0.5), 9.5)
    notices.record(BOOT, ReplicaNotice(), 9.0)
    assert notices.is_limited(BOOT)


def test_limit_of_zero_lets_a_request_through_now_and_then_to_learn_of_its_end():
    entries = Entries(3, 0.0)
    entries.send(5 * MAX_INTERVAL_S)
    assert 1 <= len(entries.arrivals) <= 6


def test_next_start_of_a_replica_has_no_limit():
    notices = ReplicaNotices(Metrics("e"), lambda: 10.0)
    notices.record(BOOT, ReplicaNotice(0.5), 9.0)
    assert notices.take("i-1/2")


def test_limit_that_cannot_be_read_changes_nothing_and_is_logged_once(caplog):
    notices = ReplicaNotices(Metrics("e"), lambda: 10.0)
    notices.record(BOOT, ReplicaNotice(0.5), 9.0)
    for _ in range(3):
        notices.record(BOOT, ReplicaNotice(malformed="-1"), 11.0)
    assert notices.is_limited(BOOT)
    assert [r.value for r in caplog.records if r.message == "replica limit unreadable"] == ["-1"]


def test_statements_of_replicas_that_come_and_go_are_bounded():
    notices = ReplicaNotices(Metrics("e"), lambda: 10.0)
    for number in range(MAX_REPLICAS + 100):
        notices.record(f"i-{number}/1", ReplicaNotice(1.0), 9.0)
    assert len(notices._states) == MAX_REPLICAS


def test_limit_that_changes_with_each_response_is_logged_once_a_second(caplog):
    caplog.set_level("INFO")
    now = [10.0]
    notices = ReplicaNotices(Metrics("e"), lambda: now[0])
    for number in range(100):
        now[0] += 0.05
        notices.record(BOOT, ReplicaNotice(1.0 + number), now[0])
    assert len(caplog.records) <= 6


class Clock:
    """A clock that tests move, and the notices of an entry that reads it."""

    def __init__(self) -> None:
        self.now = 10.0
        self.metrics = Metrics("e")
        self.notices = ReplicaNotices(self.metrics, lambda: self.now)

    def push_back(self, seconds: float, boot: str = BOOT) -> None:
        self.notices.record(boot, ReplicaNotice(pushback_s=seconds), self.now - 0.1)


def test_pushback_lasts_for_its_time_from_when_it_was_read():
    clock = Clock()
    clock.push_back(3.0)
    clock.now += 2.99
    assert clock.notices.find_pushback(BOOT) == pytest.approx(0.01)
    clock.now += 0.01
    assert clock.notices.find_pushback(BOOT) == 0


@pytest.mark.parametrize(("first_s", "second_s"), [(5.0, 1.0), (1.0, 5.0), (5.0, 0.0)])
def test_shorter_pushback_does_not_end_a_longer_one_whatever_their_order(first_s, second_s):
    clock = Clock()
    clock.push_back(first_s)
    clock.push_back(second_s)
    assert clock.notices.find_pushback(BOOT) == 5.0


def test_pushback_does_not_end_with_the_response_to_another_request():
    clock = Clock()
    clock.push_back(3.0)
    for sent_at in (clock.now - 1.0, clock.now + 0.1):
        clock.notices.record(BOOT, ReplicaNotice(), sent_at)
        clock.notices.record(BOOT, ReplicaNotice(1.0), sent_at)
    assert clock.notices.find_pushback(BOOT) == 3.0


def test_pushback_concerns_neither_the_next_start_nor_another_replica():
    clock = Clock()
    clock.push_back(float("inf"))
    assert clock.notices.find_pushback(BOOT) == float("inf")
    assert clock.notices.find_pushback("i-1/2") == 0
    assert clock.notices.find_pushback("i-2/1") == 0


def test_pushback_of_zero_or_that_cannot_be_read_asks_for_nothing():
    clock = Clock()
    clock.push_back(0.0)
    clock.notices.record(BOOT, ReplicaNotice(malformed_pushback="soon"), clock.now)
    assert clock.notices.find_pushback(BOOT) == 0


def test_time_of_overlapping_pushbacks_is_counted_once():
    clock = Clock()
    clock.push_back(3.0)
    clock.now += 1.0
    clock.push_back(3.0)
    clock.push_back(float("inf"), "i-2/1")
    assert clock.metrics.read("replica_pushback_seconds_total") == 4.0 + 86400.0
    assert clock.metrics.read("replica_pushbacks_total") == 3


def test_pushback_is_logged_with_its_request_at_most_once_a_second(caplog):
    caplog.set_level("INFO")
    now = [10.0]
    notices = ReplicaNotices(Metrics("e"), lambda: now[0])
    for number in range(40):
        now[0] += 0.05
        notices.record(BOOT, ReplicaNotice(pushback_s=3.0), now[0], f"r{number}")
    lines = [r for r in caplog.records if r.message == "replica pushback"]
    assert [(r.replica, r.request, r.pushback_s) for r in lines[:1]] == [(BOOT, "r0", 3.0)]
    assert len(lines) == 2
