"""Scheduling of a transfer: which chunk to fetch next, and from which source."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Literal

from hibiscustray.membership import MemberView
from hibiscustray.weights.cache import list_chunks
from hibiscustray.weights.plan import (
    chain_regions,
    choose_origin_fetchers,
    choose_source,
    rank_member,
)
from hibiscustray.weights.swarm import Members, Swarm
from hibiscustray.weights.window import RequestWindow

Objective = Literal["time", "origin_bytes"]

MAX_ORIGIN_FETCHES = 2
MAX_IMPORTS = 2
"""Concurrent imports of one agent from one other region."""
MAX_REQUESTS = 6
TAKEOVER_RANKS_PER_REGION = 2
"""Members of each region that may take over a chunk before those of the next region."""
HEDGE_FACTOR = 2.0
"""Multiple of the mean duration of a request after which it is late."""
MIN_HEDGE_DELAY_S = 0.5


@dataclass(frozen=True)
class OriginFetch:
    """A request to the origin for a chunk."""

    index: int


@dataclass(frozen=True)
class PeerFetch:
    """A request to a peer for a chunk; an import comes from a peer in another region."""

    index: int
    address: str
    is_import: bool = False


FetchJob = OriginFetch | PeerFetch


@dataclass(frozen=True)
class FetchLimits:
    """Concurrent requests of one agent: to one peer, to the origin, and to one other region.

    Chunks that peers hold are requested after `pull_delay_s`, and from other regions after twice
    that time, since they are usually passed on without a request. An agent to which nothing has
    been passed on for `idle_s` does not wait. `requests` is the most to all peers at a time.
    """

    per_peer: int = 1
    origin: int = MAX_ORIGIN_FETCHES
    imports: int = MAX_IMPORTS
    pull_delay_s: float = 0.0
    idle_s: float = 0.0
    requests: int = MAX_REQUESTS


class FetchScheduler:
    """Assigns fetch jobs to the worker threads of one transfer.

    Each chunk is requested once at a time. When nothing else is left to fetch, a late request to a
    peer is hedged by a second request.
    """

    def __init__(
        self,
        swarm: Swarm,
        view: MemberView,
        objective: Objective,
        origin_region: str,
        limits: FetchLimits = FetchLimits(),  # noqa: B008
    ) -> None:
        self._limits = limits
        self._swarm = swarm
        self._own = view.own
        self._objective = objective
        self._origin_region = origin_region
        self._all_chunks = (1 << swarm.count) - 1
        self._jobs: dict[FetchJob, float] = {}
        self._planned_members: Members | None = None
        self._plan_key: tuple[list[str], set[str]] = ([], set())
        self._assigned = 0
        self._second_ranked = 0
        self._taken_over = 0
        self._sources: dict[int, str] = {}
        self._lock = threading.Lock()
        self.window = RequestWindow(limits.requests)

    @property
    def planned(self) -> int:
        """Return the mask of chunks that this agent fetches for its region."""
        return self._assigned | self._taken_over

    @property
    def taken_over(self) -> int:
        """Return the mask of chunks that this agent has taken over from other members."""
        return self._taken_over

    @property
    def lookahead(self) -> int:
        """Return the number of chunks by which the fetchers may differ in their progress."""
        ids = self._region_ids()
        regions = self._regions()
        sources = 1 if self._origin_region in regions else len(regions)
        return 2 * sources * len(choose_origin_fetchers(self._swarm.digest, ids, sources))

    def find_due_fetches(self) -> int:
        """Return the mask of chunks that another member should bring into this region."""
        with self._lock:
            own = sum(
                1 << index for index in list_chunks(self._assigned) if not self._sources[index]
            )
            return self._all_chunks & ~own & ~self._taken_over

    def rank_takeover(self, index: int) -> int:
        """Return after how many fallback steps this agent takes over an overdue chunk."""
        regions = self._regions()
        chain = chain_regions(index, regions, self._origin_region)
        place = chain.index(self._own.region)
        return self.rank_member(index, self._own.id) + TAKEOVER_RANKS_PER_REGION * place

    def find_better_ranked(self, index: int) -> list[str]:
        """Return the addresses of the members that bring a chunk in before this agent does.

        These are its fetcher and the better ranked members of this region.
        """
        own_rank = self.rank_member(index, self._own.id)
        fetcher = self._swarm.find_origin_fetcher(index)
        return [
            address
            for address, member in self._swarm.members().by_address.items()
            if member.id == fetcher
            or member.region == self._own.region
            and self.rank_member(index, member.id) < own_rank
        ]

    def add_fetch(self, index: int) -> None:
        """Take over a chunk from the member that should have fetched it for the region."""
        with self._lock:
            self._taken_over |= 1 << index
            self._swarm.planned = self.planned

    def rank_member(self, index: int, member_id: str) -> int:
        """Return a member's rank among the possible fetchers of a chunk in this region, 0 first."""
        ids = self._region_ids()
        fetchers = self._choose_fetchers(index, ids)
        return rank_member(self._swarm.digest, index, ids, fetchers, member_id)

    def next_job(self, held: int, mean_s: float) -> FetchJob | None:
        """Assign and return a job that no other thread runs, or None if there is none now.

        `mean_s` is the mean duration of recent requests to peers in this region.
        """
        with self._lock:
            self._plan()
            in_flight = self._in_flight()
            missing = self._all_chunks & ~held & ~in_flight
            job = (
                self._choose_assigned(missing)
                or self._choose_peer(missing)
                or self._choose_surplus(missing)
                or self._choose_hedge(held, mean_s)
            )
            if job is not None:
                self._jobs[job] = time.monotonic()
            return job

    def finish(self, job: FetchJob) -> None:
        """Release a job that has ended, successfully or not."""
        with self._lock:
            self._jobs.pop(job, None)

    def _in_flight(self) -> int:
        mask = 0
        for job in self._jobs:
            mask |= 1 << job.index
        return mask

    def _region_ids(self) -> list[str]:
        members = self._swarm.members().by_address.values()
        ids = {m.id for m in members if m.region == self._own.region}
        return sorted(ids | {self._own.id})

    def _regions(self) -> set[str]:
        members = self._swarm.members().by_address.values()
        return {member.region for member in members} | {self._own.region}

    def _choose_fetchers(self, index: int, ids: list[str]) -> list[str]:
        """Return the fetchers of a chunk, none if this region gets it from another one."""
        regions = self._regions()
        if choose_source(index, regions, self._origin_region, self._own.region):
            return []
        sources = 1 if self._origin_region in regions else len(regions)
        return choose_origin_fetchers(self._swarm.digest, ids, sources)

    def _plan(self) -> None:
        members = self._swarm.members()
        if members is self._planned_members or self._swarm.is_closed:
            return
        ids, regions = self._region_ids(), self._regions()
        is_same = self._planned_members is not None and self._plan_key == (ids, regions)
        self._planned_members = members
        if is_same:
            return
        self._plan_key = (ids, regions)
        self._assigned = self._second_ranked = 0
        for index in range(self._swarm.count):
            fetchers = self._choose_fetchers(index, ids)
            rank = rank_member(self._swarm.digest, index, ids, fetchers, self._own.id)
            source = choose_source(index, regions, self._origin_region, self._own.region)
            is_fetcher = self._swarm.find_origin_fetcher(index) == self._own.id
            self._assigned |= (rank == 0 if source else is_fetcher) << index
            self._second_ranked |= (rank == (1 if source else 0) and not is_fetcher) << index
            self._sources[index] = source
        self._swarm.planned = self.planned

    def _choose_assigned(self, missing: int) -> FetchJob | None:
        available = self._swarm.find_available_chunks(self._own.region)
        elsewhere = self._swarm.find_known_chunks()
        # An import says nothing of what is passed on, so that the next one may follow it.
        idle_s = self._swarm.arrivals.unprompted_idle_s
        overdue = self._swarm.find_overdue_chunks(2 * self._choose_pull_delay(idle_s))
        for index in list_chunks(missing & self.planned & ~available):
            source = "" if self._taken_over >> index & 1 else self._sources[index]
            job: FetchJob | None = None
            if elsewhere >> index & 1:
                job = self._choose_import(index, source) if overdue >> index & 1 else None
            elif not source and self._count(OriginFetch) < self._limits.origin:
                job = OriginFetch(index)
            if job is not None:
                return job
        return None

    def _choose_import(self, index: int, source: str) -> FetchJob | None:
        """Return a request to a peer in the source region, or in any other one if it is empty."""
        if self._count(PeerFetch) >= self.window.limit:
            return None
        for region in [source] if source else sorted(self._regions()):
            if region == self._own.region or self._count_imports(region) >= self._limits.imports:
                continue
            peers = self._swarm.find_ready_peers(region)
            holders = [address for address, mask in peers.items() if mask >> index & 1]
            if holders:
                self._sources[index] = region
                return PeerFetch(index, self._swarm.choose_peer(holders), is_import=True)
        return None

    def _choose_pull_delay(self, idle_s: float) -> float:
        is_idle = idle_s > self._limits.idle_s
        return self._limits.idle_s if is_idle else self._limits.pull_delay_s

    def _choose_peer(self, missing: int) -> FetchJob | None:
        if self._count(PeerFetch) >= self.window.limit:
            return None
        missing &= self._swarm.find_overdue_chunks(
            self._choose_pull_delay(self._swarm.arrivals.idle_s)
        )
        ready_peers = self._swarm.find_ready_peers(self._own.region)
        request_counts = Counter(job.address for job in self._jobs if isinstance(job, PeerFetch))
        for address, count in request_counts.items():
            if count >= self._limits.per_peer:
                ready_peers.pop(address, None)
        offered = 0
        for mask in ready_peers.values():
            offered |= mask
        if not missing & offered:
            return None
        index = self._swarm.choose_rarest(missing & offered)
        holders = [address for address, mask in ready_peers.items() if mask >> index & 1]
        return PeerFetch(index, self._swarm.choose_peer(holders))

    def _choose_surplus(self, missing: int) -> FetchJob | None:
        """Use spare capacity of the origin.

        Applies to the objective "time" only, once the peers in the region hold every missing chunk,
        and only to chunks for which this agent is the second-ranked fetcher.
        """
        if self._objective != "time" or self._count(OriginFetch) > 0:
            return None
        available = self._swarm.find_available_chunks(self._own.region)
        if self._all_chunks & ~available & ~self._in_flight() & missing:
            return None
        wanted = [i for i in list_chunks(missing & self._second_ranked) if not self._sources[i]]
        return OriginFetch(wanted[0]) if wanted else None

    def _choose_hedge(self, held: int, mean_s: float) -> FetchJob | None:
        now = time.monotonic()
        threshold_s = max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * mean_s)
        counts: dict[int, int] = {}
        for job in self._jobs:
            counts[job.index] = counts.get(job.index, 0) + 1
        for job, since in self._jobs.items():
            is_late = now - since > threshold_s and counts[job.index] == 1
            if is_late and not held >> job.index & 1 and isinstance(job, PeerFetch):
                return self._choose_peer(1 << job.index)
        return None

    def _count(self, kind: type) -> int:
        return sum(isinstance(job, kind) for job in self._jobs)

    def _count_imports(self, source: str) -> int:
        imports = (j for j in self._jobs if isinstance(j, PeerFetch) and j.is_import)
        return sum(self._sources[job.index] == source for job in imports)
