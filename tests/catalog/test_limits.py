"""Tests of the times before a version's bound at which outdated weights go out of use."""

from __future__ import annotations

import pytest

from hibiscustray.catalog import CLOSE_LEAD_S, SEND_LEAD_S, WORK_LEAD_S, VersionLimits
from hibiscustray.feeds.dating import MAX_CALL_DELAY_S


@pytest.mark.parametrize("bound_s", [8.0, 13.4])
def test_outdated_weights_serve_for_half_of_a_bound_even_if_the_version_is_dated_early(bound_s):
    assert VersionLimits(bound_s).version_swap_s - MAX_CALL_DELAY_S >= bound_s / 2


def test_a_replica_stops_before_its_attempts_are_closed_and_after_the_last_send():
    assert SEND_LEAD_S > WORK_LEAD_S > CLOSE_LEAD_S > 0


def test_a_bound_that_is_shorter_than_the_lead_requires_a_version_at_once():
    assert VersionLimits(SEND_LEAD_S / 2).version_swap_s == 0
