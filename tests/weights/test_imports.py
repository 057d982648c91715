"""How soon an agent asks other regions for the chunks that its region lacks."""

from __future__ import annotations

import time
from types import SimpleNamespace

from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord
from hibiscustray.weights.arrivals import ArrivalLog, ChunkSource
from hibiscustray.weights.scheduling import FetchLimits, FetchScheduler, PeerFetch

IDLE_S = 0.1
LACKING = (3, 5, 8, 13)
PEER = "10.0.1.1:7700"


class LackingSwarm:
    """The state of a transfer in which another region holds all chunks and the own one lacks some.

    Chunks are overdue after the time that the scheduler asks for.
    """

    digest, count, is_closed, planned = "m@2", 16, False, 0

    def __init__(self) -> None:
        self.arrivals = ArrivalLog()
        self.all = (1 << self.count) - 1
        self.lacking = sum(1 << index for index in LACKING)
        self._known_at = time.monotonic()
        own = MemberRecord("10.0.0.1", "agent", "r0", "z0", "10.0.0.1:7700", "", 1, service="s")
        other = MemberRecord("10.0.1.1", "agent", "r1", "z1", PEER, "", 1, service="s")
        self.view = MemberView(own)
        self._members = SimpleNamespace(by_address={PEER: other}, by_region={"r1": [other]})

    def members(self):
        return self._members

    def find_origin_fetcher(self, index: int) -> str:
        return self.view.own.id

    def find_available_chunks(self, region: str) -> int:
        return self.all & ~self.lacking if region == "r0" else self.all

    def find_known_chunks(self) -> int:
        return self.all

    def find_overdue_chunks(self, seconds: float) -> int:
        return self.all if time.monotonic() - self._known_at > seconds else 0

    def find_ready_peers(self, region: str) -> dict[str, int]:
        return {PEER: self.all} if region == "r1" else {}

    def choose_peer(self, holders: list[str]) -> str:
        return holders[0]


def import_all(swarm: LackingSwarm, limit_s: float) -> float:
    """Run the imports that the scheduler assigns, one at a time; return the seconds it took."""
    limits = FetchLimits(origin=0, imports=1, pull_delay_s=5.0, idle_s=IDLE_S)
    scheduler = FetchScheduler(swarm, swarm.view, "origin_bytes", "", limits)
    for index in LACKING:
        scheduler.add_fetch(index)
    started_at = time.monotonic()
    while swarm.lacking and time.monotonic() - started_at < limit_s:
        job = scheduler.next_job(swarm.all & ~swarm.lacking, 0.0)
        if job is None:
            time.sleep(0.01)
            continue
        assert isinstance(job, PeerFetch)
        assert job.is_import
        scheduler.finish(job)
        swarm.lacking &= ~(1 << job.index)
        swarm.arrivals.record(ChunkSource.IMPORTED)
    return time.monotonic() - started_at


# Guards against a region that imports one chunk a second after an outage of the origin: each import
# ended the idle time from which on the next one was allowed.
def test_imports_follow_each_other_once_nothing_is_passed_on():
    swarm = LackingSwarm()
    taken_s = import_all(swarm, 3.0)
    assert not swarm.lacking
    assert taken_s < 4 * IDLE_S


def test_imports_wait_while_chunks_are_passed_on():
    swarm = LackingSwarm()
    time.sleep(1.5 * IDLE_S)
    swarm.arrivals.record(ChunkSource.PASSED_ON)
    assert swarm.arrivals.unprompted_idle_s < IDLE_S
    assert import_all(swarm, 0.5 * IDLE_S) >= 0.5 * IDLE_S
    assert swarm.lacking
