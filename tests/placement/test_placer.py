"""Placing and refusing under played loads: what callers get, against plain policies."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from hibiscustray.benchmarks.engines import PROFILE, SimulatedEngine, Work
from hibiscustray.catalog import ServiceEntry
from hibiscustray.placement import (
    Demand,
    LoadReading,
    Placed,
    Placer,
    Refusal,
    RefusalReason,
    WeightsRule,
)
from hibiscustray.placement import placer as placer_module
from hibiscustray.replicas import (
    LayerSpan,
    ReplicaDirectory,
    ReplicaRecord,
    ReplicaState,
    ServedModel,
)

SERVICE = ServiceEntry("guide", engine=PROFILE)
PLAIN = ServiceEntry("booking")
OBJECTIVE_S = 0.5
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
    return Placer(directory, "z", {"z": "r", "y": "r", "x": "q"}, seed="test")


def place(placer: Placer, **changes):
    return placer.place(SERVICE, Demand(977, 94, OBJECTIVE_S, **changes), WeightsRule("m"))


def place_and_begin(placer: Placer) -> Placed:
    """Place a request whose answer begins at once, so that its prompt is read."""
    placed = place(placer)
    assert isinstance(placed, Placed)
    placed.flight.started_at -= placed.flight.predicted_s
    placer.note_first(placed)
    return placed


# Single decisions


def test_no_replica_refuses_at_once():
    refusal = place(make_placer())
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.NO_REPLICA


def test_requests_spread_over_equal_replicas():
    placer = make_placer(*(make_record(n) for n in range(4)))
    chosen = [place_and_begin(placer).replica.id for _ in range(40)]
    assert all(7 <= chosen.count(f"i-{n}") <= 13 for n in range(4))


def test_a_replica_that_others_load_gets_less():
    busy, free = make_record(1), make_record(2)
    placer = make_placer(busy, free)
    placer.note_reading(busy, LoadReading(16, 4, 16))
    assert [place_and_begin(placer).replica.id for _ in range(6)] == ["i-2"] * 6


def test_an_unreachable_replica_rests_and_is_tried_again():
    placer = make_placer(make_record(1))
    placer.fail(place(placer), is_silent=True)
    assert isinstance(place(placer), Refusal)
    CLOCK["now"] += 0.3
    assert isinstance(place(placer), Placed)


def test_a_replica_that_goes_on_refusing_is_asked_less_and_less():
    placer = make_placer(make_record(1))
    waits = []
    for _ in range(6):
        placer.refused_by(place(placer))
        started = CLOCK["now"]
        while isinstance(place(placer), Refusal):
            CLOCK["now"] += 0.01
        waits.append(round(CLOCK["now"] - started, 2))
        for flight in list(placer._load(make_record(1)).flights):
            placer._load(make_record(1)).flights.remove(flight)
    assert waits[0] < 0.1
    assert waits == sorted(waits)
    assert waits[-1] == pytest.approx(0.5, abs=0.02)


def test_a_replica_that_is_not_as_listed_is_left_alone_until_its_entry_changes():
    directory = ReplicaDirectory()
    directory.replace([make_record(1)])
    placer = Placer(directory, "z", {"z": "r"}, seed="test")
    placer.note_outdated(place(placer))
    CLOCK["now"] += 2.0
    directory.update(make_record(1, warmup_left_s=0.5))
    assert isinstance(place(placer), Refusal)
    directory.update(make_record(1, models=(ServedModel("m", 2),), layers=LayerSpan(0, 16, 2)))
    placed = place(placer)
    assert isinstance(placed, Placed)
    assert placed.version == 2


def test_an_entry_that_stays_as_it_was_is_tried_again():
    placer = make_placer(make_record(1))
    placer.note_outdated(place(placer))
    CLOCK["now"] += 3.1
    assert isinstance(place(placer), Placed)


def test_a_replica_that_fails_requests_is_avoided_without_a_health_check():
    placer = make_placer(make_record(1), make_record(2))
    for _ in range(30):
        placed = place_and_begin(placer)
        if placed.replica.id == "i-1":
            placer.fail(placed)
        else:
            placer.finish(placed, SERVICE)
    chosen = [place_and_begin(placer).replica.id for _ in range(4)]
    assert chosen.count("i-2") >= 3


def test_a_restarted_replica_is_judged_anew():
    placer = make_placer(make_record(1, born_ms=1))
    for _ in range(5):
        placer.fail(place(placer))
        placer.note_version(make_record(1, born_ms=1), 7)
    fresh = make_record(1, born_ms=2)
    assert placer._load(fresh).failure_share(CLOCK["now"]) == 0.0
    assert placer._load(fresh).version == 0


def test_a_request_that_cannot_be_answered_in_its_time_is_refused_at_once():
    placer = make_placer(make_record(1))
    refusal = place(placer, time_left_s=0.01)
    assert refusal.reason is RefusalReason.HOPELESS


def test_only_replicas_at_the_required_version_are_chosen():
    old = make_record(1)
    new = make_record(2, models=(ServedModel("m", 2),), layers=LayerSpan(0, 16, 2))
    placer = make_placer(old, new)
    for _ in range(6):
        placed = placer.place(SERVICE, Demand(977, 94, OBJECTIVE_S), WeightsRule("m", 2))
        assert placed.replica.id == "i-2"


def place_before_swap(placer: Placer, left_s: float) -> str:
    rule = WeightsRule("m", required=0, newest=2, time_left_s=left_s)
    placed = placer.place(SERVICE, Demand(977, 94, OBJECTIVE_S), rule)
    assert isinstance(placed, Placed)
    placer.give_back(placed)
    return placed.replica.id


def test_half_of_the_replicas_end_their_requests_before_a_swap_and_the_others_serve():
    placer = make_placer(*(make_record(n) for n in range(4)))
    assert {place_before_swap(placer, 3.0) for _ in range(40)} == {"i-0", "i-1", "i-2", "i-3"}
    assert {place_before_swap(placer, 2.0) for _ in range(40)} == {"i-1", "i-3"}


def test_a_replica_with_the_new_weights_or_without_others_does_not_rest():
    new = make_record(2, models=(ServedModel("m", 2),), layers=LayerSpan(0, 16, 2))
    assert place_before_swap(make_placer(new), 2.0) == "i-2"
    assert place_before_swap(make_placer(make_record(2)), 2.0) == "i-2"


def test_plain_calls_take_the_least_loaded_replica_and_then_the_nearest():
    near, far = make_record(1, "booking", slots=6), make_record(2, "booking", "x", slots=6)
    placer = make_placer(near, far)
    chosen = [placer.place(PLAIN, Demand(objective_s=0.2)).replica.id for _ in range(8)]
    assert chosen[0] == "i-1"
    assert 3 <= chosen.count("i-1") <= 5


def test_callers_refused_together_come_back_spread_out():
    placer = make_placer(make_record(1))
    placer.note_reading(make_record(1), LoadReading(16, 12, 16))
    waits = {round(place(placer).retry_after_s, 3) for _ in range(20)}
    assert len(waits) > 10
    assert all(0.2 <= wait <= 4.0 for wait in waits)


# Played loads


@dataclass
class Outcome:
    """Shares of the callers of a played load."""

    in_time: float
    late: float
    refused: float


def play(rate: float, choose, replicas: int = 5, seconds: float = 20.0, slow: int = 0) -> Outcome:
    """Play arrivals at a rate over simulated engines; `choose` returns an engine or None."""
    rng = random.Random(7)
    engines = {f"i-{n}": SimulatedEngine(PROFILE) for n in range(replicas)}
    for number in range(slow):
        engine = engines[f"i-{number}"]
        engine.profile = type(PROFILE)(
            **{**vars(PROFILE), "step_s": PROFILE.step_s * 4, "prompt_tokens_per_s": 4800.0}
        )
    now, sent, refused = 0.0, [], 0
    while now < seconds:
        now += rng.expovariate(rate)
        CLOCK["now"] = 1000.0 + now
        for engine in engines.values():
            engine.advance(now)
        prompt = min(3880.0, rng.lognormvariate(6.5, 0.8))
        output = min(260.0, rng.lognormvariate(4.3, 0.7))
        name = choose(prompt, output, engines, sent)
        if name is None:
            refused += 1
            continue
        sent.append((name, engines[name].submit(max(now, engines[name].clock), prompt, output)))
    for engine in engines.values():
        engine.advance(now + 60.0)
    return summarize([work for _, work in sent], refused)


def summarize(works: list[Work], refused: int) -> Outcome:
    total = len(works) + refused
    firsts = [w.first_at - w.arrived_at for w in works if w.first_at is not None]
    in_time = sum(first <= OBJECTIVE_S for first in firsts)
    return Outcome(in_time / total, (len(firsts) - in_time) / total, refused / total)


class PlacedChooser:
    """Chooses by the placer under test, which hears of events only as an entry would."""

    def __init__(self, replicas: int) -> None:
        self.placer = make_placer(*(make_record(n) for n in range(replicas)))
        self.open: list[tuple[Placed, Work | int]] = []

    def __call__(self, prompt, output, engines, sent):
        self._learn(sent, engines)
        placed = self.placer.place(SERVICE, Demand(prompt, output, OBJECTIVE_S), WeightsRule("m"))
        if isinstance(placed, Refusal):
            return None
        self.open.append((placed, len(sent)))
        return placed.replica.id

    def _learn(self, sent, engines):
        for number, (placed, index) in enumerate(self.open):
            if isinstance(index, int):
                self.open[number] = (placed, sent[index][1])
        for placed, work in list(self.open):
            if work.first_at is not None and placed.flight.first_at is None:
                self.placer.note_first(placed)
            if work.ended_at is not None:
                self.placer.finish(placed, SERVICE)
                self.open.remove((placed, work))


class ManyEntries:
    """Callers come to one of several entries, each of which knows a replica by its own answers."""

    def __init__(self, entries: int, replicas: int) -> None:
        self.entries = [_ReadingChooser(replicas) for _ in range(entries)]
        self.random = random.Random(5)

    def __call__(self, prompt, output, engines, sent):
        return self.random.choice(self.entries)(prompt, output, engines, sent)


class _ReadingChooser(PlacedChooser):
    """One entry; a replica tells its load with the head of each answer."""

    def _learn(self, sent, engines):
        for number, (placed, index) in enumerate(self.open):
            if isinstance(index, int):
                self.open[number] = (placed, sent[index][1])
        for placed, work in list(self.open):
            if work.first_at is not None and placed.flight.first_at is None:
                engine = engines[placed.replica.id]
                running = min(PROFILE.slots, engine.count)
                reading = LoadReading(running, engine.count - running, PROFILE.slots)
                self.placer.note_reading(placed.replica, reading)
                self.placer.note_first(placed)
            if work.ended_at is not None:
                self.placer.finish(placed, SERVICE)
                self.open.remove((placed, work))


def choose_at_random():
    rng = random.Random(3)
    return lambda prompt, output, engines, sent: rng.choice(sorted(engines))


def choose_least(prompt, output, engines, sent):
    return min(sorted(engines), key=lambda name: engines[name].count)


@pytest.mark.parametrize("rate", [60.0, 80.0])
def test_beyond_capacity_more_callers_are_served_in_time_than_by_plain_policies(rate):
    ours = play(rate, PlacedChooser(5))
    assert ours.in_time > play(rate, choose_least).in_time + 0.1
    assert ours.in_time > play(rate, choose_at_random()).in_time + 0.1
    assert ours.late < 0.15


def test_within_capacity_nobody_is_refused():
    ours = play(25.0, PlacedChooser(5))
    assert ours.refused == 0.0
    assert ours.in_time > 0.97


def test_a_slow_replica_takes_few_callers_with_it():
    ours = play(25.0, PlacedChooser(5), slow=1)
    assert ours.in_time > play(25.0, choose_at_random(), slow=1).in_time + 0.1
    assert ours.in_time > 0.85


@pytest.mark.parametrize("entries", [1, 4, 12])
def test_many_entries_with_few_answers_each_do_not_let_in_too_many(entries):
    ours = play(240.0, ManyEntries(entries, 20), replicas=20)
    assert ours.late < 0.15
    assert ours.in_time > 0.4
