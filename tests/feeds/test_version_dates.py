"""When a target version counts as set, by the way in which it was learnt."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest

from hibiscustray.catalog import MAX_DATING_ERROR_S
from hibiscustray.feeds.dating import (
    MAX_CALL_DELAY_S,
    MAX_CALL_GAP_S,
    MAX_RESPONSE_S,
)
from tests.feeds.simulated_store import (
    CALL_S,
    WAIT_S,
    Call,
    Span,
    World,
    find_set_at,
    make_far_writer,
    make_near_writer,
    run_follower,
)

SLACK_S = 0.01
NEVER = float("inf")
EVER = Span(0.0, NEVER)
PAUSE_S = 3.5
VERSION = 2
STEP_S = 0.13
"""Step between the times, relative to what lies between, at which the version is set."""


# Guards against requests on outdated weights: a slow call after a pause counted as having waited.
def test_version_set_in_a_pause_before_a_slow_call_is_not_dated_by_its_response(monkeypatch):
    world = World(versions=[(2.0, 3, 2.0), (2.2, 4, 2.2)], pauses=[Span(2.01, 5.5)])
    world.call_delays = [(Span(5.5, 5.6), 0.7)]
    versions = run_follower(world, monkeypatch, make_near_writer)
    assert find_set_at(versions, 3) <= 2.0 + SLACK_S
    assert find_set_at(versions, 4) <= 2.2 + SLACK_S


# Guards against more calls to the store, which are priced.
def test_only_the_first_call_after_a_gap_does_not_wait(monkeypatch):
    world = World(versions=[(2.0, 3, 2.0), (7.0, 4, 7.0)], pauses=[Span(4.7, 6.1)])
    run_follower(world, monkeypatch, make_near_writer)
    polls = [call.called_at for call in world.calls[1:] if not call.wait_s]
    assert polls == [pytest.approx(6.1, abs=SLACK_S)]


def test_process_whose_calls_all_follow_a_gap_makes_no_more_calls(monkeypatch):
    world = World(response_delays=[(Span(3.0, 12.0), 0.7)])
    run_follower(world, monkeypatch, make_near_writer)
    assert len([call for call in world.calls[1:] if not call.wait_s]) == 1


@pytest.mark.parametrize("wait_s", [WAIT_S, 2.5])
def test_version_that_ends_a_wait_counts_as_set_by_its_response(wait_s, monkeypatch):
    for tenths in range(9, int(10 * wait_s)):
        world = World(versions=[(tenths / 10 + 0.05, VERSION, NEVER)])
        make = replace_wait(make_near_writer, wait_s)
        versions = run_follower(world, monkeypatch, make)
        assert find_set_at(versions, VERSION) == pytest.approx(tenths / 10 + 0.05, abs=SLACK_S)


# Guards against requests on outdated weights: a call late on its way counted as having waited.
@pytest.mark.parametrize("delay_s", [0.05, 0.2, 0.3, 0.5, 0.75, MAX_CALL_DELAY_S - SLACK_S])
def test_version_set_while_a_call_is_under_way_is_not_dated_by_its_response(delay_s, monkeypatch):
    for set_at in [1.6 + 0.03 * step for step in range(50)]:
        world = World(versions=[(set_at, VERSION, NEVER)], call_delays=[(EVER, delay_s)])
        versions = run_follower(world, monkeypatch, make_near_writer)
        assert find_set_at(versions, VERSION) <= set_at + MAX_DATING_ERROR_S


def test_version_is_dated_late_by_at_most_the_delay_of_a_later_call_and_its_gap(monkeypatch):
    errors = []
    for delay_s, step in itertools.product([0.9, 1.2, 1.6, 2.0], range(40)):
        world = World(versions=[(1.6 + 0.05 * step, VERSION, NEVER)])
        world.call_delays.append((EVER, delay_s))
        versions = run_follower(world, monkeypatch, make_near_writer)
        errors.append(find_set_at(versions, VERSION) - 1.6 - 0.05 * step)
        assert errors[-1] <= delay_s + MAX_CALL_GAP_S
    assert MAX_CALL_DELAY_S < max(errors) <= WAIT_S + MAX_RESPONSE_S


# Guards against requests on outdated weights: the store's clock was set and its response late.
@pytest.mark.parametrize("jump_s", [-300.0, -0.4, 300.0])
def test_version_is_not_dated_by_a_late_response_after_the_clock_was_set(jump_s, monkeypatch):
    for set_at in [1.6 + 0.03 * step for step in range(50)]:
        world = World(versions=[(set_at, VERSION, NEVER)], clock_jumps=[(1.58, jump_s)])
        world.response_delays.append((Span(1.58, 3.1), 0.7))
        versions = run_follower(world, monkeypatch, make_near_writer)
        assert find_set_at(versions, VERSION) <= set_at + MAX_DATING_ERROR_S


# Guards against requests on outdated weights: failed calls after a pause hid how old a version was.
@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_version_set_in_a_pause_before_failed_calls_is_as_old_as_the_pause(count, monkeypatch):
    calm = World()
    run_follower(calm, monkeypatch, make_near_writer)
    read_at = calm.calls[2].read_at
    for step in range(36):
        set_at = read_at + 0.1 * step
        world = World(versions=[(set_at, VERSION, NEVER)], failures=[(read_at + 0.001, count)])
        world.pauses.append(Span(read_at + 0.0005, read_at + PAUSE_S))
        versions = run_follower(world, monkeypatch, make_near_writer)
        assert find_set_at(versions, VERSION) <= set_at + MAX_DATING_ERROR_S


def replace_wait(make: Callable, wait_s: float) -> Callable:
    def make_with_wait(world: World, listener):
        writer = make(world, listener)
        writer._wait_s = wait_s
        return writer

    return make_with_wait


@dataclass(frozen=True)
class Way:
    """A way of learning: the entry, and what befalls its call number `call` or the next one."""

    make: Callable = make_near_writer
    call: int = 3
    relay_delay_s: float = NEVER
    change: Callable[[World, float], None] | None = None
    set_again_after_s: float = NEVER
    is_in_copy: bool = True


def fall_silent(world: World, at: float) -> None:
    world.silences.append(at)


def fall_silent_twice(world: World, at: float) -> None:
    world.silences += [at, at + CALL_S + 0.1, at + CALL_S + 0.5]


def fail_calls(count: int) -> Callable[[World, float], None]:
    return lambda world, at: world.failures.append((at, count))


def reject_for(duration_s: float) -> Callable[[World, float], None]:
    return lambda world, at: world.outages.append(Span(at, at + duration_s))


def lose_history(world: World, at: float) -> None:
    world.history_losses.append(at)


def restore(world: World, at: float) -> None:
    world.restored_at = at


def find_middle(call: Call) -> float:
    return (call.sent_at + call.responded_at) / 2


WAYS = {
    "waiting call": Way(),
    "poll without a wait": Way(make_far_writer),
    "relay": Way(make_far_writer, relay_delay_s=0.02),
    "late relay": Way(make_far_writer, relay_delay_s=0.9),
    "start of the process": Way(call=0),
    "first wait of the process": Way(call=1),
    "silence of the open connections": Way(change=fall_silent),
    "one failed call": Way(change=fail_calls(1)),
    "several failed calls": Way(change=fail_calls(3)),
    "two silences of the open connections": Way(change=fall_silent_twice),
    "short outage": Way(change=reject_for(1.2)),
    "long outage": Way(change=reject_for(5.0)),
    "lost history": Way(change=lose_history),
    "lost history at the start": Way(call=1, change=lose_history),
    "restored store with the version": Way(change=restore),
    "restored store without the version": Way(change=restore, is_in_copy=False),
    "restored store, version set again": Way(
        change=restore, is_in_copy=False, set_again_after_s=0.7
    ),
}


def pause_at(find: Callable[[Call], float], call_s: float = 0.0) -> Callable[[World, Call], None]:
    def pause(world: World, call: Call) -> None:
        begin = find(call)
        world.pauses.append(Span(begin, begin + PAUSE_S))
        world.call_delays.append((Span(begin + PAUSE_S, begin + PAUSE_S + 0.1), call_s))

    return pause


def delay_call(delay_s: float) -> Callable[[World, Call], None]:
    def delay(world: World, call: Call) -> None:
        world.call_delays.append((Span(call.sent_at - 0.1, call.sent_at + 0.1), delay_s))

    return delay


def delay_all_calls(delay_s: float) -> Callable[[World, Call], None]:
    def delay(world: World, call: Call) -> None:
        world.call_delays.append((Span(0.0, NEVER), delay_s))

    return delay


def delay_responses(world: World, call: Call) -> None:
    world.response_delays.append((Span(call.responded_at - 0.7, call.responded_at + 0.05), 0.7))


def jump(seconds: float, find: Callable[[Call], float]) -> Callable[[World, Call], None]:
    return lambda world, call: world.clock_jumps.append((find(call), seconds))


def jump_and_delay(seconds: float) -> Callable[[World, Call], None]:
    def jump_clock(world: World, call: Call) -> None:
        world.clock_jumps.append((find_middle(call), seconds))
        delay_responses(world, call)

    return jump_clock


BETWEEN = {
    "nothing": lambda world, call: None,
    "pause before the call": pause_at(lambda call: call.called_at + 0.002),
    "pause before a slow call": pause_at(lambda call: call.called_at + 0.002, 0.7),
    "pause while the call is sent": pause_at(lambda call: call.sent_at + 0.0005),
    "pause during the call": pause_at(find_middle),
    "pause between response and next call": pause_at(lambda call: call.read_at + 0.0005),
    "pause between response and next call, which is slow": pause_at(
        lambda call: call.read_at + 0.0005, 0.7
    ),
    "call under way for 0.2 s": delay_call(0.2),
    "call under way for 0.5 s": delay_call(0.5),
    "call under way for 0.75 s": delay_call(0.75),
    "all calls under way for 0.5 s": delay_all_calls(0.5),
    "all calls under way for 0.75 s": delay_all_calls(0.75),
    "late response": delay_responses,
    "small jump forward of the store's clock": jump(0.4, find_middle),
    "small jump back of the store's clock": jump(-0.4, find_middle),
    "jump forward of the store's clock": jump(300.0, find_middle),
    "jump back of the store's clock": jump(-300.0, find_middle),
    "jump back between two calls": jump(-300.0, lambda call: call.read_at),
    "jump back and a late response": jump_and_delay(-300.0),
    "jump forward and a late response": jump_and_delay(300.0),
    "small jump back and a late response": jump_and_delay(-0.4),
}


def list_worlds(way: Way, between: Callable, gap_s: float | None, monkeypatch) -> Iterator[World]:
    """Yield worlds that differ in when the version is set, and one more `gap_s` later if any."""
    calm = World()
    run_follower(calm, monkeypatch, way.make)
    call = calm.calls[way.call]
    begin = max(0.0, call.called_at - 0.5) if way.call else -0.5
    steps = range(int((call.read_at + PAUSE_S + 3.0 - begin) / STEP_S))
    changes_at = [find_middle(call), call.read_at + 0.001] if way.change else [NEVER]
    for step, at in itertools.product(steps, changes_at):
        set_at = begin + step * STEP_S
        world = World(versions=[(set_at, VERSION, set_at + way.relay_delay_s)], ends_at=16.0)
        if gap_s is not None:
            later_at = set_at + gap_s
            world.versions.append((later_at, VERSION + 1, later_at + way.relay_delay_s))
        if way.change:
            way.change(world, at)
        between(world, call)
        world.restored = [v for v in world.versions if way.is_in_copy or v[0] > world.restored_at]
        again_at = world.restored_at + way.set_again_after_s
        if not world.restored and again_at < NEVER:
            world.restored = [(again_at, VERSION, NEVER)]
        yield world


def find_error(world: World, version: int, dated_at: float) -> float:
    """Return how much later than it was set a version counts as set, in seconds.

    The bound counts in a time without an outage of the store.
    """
    eras = [world.versions, world.restored]
    times = [at for rows in eras for at, v, _ in rows if v == version]
    is_lost = not any(v == version for _, v, _ in world.restored)
    set_at = min(times) if is_lost or world.restored_at == NEVER else find_first(world, version)
    ends = [outage.end for outage in world.outages if set_at < outage.end]
    return dated_at - max([set_at, *ends])


def find_first(world: World, version: int) -> float:
    """Return when a version was set that the process learnt of, in the era in which it did."""
    rows = {v: at for at, v, _ in world.versions}
    read = [call.responded_at for call in world.calls if version in call.versions]
    if read and read[0] < world.restored_at:
        return rows[version]
    return next(at for at, v, _ in world.restored if v == version)


def find_earliest(world: World, set_at: float) -> float:
    """Return the earliest time that the responses allow for a version.

    The first response of a store that has come back tells only that the table has to be read.
    """
    restored = [call for call in world.calls if call.responded_at >= world.restored_at]
    used = [call for call in world.calls if call not in restored[:1]]
    before = [call for call in used if call.responded_at < set_at]
    if not before:
        return float("-inf")
    # The first response of a process or of a clock may have been read late without a sign of it.
    is_located = before[-1] is not world.calls[0] and not world.clock_jumps
    return before[-1].responded_at if is_located else before[-1].called_at


@pytest.mark.parametrize("gap_s", [None, 0.2], ids=["one version", "two versions"])
@pytest.mark.parametrize("between", BETWEEN)
@pytest.mark.parametrize("way", WAYS)
def test_version_is_not_dated_later_than_it_was_set(way, between, gap_s, monkeypatch):
    learnt = 0
    for world in list_worlds(WAYS[way], BETWEEN[between], gap_s, monkeypatch):
        versions = run_follower(world, monkeypatch, WAYS[way].make)
        for version, dated_at in versions._target_versions.get("m", ()):
            learnt += 1
            set_at = min(at for at, v, _ in world.versions if v == version)
            error_s = find_error(world, version, dated_at)
            assert error_s <= MAX_DATING_ERROR_S, f"version {version} set at {set_at:.2f}"
            assert dated_at >= find_earliest(world, set_at) - SLACK_S, f"set at {set_at:.2f}"
    assert learnt
