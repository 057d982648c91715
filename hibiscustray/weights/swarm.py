"""What one agent knows of the chunks of one version at its peers."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hibiscustray.membership import MemberView
from hibiscustray.peers import HaveSet, MemberRecord
from hibiscustray.weights.cache import decode_bitmap, encode_bitmap, list_chunks
from hibiscustray.weights.plan import is_neighbour, measure_distance

GOSSIPED_HAVE_SETS = 4
MAX_MEMBERS_AGE_S = 1.0
FETCH_STALL_S = 10.0


@dataclass(frozen=True)
class Members:
    """The trusted live replicas of a service at one moment.

    Those by region are the ones to exchange chunks with.
    """

    by_address: dict[str, MemberRecord]
    by_region: dict[str, tuple[str, ...]]


@dataclass(frozen=True)
class ReplicaSelector:
    """Whose replicas carry a version: a service, in some availability zones or in all."""

    service: str
    availability_zones: tuple[str, ...] = ()

    def find(self, view: MemberView) -> list[MemberRecord]:
        """Return the live replicas."""
        zones = self.availability_zones
        replicas = view.replicas(self.service)
        return [m for m in replicas if not zones or m.availability_zone in zones]


class Swarm:
    """An aggregate of have-sets, queues and blame; all its methods may be called by any thread."""

    def __init__(
        self,
        view: MemberView,
        selector: ReplicaSelector,
        digest: str,
        held: Callable[[], int],
        count: int,
    ) -> None:
        self.digest = digest
        self.count = count
        self._view = view
        self._selector = selector
        self._held = held
        self._random = random.Random(f"{view.own.id}/{digest}")
        self._masks: dict[str, int] = {}
        self._holders = [0] * count
        self._recent: list[str] = []
        self._paused_until: dict[str, float] = {}
        self._distrusted: set[str] = set()
        self._failing: set[str] = set()
        self._added_neighbours: set[str] = set()
        self._distances: dict[str, float] = {}
        self._fetching: dict[int, float] = {}
        self.planned = 0
        self._members = Members({}, {})
        self._members_at = float("-inf")
        self._lock = threading.RLock()
        self.changed = threading.Condition(self._lock)

    @property
    def distrusted(self) -> frozenset[str]:
        """Return the addresses of peers that sent bad chunks."""
        return frozenset(self._distrusted)

    def members(self) -> Members:
        """Return the trusted live replicas, at most a second old."""
        with self._lock:
            now = time.monotonic()
            if now - self._members_at > MAX_MEMBERS_AGE_S:
                self._members = self._read_members()
                self._members_at = now
            return self._members

    def merge_have_sets(self, entries: Iterable[HaveSet]) -> None:
        """Take in have-sets; chunks are only ever added to a peer's set."""
        with self._lock:
            for entry in entries:
                self._add(entry.address, decode_bitmap(entry.bitmap, self.count))

    def replace_have_set(self, address: str, bitmap: bytes) -> None:
        """Take in a peer's own word, which may be less than others said of it."""
        with self._lock:
            mask = decode_bitmap(bitmap, self.count)
            for index in list_chunks(self._masks.get(address, 0) & ~mask):
                self._holders[index] -= 1
            self._masks[address] = self._masks.get(address, 0) & mask
            self._add(address, mask)

    def make_have_sets(self) -> tuple[HaveSet, ...]:
        """Return the own have-set and some of those changed last."""
        with self._lock:
            own = HaveSet(self._view.own.peer_address, encode_bitmap(self._held()))
            recent = self._recent[-GOSSIPED_HAVE_SETS * 4 :]
            chosen = self._random.sample(recent, min(GOSSIPED_HAVE_SETS, len(recent)))
            others = [HaveSet(peer, encode_bitmap(self._masks[peer])) for peer in chosen]
            return (own, *others)

    def pause(self, address: str, seconds: float) -> None:
        """Ask a peer nothing for a while."""
        with self._lock:
            self._paused_until[address] = time.monotonic() + seconds

    def record_failure(self, address: str, seconds: float) -> None:
        """Count a peer's chunks as lost until it answers, and ask it nothing for a while."""
        with self._lock:
            self._failing.add(address)
            self.pause(address, seconds)

    def record_answer(self, address: str) -> None:
        """Count a peer's chunks again."""
        with self._lock:
            self._failing.discard(address)

    def add_neighbour(self, address: str) -> None:
        """Exchange chunks with a peer that is no neighbour, since the neighbours lack some."""
        with self._lock:
            self._added_neighbours.add(address)
            self._members_at = float("-inf")

    def distrust(self, address: str) -> None:
        """Ask a peer for nothing more, since it sent a bad chunk."""
        with self._lock:
            self._distrusted.add(address)
            self._members_at = float("-inf")

    def find_available_chunks(self, region: str) -> int:
        """Return the mask of chunks that some trusted peer of a region that answers holds."""
        with self._lock:
            mask = 0
            for address in self.members().by_region.get(region, ()):
                if address not in self._failing:
                    mask |= self._masks.get(address, 0)
            return mask

    def find_ready_peers(self, region: str) -> dict[str, int]:
        """Return the masks of a region's peers that may be asked now."""
        with self._lock:
            now = time.monotonic()
            return {
                address: self._masks[address]
                for address in self.members().by_region.get(region, ())
                if address in self._masks and self._paused_until.get(address, 0.0) <= now
            }

    def choose_rarest(self, wanted: int) -> int:
        """Return the wanted chunk with the fewest known holders, ties at random."""
        with self._lock:
            chunks = list_chunks(wanted)
            fewest = min(self._holders[index] for index in chunks)
            return self._random.choice([i for i in chunks if self._holders[i] == fewest])

    def choose_peer(self, options: list[str]) -> str:
        """Return one of some peers at random."""
        with self._lock:
            return self._random.choice(options)

    def sample_peers(self, count: int) -> list[str]:
        """Return some peers at random."""
        with self._lock:
            peers = [peer for peers in self.members().by_region.values() for peer in peers]
            return self._random.sample(peers, min(count, len(peers)))

    def record_fetch_start(self, index: int) -> None:
        """Note that this agent brings a chunk into its region."""
        with self._lock:
            self._fetching[index] = time.monotonic()

    def record_fetch_end(self, index: int) -> None:
        """Note that a draw has ended, well or not."""
        with self._lock:
            self._fetching.pop(index, None)

    def find_fetching(self) -> int:
        """Return the mask of missing chunks that this agent brings in, but for stalled draws."""
        with self._lock:
            limit = time.monotonic() - FETCH_STALL_S
            stalled = sum(1 << index for index, since in self._fetching.items() if since < limit)
            return self.planned & ~stalled & ~self._held()

    def _add(self, address: str, mask: int) -> None:
        if address == self._view.own.peer_address:
            return
        known = self._masks.get(address, 0)
        news = mask & ~known
        if not news and address in self._masks:
            return
        self._masks[address] = known | mask
        for index in list_chunks(news):
            if self._holders[index] == 0 and not self._held() >> index & 1:
                self._holders[index] += 1
        if address in self._recent:
            self._recent.remove(address)
        self._recent.append(address)
        self.changed.notify_all()

    def _read_members(self) -> Members:
        by_address = {
            m.peer_address: m
            for m in self._selector.find(self._view)
            if m.peer_address not in self._distrusted
        }
        by_region: dict[str, tuple[str, ...]] = {}
        for address, member in by_address.items():
            if member.id != self._view.own.id and self._is_near(address, member, len(by_address)):
                by_region[member.region] = (*by_region.get(member.region, ()), address)
        return Members(by_address, by_region)

    def _is_near(self, address: str, member: MemberRecord, count: int) -> bool:
        """Tell whether chunks are exchanged with a member; few are asked in the own region."""
        if member.region != self._view.own.region or address in self._added_neighbours:
            return True
        distance = self._distances.get(member.id)
        if distance is None:
            distance = measure_distance(self.digest, self._view.own.id, member.id)
            self._distances[member.id] = distance
        return is_neighbour(distance, count)


class SwarmRegistry:
    """The swarms of one agent, by digest, shared by its transfers and its chunk server."""

    def __init__(self) -> None:
        self._swarms: dict[str, Swarm] = {}

    def add(self, swarm: Swarm) -> Swarm:
        """Keep a swarm; return the one already kept for its digest, if any."""
        return self._swarms.setdefault(swarm.digest, swarm)

    def get(self, digest: str) -> Swarm | None:
        """Return the swarm of a version."""
        return self._swarms.get(digest)

    def retain(self, digests: Iterable[str]) -> None:
        """Forget the swarms of all other versions."""
        kept = set(digests)
        for digest in list(self._swarms):
            if digest not in kept:
                self._swarms.pop(digest, None)
