"""Tests of several entries whose replicas end under one part of a prompt."""

from __future__ import annotations

import time

from tests.platform.fleet import Load, run_fleet
from tests.waiting import wait_until

CONTACT_S = 3.0
"""Time after the fifth end of a replica by which all entries must know the part."""
MAX_LATER_REQUESTS = 3
MIN_SERVED_SHARE = 0.5


def test_requests_with_one_part_do_not_end_one_replica_after_the_other():
    with run_fleet(harmful={"bad"}) as fleet, Load(fleet, 40, "first", "other") as sound:
        time.sleep(0.5)
        with Load(fleet, 4, "first", "other", "bad", threads=8):
            wait_until(lambda: len(fleet.ended_at) >= 5, timeout_s=8)
            bound = fleet.ended_at[4] + CONTACT_S
            time.sleep(max(0.0, bound + CONTACT_S - time.monotonic()))
            later = [at for at in fleet.harmful_arrivals if at > bound]
            sent, served = sound.count(bound)
    assert len(later) <= MAX_LATER_REQUESTS
    assert served >= MIN_SERVED_SHARE * sent
