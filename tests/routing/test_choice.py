"""Replicas are chosen by load, health, availability zone, prompt prefix and subset."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from hibiscustray.deployments import Deployment, Service, Version
from hibiscustray.exceptions import NoReplica
from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord
from hibiscustray.requests import Estimate
from hibiscustray.routing.choice import ReplicaChooser
from hibiscustray.routing.health import AttemptProgress, ReplicaHealth
from hibiscustray.routing.policies import Adaptive, LeastOutstanding, RoundRobin
from hibiscustray.routing.subset import select_subset

BOOKING = Service("booking", kind="plain")


class FixedConfiguration:
    """A configuration that is active from the start."""

    deployment = Deployment("test", services=(BOOKING,))


def make_member(index: int, zone: str = "akl-a", role: str = "agent") -> MemberRecord:
    """Return a live member of the booking service."""
    return MemberRecord(
        id=f"{role}-{index}",
        role=role,
        region=zone[:3],
        availability_zone=zone,
        peer_address=f"127.0.0.1:{index + 1}",
        http_url="",
        incarnation=1,
        service="booking",
    )


def make_chooser(policy, zones: list[str]) -> ReplicaChooser:
    """Return a chooser of an entry in akl-a with one replica per listed zone."""
    view = MemberView(make_member(0, role="entry"))
    view.merge(make_member(index, zone) for index, zone in enumerate(zones))
    return ReplicaChooser(view, FixedConfiguration(), policy, "seed")


def run_one(chooser: ReplicaChooser, seconds: float, estimate: Estimate | None = None) -> str:
    """Complete an attempt that took `seconds`; return the id of its replica."""
    choice = chooser.choose(BOOKING, set(), estimate=estimate)
    choice.progress.started_at -= seconds
    chooser.release(choice, is_complete=True)
    return choice.member.id


def test_round_robin_uses_each_replica_equally():
    chooser = make_chooser(RoundRobin(), ["akl-a"] * 3)
    chosen = Counter(chooser.choose(BOOKING, set()).member.id for _ in range(9))
    assert set(chosen.values()) == {3}


@pytest.mark.parametrize("policy", [LeastOutstanding(), Adaptive(24)])
def test_outstanding_work_is_spread(policy):
    chooser = make_chooser(policy, ["akl-a"] * 4)
    chosen = Counter(chooser.choose(BOOKING, set()).member.id for _ in range(12))
    assert max(chosen.values()) <= 4


def test_excluded_replicas_are_not_chosen():
    chooser = make_chooser(Adaptive(24), ["akl-a"] * 2)
    assert chooser.choose(BOOKING, {"agent-0"}).member.id == "agent-1"
    with pytest.raises(NoReplica):
        chooser.choose(BOOKING, {"agent-0", "agent-1"})


def test_outlier_gets_no_more_attempts():
    chooser = make_chooser(Adaptive(24), ["akl-a"] * 6)
    for _ in range(60):
        run_one(chooser, 0.5)
    stuck = chooser.choose(BOOKING, set())
    stuck.progress.started_at -= 5.0
    chosen = {run_one(chooser, 0.5) for _ in range(60)}
    assert stuck.member.id not in chosen


def test_probe_schedule_of_slow_replica_restarts_after_reset():
    health = ReplicaHealth()
    assert not health.try_probe(0.0)
    assert health.try_probe(5.0)
    assert not health.try_probe(6.0)
    health.reset_probes()
    assert not health.try_probe(7.0)


def test_stalled_stream_raises_time_per_token_before_it_ends():
    health = ReplicaHealth()
    progress = AttemptProgress("agent-0", 100, True, started_at=0.0, last_payload_at=0.0)
    health.add_attempt(progress)
    progress.record_payloads(3, 0.1)
    assert health.estimate_time_per_token(0.03, 0.2) == 0.03
    assert health.estimate_time_per_token(0.03, 0.6) > 0.3


def test_own_zone_is_preferred_until_loaded():
    chooser = make_chooser(Adaptive(24), ["akl-a", "wlg-a", "wlg-a"])
    choices = [chooser.choose(BOOKING, set()).member.availability_zone for _ in range(10)]
    assert choices[0] == "akl-a"
    assert "wlg-a" in choices


def test_replica_loaded_by_other_entries_is_avoided():
    chooser = make_chooser(Adaptive(24), ["akl-a"] * 3)
    chooser.record_load("agent-0", 4, 0)
    chooser.record_load("agent-1", 4, 0)
    assert chooser.choose(BOOKING, set()).member.id == "agent-2"
    assert chooser.compute_capacity(BOOKING) == 4


def test_requests_with_common_prefix_share_replica_until_it_is_loaded():
    chooser = make_chooser(Adaptive(24), ["akl-a"] * 6)
    estimate = Estimate(100, 32, prefix=12345)
    assert len({run_one(chooser, 0.5, estimate) for _ in range(20)}) == 1
    chosen = Counter(chooser.choose(BOOKING, set(), estimate=estimate).member.id for _ in range(12))
    assert max(chosen.values()) <= 4


@given(size=st.integers(1, 8), count=st.integers(1, 30), lost=st.integers(0, 29))
def test_subset_is_bounded_and_changes_by_at_most_one(size, count, lost):
    members = [make_member(index) for index in range(count)]
    before = select_subset(members, "entry-0", size)
    remaining = [member for member in members if member.id != f"agent-{lost}"]
    after = select_subset(remaining, "entry-0", size)
    assert len(before) == min(size, count)
    assert len({m.id for m in before} - {m.id for m in after}) <= 1


def make_updated_deployment(serves_previous: bool, versions: tuple[str, ...]) -> Deployment:
    """Return a deployment whose model service uses the last of the versions."""
    service = Service("guide", version=versions[-1], serves_previous=serves_previous)
    listed = tuple(Version(name, "guide", name * 32) for name in versions)
    return Deployment("test", listed, (service,))


@pytest.mark.parametrize(
    ("serves_previous", "versions", "expected"),
    [
        (True, ("v2",), {"agent-0", "agent-1"}),
        (False, ("v2",), {"agent-1"}),
        (False, ("v1", "v2"), {"agent-0", "agent-1"}),
    ],
)
def test_request_of_earlier_revision_follows_active_revision(serves_previous, versions, expected):
    view = MemberView(make_member(0, role="entry"))
    for index, serving in enumerate(("v1" * 32, "v2" * 32, "-")):
        view.merge([structs.replace(make_member(index), service="guide", serving=serving)])
    configuration = FixedConfiguration()
    configuration.deployment = make_updated_deployment(serves_previous, versions)
    chooser = ReplicaChooser(view, configuration, RoundRobin(), "seed")
    earlier = Service("guide", version="v0")
    assert {chooser.choose(earlier, set()).member.id for _ in range(6)} == expected
