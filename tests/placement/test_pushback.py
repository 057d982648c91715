"""Placement while replicas want no requests for some time."""

from __future__ import annotations

import pytest

from hibiscustray.benchmarks.engines import PROFILE
from hibiscustray.catalog import ServiceEntry
from hibiscustray.placement import (
    Demand,
    Placement,
    Placer,
    Refusal,
    RefusalReason,
    WeightsConstraint,
)
from hibiscustray.placement import placer as placer_module
from hibiscustray.placement.refusal import MAX_PUSHBACK_RETRY_AFTER_S, PUSHBACK_SPREAD_S
from hibiscustray.replicas import ReplicaDirectory, ReplicaNotice, ReplicaNotices, ServedModel
from hibiscustray.telemetry import Metrics
from tests.placement.test_placer import make_record

ENGINE = ServiceEntry("guide", engine=PROFILE)
PLAIN = ServiceEntry("booking")


class Site:
    """Replicas of one service, and the placer of an entry, over a fake clock."""

    def __init__(self, count: int, service: ServiceEntry = PLAIN, seed: str = "test") -> None:
        self.now = 1000.0
        self.service = service
        self.records = [make_record(n, service.name) for n in range(count)]
        self.directory = ReplicaDirectory()
        self.directory.replace(self.records)
        self.notices = ReplicaNotices(Metrics("e"), lambda: self.now)
        self.placer = Placer(self.directory, self.notices, "z", {"z": "r"}, seed=seed)

    def push_back(self, number: int, seconds: float, limit_per_s: float | None = None) -> None:
        boot = self.records[number].boot
        self.notices.record(boot, ReplicaNotice(limit_per_s, pushback_s=seconds), self.now)

    def place(self, required: int = 0, excluded: tuple[str, ...] = ()) -> Placement | Refusal:
        model = "m" if self.service.engine is not None else ""
        demand = Demand(977, 94, 0.5) if model else Demand()
        weights = WeightsConstraint(model, required, required)
        return self.placer.place(self.service, demand, weights, excluded)


@pytest.fixture
def make_site(monkeypatch):
    """Return a function that makes a site whose clock the placer reads, too."""

    def make(*arguments, **options) -> Site:
        site = Site(*arguments, **options)
        monkeypatch.setattr(placer_module.time, "monotonic", lambda: site.now)
        return site

    return make


@pytest.mark.parametrize("service", [ENGINE, PLAIN], ids=["engine", "plain"])
def test_refusal_tells_when_the_first_of_the_replicas_that_push_back_is_back(make_site, service):
    site = make_site(3, service)
    for number, seconds in enumerate((9.0, 4.0, 6.0)):
        site.push_back(number, seconds)
    site.now += 1.0
    refusals = [site.place() for _ in range(50)]
    assert {refusal.reason for refusal in refusals} == {RefusalReason.PUSHED_BACK}
    assert {refusal.first_back for refusal in refusals} == {site.records[1].boot}
    times_s = sorted(refusal.retry_after_s for refusal in refusals)
    assert 3.0 <= times_s[0] < times_s[-1] <= 3.0 + PUSHBACK_SPREAD_S
    assert times_s[-1] - times_s[0] > 0.8 * PUSHBACK_SPREAD_S
    site.now += 3.0
    assert site.place().replica.id == "i-1"


def test_replica_in_a_short_backoff_is_back_before_those_that_push_back(make_site):
    site = make_site(2)
    placement = site.place()
    site.push_back(1 - int(placement.replica.id[2:]), 9.0)
    site.placer.record_rejection(placement)
    refusal = site.place()
    assert refusal.reason is RefusalReason.PUSHED_BACK
    assert refusal.retry_after_s <= 0.2 + PUSHBACK_SPREAD_S


def test_refusal_does_not_name_a_pushback_while_another_replica_takes_requests(make_site):
    site = make_site(2)
    site.push_back(0, 9.0)
    refusal = site.place(excluded=("i-1",))
    assert refusal.reason is RefusalReason.NO_REPLICA
    assert refusal.retry_after_s < 1.0


def test_replica_that_a_request_was_tried_at_counts_in_the_time_of_the_first_return(make_site):
    site = make_site(2)
    site.push_back(0, 2.0)
    site.push_back(1, 9.0)
    assert 2.0 <= site.place(excluded=("i-0",)).retry_after_s <= 2.0 + PUSHBACK_SPREAD_S


def test_infinite_pushback_is_told_to_callers_as_a_finite_time(make_site):
    site = make_site(1)
    site.push_back(0, float("inf"))
    told_s = site.place().retry_after_s
    assert MAX_PUSHBACK_RETRY_AFTER_S <= told_s <= MAX_PUSHBACK_RETRY_AFTER_S + PUSHBACK_SPREAD_S


def test_refusal_tells_that_other_replicas_load_the_required_weights(make_site):
    site = make_site(3, ENGINE)
    new = make_record(0, models=(ServedModel("m", 2),))
    site.records[0] = new
    site.directory.update(new)
    site.push_back(0, 9.0)
    refusal = site.place(required=2)
    assert (refusal.reason, refusal.is_swapping) == (RefusalReason.PUSHED_BACK, True)
    assert refusal.candidates == 1
    assert isinstance(site.place(), Placement)


def test_used_up_limit_and_pushback_are_told_as_the_first_return(make_site):
    site = make_site(2)
    site.push_back(0, 0.5)
    site.notices.record(site.records[1].boot, ReplicaNotice(0.01), site.now)
    refusal = site.place()
    assert refusal.reason is RefusalReason.LIMITED
    assert refusal.retry_after_s <= 1.0


def test_pushback_neither_counts_as_a_failure_nor_lasts_longer_than_its_time(make_site):
    site = make_site(1)
    for _ in range(8):
        placement = site.place()
        site.push_back(0, 0.6)
        site.placer.record_rejection(placement)
        assert isinstance(site.place(), Refusal)
        site.now += 0.6
    load = site.placer._get_load(site.records[0])
    assert isinstance(site.place(), Placement)
    assert (load.failure_rate(site.now), load.slowdown) == (0.0, 1.0)


def test_replica_that_names_next_to_no_time_is_left_alone_for_a_growing_backoff(make_site):
    site = make_site(1)
    placed = 0
    end = site.now + 3.0
    while site.now < end:
        placement = site.place()
        if isinstance(placement, Placement):
            placed += 1
            site.push_back(0, 0.001)
            site.placer.record_rejection(placement)
        site.now += 0.01
    assert placed <= 10
