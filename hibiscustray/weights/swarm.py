"""Tracking of the chunks of one version that each peer holds.

A have-set is the set of chunks that one peer holds; agents send each other their own have-sets and
some of those that they know of other peers.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hibiscustray.membership import MemberView
from hibiscustray.peers import HaveSet, MemberRecord
from hibiscustray.weights.arrivals import ArrivalLog
from hibiscustray.weights.cache import decode_bitmap, encode_bitmap, list_chunks
from hibiscustray.weights.plan import RelayPlan, is_chunk_peer, measure_distance

GOSSIPED_HAVE_SETS = 4
"""Have-sets of other peers that one message carries."""
MAX_MEMBERS_AGE_S = 1.0
"""Age at which the cached list of members is read again."""
FETCH_STALL_S = 10.0
"""Duration after which a fetch is no longer announced, so that another member takes it over."""
FETCH_CEDE_S = 1.2
"""Time for which the origin fails an agent until it cedes its fetches to others."""


@dataclass(frozen=True)
class Members:
    """A snapshot of the trusted live replicas of a service.

    `by_region` holds only the addresses of the chunk peers, with which this agent exchanges chunks.
    """

    by_address: dict[str, MemberRecord]
    by_region: dict[str, tuple[str, ...]]


@dataclass(frozen=True)
class ReplicaSelector:
    """Selects the replicas of a service, in the given availability zones or in all of them."""

    service: str
    availability_zones: tuple[str, ...] = ()

    def find(self, view: MemberView) -> list[MemberRecord]:
        """Return the selected live replicas."""
        zones = self.availability_zones
        replicas = view.replicas(self.service)
        return [m for m in replicas if not zones or m.availability_zone in zones]


class Swarm:
    """Keeps the have-sets, pauses and failures of all peers for one version; it is thread-safe."""

    def __init__(
        self,
        view: MemberView,
        selector: ReplicaSelector,
        digest: str,
        held: Callable[[], int],
        count: int,
        origin_region: str = "",
    ) -> None:
        self.digest = digest
        self.count = count
        self._origin_region = origin_region
        self._view = view
        self._selector = selector
        self._held = held
        self._random = random.Random(f"{view.own.id}/{digest}")
        self._masks: dict[str, int] = {}
        self._holder_counts = [0] * count
        self._recently_changed: list[str] = []
        self._paused_until: dict[str, float] = {}
        self._distrusted: set[str] = set()
        self._failing: set[str] = set()
        self._added_chunk_peers: set[str] = set()
        self._distances: dict[str, float] = {}
        self._fetching: dict[int, float] = {}
        self._known_since: dict[int, float] = {}
        self._relay_plan: RelayPlan | None = None
        self._relay_members: Members | None = None
        self._relay_regions: dict[str, str] = {}
        self._fetch_failing_since: float | None = None
        self._is_closed = False
        self.arrivals = ArrivalLog()
        self.planned = 0
        self._members = Members({}, {})
        self._members_read_at = float("-inf")
        self._lock = threading.RLock()
        self.changed = threading.Condition(self._lock)

    @property
    def distrusted(self) -> frozenset[str]:
        """Return the addresses of peers that sent corrupt chunks."""
        return frozenset(self._distrusted)

    def members(self) -> Members:
        """Return the trusted live replicas, from a snapshot that is at most one second old."""
        with self._lock:
            now = time.monotonic()
            if now - self._members_read_at > MAX_MEMBERS_AGE_S:
                self._members = self._read_members()
                self._members_read_at = now
            return self._members

    def close(self) -> None:
        """Stop fetching and passing on chunks, since another version has superseded this one."""
        with self._lock:
            self._is_closed = True
            self.planned = 0

    @property
    def is_closed(self) -> bool:
        """Return whether another version has superseded this one."""
        return self._is_closed

    def choose_relay_targets(
        self, index: int, is_source: bool, is_congested: Callable[[str], bool] = lambda _: False
    ) -> list[str]:
        """Return the addresses of the peers to which this agent passes a chunk on.

        Peers behind a failing or congested one are served in its place.
        """
        with self._lock:
            plan = self._read_relay_plan()
            members = self.members()
            addresses = {member.id: address for address, member in members.by_address.items()}
            skipped = {a for a in addresses.values() if a in self._failing or is_congested(a)}
            targets = plan.choose_targets(
                index,
                self._view.own.id,
                lambda member_id: addresses.get(member_id) in skipped,
                is_source,
            )
            return [addresses[member_id] for member_id in targets]

    def find_origin_fetcher(self, index: int) -> str:
        """Return the id of the member that fetches a chunk from the origin."""
        with self._lock:
            return self._read_relay_plan().find_fetcher(index)

    def is_in_own_region(self, address: str) -> bool:
        """Return whether a peer is in the region of this agent."""
        member = self.members().by_address.get(address)
        return member is not None and member.region == self._view.own.region

    def is_known_to_hold(self, address: str, index: int) -> bool:
        """Return whether a peer is known to hold a chunk."""
        return bool(self._masks.get(address, 0) >> index & 1)

    def record_initial_chunks(self) -> None:
        """Record that nobody will pass on the chunks that peers hold by now."""
        with self._lock:
            self._known_since = dict.fromkeys(self._known_since, float("-inf"))

    def is_initial(self, index: int) -> bool:
        """Return whether a peer held a chunk when the transfer began."""
        return self._known_since.get(index) == float("-inf")

    def find_overdue_chunks(self, delay_s: float) -> int:
        """Return the mask of chunks that some peer has been known to hold for some seconds."""
        with self._lock:
            limit = time.monotonic() - delay_s
            return sum(1 << index for index, since in self._known_since.items() if since <= limit)

    def merge_have_sets(self, entries: Iterable[HaveSet]) -> None:
        """Merge have-sets that peers reported; chunks are added to a peer's set, never removed."""
        with self._lock:
            for entry in entries:
                self._add(entry.address, decode_bitmap(entry.bitmap, self.count))

    def replace_have_set(self, address: str, bitmap: bytes) -> None:
        """Replace a peer's have-set by its own report, without chunks that only others reported."""
        with self._lock:
            mask = decode_bitmap(bitmap, self.count)
            for index in list_chunks(self._masks.get(address, 0) & ~mask):
                self._holder_counts[index] -= 1
            self._masks[address] = self._masks.get(address, 0) & mask
            self._add(address, mask)

    def make_have_sets(self) -> tuple[HaveSet, ...]:
        """Return this agent's have-set and a sample of those that changed most recently."""
        with self._lock:
            own = HaveSet(self._view.own.peer_address, encode_bitmap(self._held()))
            recent = self._recently_changed[-GOSSIPED_HAVE_SETS * 4 :]
            chosen = self._random.sample(recent, min(GOSSIPED_HAVE_SETS, len(recent)))
            others = [HaveSet(peer, encode_bitmap(self._masks[peer])) for peer in chosen]
            return (own, *others)

    def pause(self, address: str, seconds: float) -> None:
        """Send a peer no chunk requests for some seconds."""
        with self._lock:
            self._paused_until[address] = time.monotonic() + seconds

    def record_failure(self, address: str, seconds: float) -> None:
        """Treat a peer's chunks as unavailable until it responds again; pause requests to it."""
        with self._lock:
            self._failing.add(address)
            self.pause(address, seconds)

    def record_response(self, address: str) -> None:
        """Treat a peer's chunks as available again."""
        with self._lock:
            self._failing.discard(address)

    def add_chunk_peer(self, address: str) -> None:
        """Add a chunk peer, which holds chunks that the other chunk peers lack."""
        with self._lock:
            self._added_chunk_peers.add(address)
            self._members_read_at = float("-inf")

    def distrust(self, address: str) -> None:
        """Exclude a peer that sent a corrupt chunk from all further requests."""
        with self._lock:
            self._distrusted.add(address)
            self._members_read_at = float("-inf")

    def find_available_chunks(self, region: str) -> int:
        """Return the mask of chunks that the trusted, responsive peers of a region hold."""
        with self._lock:
            mask = 0
            for address in self.members().by_region.get(region, ()):
                if address not in self._failing:
                    mask |= self._masks.get(address, 0)
            return mask

    def find_known_chunks(self) -> int:
        """Return the mask of chunks that the trusted, responsive peers of all regions hold."""
        with self._lock:
            mask = 0
            for region in self.members().by_region:
                mask |= self.find_available_chunks(region)
            return mask

    def find_ready_peers(self, region: str) -> dict[str, int]:
        """Return the chunk masks of the peers in a region that are not paused, by address."""
        with self._lock:
            now = time.monotonic()
            return {
                address: self._masks[address]
                for address in self.members().by_region.get(region, ())
                if address in self._masks and self._paused_until.get(address, 0.0) <= now
            }

    def choose_rarest(self, wanted: int) -> int:
        """Return the wanted chunk with the fewest known holders; ties are broken at random."""
        with self._lock:
            chunks = list_chunks(wanted)
            fewest = min(self._holder_counts[index] for index in chunks)
            return self._random.choice([i for i in chunks if self._holder_counts[i] == fewest])

    def choose_peer(self, options: list[str]) -> str:
        """Return one of the given peers at random."""
        with self._lock:
            return self._random.choice(options)

    def sample_peers(self, count: int) -> list[str]:
        """Return up to `count` random chunk peers."""
        with self._lock:
            peers = [peer for peers in self.members().by_region.values() for peer in peers]
            return self._random.sample(peers, min(count, len(peers)))

    def record_fetch_start(self, index: int) -> None:
        """Record that this agent has begun to fetch a chunk for its region."""
        with self._lock:
            self._fetching[index] = time.monotonic()

    def record_fetch_end(self, index: int) -> None:
        """Record that a fetch has ended, successfully or not."""
        with self._lock:
            self._fetching.pop(index, None)

    def record_origin_response(self, is_success: bool) -> None:
        """Record whether this agent's last fetch from the origin succeeded."""
        with self._lock:
            if is_success:
                self._fetch_failing_since = None
            elif self._fetch_failing_since is None:
                self._fetch_failing_since = time.monotonic()

    @property
    def is_failing_at_origin(self) -> bool:
        """Return whether this agent's last fetch from the origin failed."""
        return self._fetch_failing_since is not None

    def find_pending_fetches(self) -> int:
        """Return the mask of missing chunks that this agent fetches for its region.

        Chunks whose fetch has stalled are left out, and all if the origin has failed for a while.
        """
        with self._lock:
            failing_since = self._fetch_failing_since
            if failing_since is not None and time.monotonic() - failing_since > FETCH_CEDE_S:
                return 0
            limit = time.monotonic() - FETCH_STALL_S
            stalled = sum(1 << index for index, since in self._fetching.items() if since < limit)
            return self.planned & ~stalled & ~self._held()

    def _add(self, address: str, mask: int) -> None:
        if address == self._view.own.peer_address:
            return
        known = self._masks.get(address, 0)
        added = mask & ~known
        if not added and address in self._masks:
            return
        self._masks[address] = known | mask
        now = time.monotonic()
        for index in list_chunks(added):
            self._known_since.setdefault(index, now)
            if self._holder_counts[index] == 0 and not self._held() >> index & 1:
                self._holder_counts[index] += 1
        if address in self._recently_changed:
            self._recently_changed.remove(address)
        self._recently_changed.append(address)
        self.changed.notify_all()

    def _read_members(self) -> Members:
        by_address = {
            m.peer_address: m
            for m in self._selector.find(self._view)
            if m.peer_address not in self._distrusted
        }
        by_region: dict[str, tuple[str, ...]] = {}
        for address, member in by_address.items():
            if member.id != self._view.own.id and self._is_chunk_peer(
                address, member, len(by_address)
            ):
                by_region[member.region] = (*by_region.get(member.region, ()), address)
        return Members(by_address, by_region)

    def _read_relay_plan(self) -> RelayPlan:
        members = self.members()
        if self._relay_plan is None or members is not self._relay_members:
            own = self._view.own
            regions = {member.id: member.region for member in members.by_address.values()}
            regions[own.id] = own.region
            if self._relay_plan is None or regions != self._relay_regions:
                self._relay_plan = RelayPlan(self.digest, self.count, regions, self._origin_region)
                self._relay_regions = regions
            self._relay_members = members
        return self._relay_plan

    def _is_chunk_peer(self, address: str, member: MemberRecord, count: int) -> bool:
        """Return whether a member is a chunk peer: all in other regions are, few in the own."""
        if member.region != self._view.own.region or address in self._added_chunk_peers:
            return True
        distance = self._distances.get(member.id)
        if distance is None:
            distance = measure_distance(self.digest, self._view.own.id, member.id)
            self._distances[member.id] = distance
        return is_chunk_peer(distance, count)


class SwarmRegistry:
    """Holds the swarms of one agent by digest, for its transfers and its chunk server."""

    def __init__(self) -> None:
        self._swarms: dict[str, Swarm] = {}

    def add(self, swarm: Swarm) -> Swarm:
        """Register a swarm and return it, or the open one already registered for its digest."""
        known = self._swarms.get(swarm.digest)
        if known is None or known.is_closed:
            self._swarms[swarm.digest] = known = swarm
        return known

    def get(self, digest: str) -> Swarm | None:
        """Return the swarm of a version, None if there is none."""
        return self._swarms.get(digest)

    def retain(self, digests: Iterable[str]) -> None:
        """Remove the swarms of all other versions."""
        retained = set(digests)
        for digest in list(self._swarms):
            if digest not in retained:
                self._swarms.pop(digest, None)
