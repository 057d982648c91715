"""Tests of several entries whose replicas name limits for all entries together."""

from __future__ import annotations

import time

from tests.platform.fleet import FragileServer, Load, run_fleet

CONTACT_S = 3.0
"""Time after a replica first names its limit by which all entries must keep it."""
WINDOW_S = 4.0


def count_most(server: FragileServer, since: float) -> int:
    """Return the most requests that a replica got in any window since a monotonic time."""
    arrivals = [at for at in list(server.arrivals) if at >= since]
    return max((sum(at <= x < at + WINDOW_S for x in arrivals) for at in arrivals), default=0)


def compute_bound(limit_per_s: float) -> float:
    """Return the requests that a replica may get in one window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def test_replica_gets_no_more_than_its_limit_from_all_entries_together():
    with run_fleet(servers=4) as fleet, Load(fleet, 50, "first", threads=24) as load:
        fleet.servers[0].limit, fleet.servers[1].limit = "1", "0.4"
        named_at = time.monotonic()
        time.sleep(CONTACT_S + 2 * WINDOW_S)
        sent, served = load.count(named_at + CONTACT_S)
        most = [count_most(server, named_at + CONTACT_S) for server in fleet.servers[:2]]
    assert most[0] <= compute_bound(1)
    assert most[1] <= compute_bound(0.4)
    assert served == sent
