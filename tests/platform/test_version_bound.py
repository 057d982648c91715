"""Tests of the version bound with each obstacle between an entry's last check and a begin."""

from __future__ import annotations

import pytest

from tests.platform.version_bound import BOUND_S, HELD, Obstacle, Play, Way, check_plays

pytestmark = pytest.mark.timed
WAYS = {
    "connected": (Way.FEED, Way.RELAY, Way.START),
    "reconnected": (Way.SILENCE, Way.OUTAGE, Way.RESTORE),
}
SILENCES_S = {
    "longest": (BOUND_S - 1.95, BOUND_S + 0.05),
    "long": (BOUND_S - 1.4, BOUND_S + 0.2),
    "short": (BOUND_S - 1.0, BOUND_S + 0.2),
    "late": (BOUND_S - 0.4, BOUND_S + 0.6),
}


FROZEN = (Obstacle.FROZEN_EARLY, Obstacle.FROZEN_LATE)


def check(obstacle: Obstacle, ways: str, folder, silence_s=None) -> None:
    check_plays([Play(obstacle, way, silence_s) for way in WAYS[ways]], folder)


@pytest.mark.parametrize("ways", WAYS)
@pytest.mark.parametrize("silence", SILENCES_S)
def test_silent_replica_does_not_begin_on_old_weights_past_the_bound(silence, ways, tmp_path):
    check(Obstacle.SILENCE, ways, tmp_path, SILENCES_S[silence])


@pytest.mark.parametrize("ways", WAYS)
def test_queue_of_a_replica_does_not_begin_on_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.QUEUE, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
@pytest.mark.parametrize("obstacle", HELD, ids=lambda o: o.value)
def test_paused_thread_does_not_send_to_old_weights_past_the_bound(obstacle, ways, tmp_path):
    check(obstacle, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_slow_replica_does_not_begin_on_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.SLOWNESS, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_preempted_request_does_not_begin_on_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.PREEMPTION, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_early_head_does_not_let_a_request_begin_on_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.HEAD, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_request_read_late_from_its_socket_does_not_begin_past_the_bound(ways, tmp_path):
    check(Obstacle.SOCKET, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_request_held_by_a_link_is_not_sent_to_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.LINK, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_backup_does_not_begin_on_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.BACKUP, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
def test_resumed_stream_does_not_begin_on_old_weights_past_the_bound(ways, tmp_path):
    check(Obstacle.RESUMPTION, ways, tmp_path)


@pytest.mark.parametrize("ways", WAYS)
@pytest.mark.parametrize("obstacle", FROZEN, ids=lambda o: o.value)
def test_frozen_entry_does_not_send_to_old_weights_once_it_is_in_touch(obstacle, ways, tmp_path):
    check(obstacle, ways, tmp_path)
