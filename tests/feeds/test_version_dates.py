"""When a target version counts as set, by the way in which it was learnt."""

from __future__ import annotations

import pytest

from tests.feeds.simulated_store import Span, World, find_set_at, make_near_writer, run_follower

SLACK_S = 0.01


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
