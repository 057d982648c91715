"""When a target version counts as set, by the way in which it was learnt."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from hibiscustray.feeds.dating import (
    MAX_CALL_DELAY_S,
    MAX_CALL_GAP_S,
    MAX_DATING_ERROR_S,
    MAX_RESPONSE_S,
)
from tests.feeds.simulated_store import (
    WAIT_S,
    Span,
    World,
    find_set_at,
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
