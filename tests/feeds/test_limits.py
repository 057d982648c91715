"""Limits of calls to the store."""

from __future__ import annotations

import pytest

from hibiscustray.feeds import CallLimits, FeedFollower, find_call_limits, limit_pause
from hibiscustray.feeds.limits import RESERVE_S
from hibiscustray.telemetry import Metrics


class Source:
    """Records the limit of its calls."""

    name = "table"
    call_s = 0.0

    def limit_calls(self, call_s: float) -> None:
        self.call_s = call_s


# Guards against a silence of a connection that is noticed only after the contact time: the longest
# wait and its margin added up to more.
@pytest.mark.parametrize("contact_s", [3.0, 4.0, 5.0, 1.0, 0.3])
@pytest.mark.parametrize("longest_wait_s", [2.5, 8.0])
def test_wait_and_margin_end_before_the_contact_time(contact_s, longest_wait_s):
    limits = find_call_limits(contact_s, longest_wait_s)
    assert 0.0 < limits.wait_s < limits.call_s < contact_s
    assert contact_s - limits.call_s >= min(RESERVE_S, contact_s / 6) - 1e-9


def test_wait_is_not_longer_than_the_setting():
    assert find_call_limits(30.0, 2.5).wait_s == 2.5


# Guards against settings that are read again without effect.
def test_changed_limits_apply_to_the_followers_later_calls():
    source = Source()
    follower = FeedFollower(source, None, 2.5, Metrics("test"))
    follower.set_limits(CallLimits(1.5, 2.5))
    assert (follower._compute_wait(0.0), source.call_s) == (1.5, 2.5)


# Guards against a replica that leaves and gets requests after its drain time, since the changes of
# the list are gathered: the pause, a slow response and its reading must end before.
@pytest.mark.parametrize("drain_s", [4.0, 2.0, 1.0, 0.2, 0.0])
def test_pause_leaves_most_of_the_drain_time(drain_s):
    limits = limit_pause(find_call_limits(3.0, 8.0), drain_s)
    assert limits.pause_s >= 0.0
    assert drain_s - limits.pause_s >= 0.8 * drain_s


@pytest.mark.parametrize(("wanted_s", "pause_s"), [(0.3, 0.15), (0.1, 0.1), (0.0, 0.0)])
def test_changed_drain_time_shortens_the_pause_of_a_running_follower(wanted_s, pause_s):
    follower = FeedFollower(Source(), None, 2.5, Metrics("test"), wanted_s)
    follower.set_limits(limit_pause(CallLimits(1.5, 2.5), 1.0))
    waits = []
    follower._stopping.wait = lambda seconds: waits.append(seconds) or follower._stopping.set()
    follower._process_next_page = lambda: None
    follower._run()
    assert waits == [pytest.approx(pause_s)]
