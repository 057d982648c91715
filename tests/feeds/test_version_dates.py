"""When a target version counts as set, by the way in which it was learnt."""

from __future__ import annotations

from tests.feeds.simulated_store import Span, World, find_set_at, make_near_writer, run_follower

SLACK_S = 0.01


# Guards against requests on outdated weights: the call after a pause was slow and counted as one that had waited.
def test_version_set_in_a_pause_before_a_slow_call_is_not_dated_by_its_response(monkeypatch):
    world = World(versions=[(2.0, 3, 2.0), (2.2, 4, 2.2)], pauses=[Span(2.01, 5.5)])
    world.call_delays = [(Span(5.5, 5.6), 0.7)]
    versions = run_follower(world, monkeypatch, make_near_writer)
    assert find_set_at(versions, 3) <= 2.0 + SLACK_S
    assert find_set_at(versions, 4) <= 2.2 + SLACK_S
