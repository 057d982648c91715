"""Placement and admission: single decisions, and simulated loads against baseline policies."""

from __future__ import annotations

import pytest

from hibiscustray.benchmarks.engines import PROFILE
from hibiscustray.benchmarks.placement import POLICIES, CallerShares, Load, run_load
from hibiscustray.catalog import SEND_LEAD_S, ServiceEntry
from hibiscustray.placement import (
    Demand,
    LoadReport,
    Placement,
    Placer,
    Refusal,
    RefusalReason,
    WeightsConstraint,
)
from hibiscustray.placement import placer as placer_module
from hibiscustray.replicas import (
    LayerSpan,
    ReplicaDirectory,
    ReplicaNotices,
    ReplicaRecord,
    ReplicaState,
    ServedModel,
)
from hibiscustray.telemetry import Metrics

SERVICE = ServiceEntry("guide", engine=PROFILE)
PLAIN = ServiceEntry("booking")
OBJECTIVE_S = 0.5
SIMULATED_S = 20.0
CLOCK = {"now": 0.0}


@pytest.fixture(autouse=True)
def clock(monkeypatch):
    CLOCK["now"] = 1000.0
    monkeypatch.setattr(placer_module.time, "monotonic", lambda: CLOCK["now"])


def make_record(number: int, service: str = "guide", zone: str = "z", **changes) -> ReplicaRecord:
    values = {
        "id": f"i-{number}",
        "service": service,
        "address": f"10.0.0.{number}:80",
        "availability_zone": zone,
        "slots": 16,
        "state": ReplicaState.READY,
        "models": (ServedModel("m", 1),) if service == "guide" else (),
        "layers": LayerSpan(0, 16, 1) if service == "guide" else None,
    }
    return ReplicaRecord(**(values | changes))


def make_placer(*records: ReplicaRecord) -> Placer:
    directory = ReplicaDirectory()
    directory.replace(records)
    return Placer(
        directory, ReplicaNotices(Metrics("test")), "z", {"z": "r", "y": "r", "x": "q"}, seed="test"
    )


def place(placer: Placer, **changes):
    return placer.place(SERVICE, Demand(977, 94, OBJECTIVE_S, **changes), WeightsConstraint("m"))


def place_and_begin(placer: Placer) -> Placement:
    """Place a request whose response begins at once, so that its prompt is not queued."""
    placed = place(placer)
    assert isinstance(placed, Placement)
    placed.in_flight.started_at -= placed.in_flight.predicted_s
    placer.record_response_start(placed)
    return placed


# Single decisions


def test_request_without_a_replica_is_refused_at_once():
    refusal = place(make_placer())
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.NO_REPLICA


def test_requests_are_spread_over_equal_replicas():
    placer = make_placer(*(make_record(n) for n in range(4)))
    chosen = [place_and_begin(placer).replica.id for _ in range(40)]
    assert all(7 <= chosen.count(f"i-{n}") <= 13 for n in range(4))


def test_a_replica_loaded_by_other_entries_gets_fewer_requests():
    busy, free = make_record(1), make_record(2)
    placer = make_placer(busy, free)
    placer.record_load(busy, LoadReport(16, 4, 16))
    assert [place_and_begin(placer).replica.id for _ in range(6)] == ["i-2"] * 6


def test_an_unreachable_replica_is_retried_after_a_backoff():
    placer = make_placer(make_record(1))
    placer.record_failure(place(placer), is_silent=True)
    assert isinstance(place(placer), Refusal)
    CLOCK["now"] += 0.3
    assert isinstance(place(placer), Placement)


def test_silent_replica_is_used_again_with_its_first_sign_of_life():
    placer = make_placer(make_record(1))
    placement = place(placer)
    placer.record_silence(placement)
    assert isinstance(place(placer), Refusal)
    placer.end_silence(placement)
    assert isinstance(place(placer), Placement)


def test_silent_replica_gets_requests_after_its_backoff_only_if_there_is_no_other():
    """Guards against requests that wait one behind the other on a congested link (GONE)."""
    placer = make_placer(make_record(1), make_record(2))
    placement = place(placer)
    placer.record_silence(placement)
    CLOCK["now"] += 10.0
    others = {place_and_begin(placer).replica.id for _ in range(10)}
    assert others == {"i-1", "i-2"} - {placement.replica.id}
    placer.release(placement)
    assert place(placer).replica.id == placement.replica.id
    alone = make_placer(make_record(1))
    alone.record_silence(place(alone))
    CLOCK["now"] += 10.0
    assert isinstance(place(alone), Placement)


def test_silence_does_not_count_in_the_duration_of_plain_calls():
    placer = make_placer(make_record(1, "booking"))
    placement = placer.place(PLAIN, Demand())
    placer.record_silence(placement)
    CLOCK["now"] += 1.9
    placer.end_silence(placement)
    placer.record_success(placement, PLAIN)
    after = placer.place(PLAIN, Demand())
    assert after.in_flight.predicted_s == placement.in_flight.predicted_s


def test_the_backoff_grows_with_consecutive_rejections():
    placer = make_placer(make_record(1))
    waits = []
    for _ in range(6):
        placer.record_rejection(place(placer))
        started = CLOCK["now"]
        while isinstance(place(placer), Refusal):
            CLOCK["now"] += 0.01
        waits.append(round(CLOCK["now"] - started, 2))
        for in_flight in list(placer._get_load(make_record(1)).in_flight_requests):
            placer._get_load(make_record(1)).in_flight_requests.remove(in_flight)
    assert waits[0] < 0.1
    assert waits == sorted(waits)
    assert waits[-1] == pytest.approx(0.5, abs=0.02)


def test_a_replica_with_a_stale_record_is_not_chosen_until_the_record_changes():
    directory = ReplicaDirectory()
    directory.replace([make_record(1)])
    placer = Placer(directory, ReplicaNotices(Metrics("test")), "z", {"z": "r"}, seed="test")
    placer.mark_stale(place(placer))
    CLOCK["now"] += 2.0
    directory.update(make_record(1, warmup_left_s=0.5))
    assert isinstance(place(placer), Refusal)
    directory.update(make_record(1, models=(ServedModel("m", 2),), layers=LayerSpan(0, 16, 2)))
    placed = place(placer)
    assert isinstance(placed, Placement)
    assert placed.version == 2


def test_an_unchanged_stale_record_is_used_again_after_three_seconds():
    placer = make_placer(make_record(1))
    placer.mark_stale(place(placer))
    CLOCK["now"] += 3.1
    assert isinstance(place(placer), Placement)


def test_a_failing_replica_is_avoided_without_a_health_check():
    placer = make_placer(make_record(1), make_record(2))
    for _ in range(30):
        placed = place_and_begin(placer)
        if placed.replica.id == "i-1":
            placer.record_failure(placed)
        else:
            placer.record_success(placed, SERVICE)
    chosen = [place_and_begin(placer).replica.id for _ in range(4)]
    assert chosen.count("i-2") >= 3


def test_a_restarted_replica_starts_with_fresh_statistics():
    placer = make_placer(make_record(1, born_ms=1))
    for _ in range(5):
        placer.record_failure(place(placer))
        placer.record_version(make_record(1, born_ms=1), 7)
    fresh = make_record(1, born_ms=2)
    assert placer._get_load(fresh).failure_rate(CLOCK["now"]) == 0.0
    assert placer._get_load(fresh).version == 0


def test_a_request_that_would_miss_its_deadline_is_refused_at_once():
    placer = make_placer(make_record(1))
    refusal = place(placer, time_left_s=0.01)
    assert refusal.reason is RefusalReason.DEADLINE_TOO_SHORT


def test_only_replicas_at_the_required_version_are_chosen():
    old = make_record(1)
    new = make_record(2, models=(ServedModel("m", 2),), layers=LayerSpan(0, 16, 2))
    placer = make_placer(old, new)
    for _ in range(6):
        placed = placer.place(SERVICE, Demand(977, 94, OBJECTIVE_S), WeightsConstraint("m", 2))
        assert placed.replica.id == "i-2"


def place_before_swap(placer: Placer, left_s: float) -> str:
    constraint = WeightsConstraint("m", required=0, newest=2, time_left_s=left_s)
    placed = placer.place(SERVICE, Demand(977, 94, OBJECTIVE_S), constraint)
    assert isinstance(placed, Placement)
    placer.release(placed)
    return placed.replica.id


def test_half_of_the_replicas_get_no_requests_before_a_weights_swap():
    placer = make_placer(*(make_record(n) for n in range(4)))
    assert {place_before_swap(placer, 3.0) for _ in range(40)} == {"i-0", "i-1", "i-2", "i-3"}
    assert {place_before_swap(placer, 2.0) for _ in range(40)} == {"i-1", "i-3"}


def test_first_wave_gets_no_requests_while_the_other_old_weights_still_do():
    placer = make_placer(*(make_record(n) for n in range(4)))
    left_s = SEND_LEAD_S + 0.2
    assert {place_before_swap(placer, left_s) for _ in range(40)} == {"i-1", "i-3"}


def test_a_replica_with_the_new_weights_or_the_only_replica_still_gets_requests():
    new = make_record(2, models=(ServedModel("m", 2),), layers=LayerSpan(0, 16, 2))
    assert place_before_swap(make_placer(new), 2.0) == "i-2"
    assert place_before_swap(make_placer(make_record(2)), 2.0) == "i-2"


def test_plain_calls_go_to_the_nearest_of_the_least_loaded_replicas():
    near, far = make_record(1, "booking", slots=6), make_record(2, "booking", "x", slots=6)
    placer = make_placer(near, far)
    chosen = [placer.place(PLAIN, Demand(objective_s=0.2)).replica.id for _ in range(8)]
    assert chosen[0] == "i-1"
    assert 3 <= chosen.count("i-1") <= 5


def test_plain_calls_that_a_frozen_process_read_late_do_not_cause_refusals_forever():
    placer = make_placer(make_record(1, "booking"))
    placements = [placer.place(PLAIN, Demand(objective_s=0.2)) for _ in range(8)]
    CLOCK["now"] += 4.0
    for placement in placements:
        placer.record_success(placement, PLAIN)
    CLOCK["now"] += 10.0
    placed = placer.place(PLAIN, Demand(objective_s=0.2, time_left_s=1.0))
    assert isinstance(placed, Placement)


def test_retry_times_of_callers_refused_together_are_spread():
    placer = make_placer(make_record(1))
    placer.record_load(make_record(1), LoadReport(16, 12, 16))
    waits = {round(place(placer).retry_after_s, 3) for _ in range(20)}
    assert len(waits) > 10
    assert all(0.2 <= wait <= 4.0 for wait in waits)


# Simulated loads


def simulate_policy(policy: str, load: Load) -> CallerShares:
    return run_load(load, POLICIES[policy](load), SIMULATED_S, SimulatedClock())


class SimulatedClock:
    """Advances the simulated monotonic clock."""

    def now(self) -> float:
        return CLOCK["now"]

    def wait_until(self, at: float) -> None:
        CLOCK["now"] = max(CLOCK["now"], at)


@pytest.mark.parametrize("rate", [60.0, 80.0])
def test_more_callers_are_served_in_time_under_overload_than_by_baseline_policies(rate):
    load = Load("steady", rate, 5)
    result = simulate_policy("hibiscustray", load)
    for baseline in ("least-requests", "random"):
        assert result.in_time > simulate_policy(baseline, load).in_time + 0.1
    assert result.late < 0.15


def test_no_request_is_refused_below_capacity():
    result = simulate_policy("hibiscustray", Load("steady", 25.0, 5))
    assert result.refused == 0.0
    assert result.in_time > 0.97


def test_a_slow_replica_delays_few_callers():
    load = Load("steady", 25.0, 5, slow_replicas=1)
    result = simulate_policy("hibiscustray", load)
    assert result.in_time > simulate_policy("random", load).in_time + 0.1
    assert result.in_time > 0.85


@pytest.mark.parametrize("entries", [1, 4, 12])
def test_many_entries_with_few_load_reports_each_do_not_admit_too_many_requests(entries):
    result = simulate_policy("hibiscustray", Load("steady", 240.0, 20, entries=entries))
    assert result.late < 0.15
    assert result.in_time > 0.4
