"""Assignment of chunks to the members that fetch them for their region, without a coordinator.

The assignment uses rendezvous hashing. All functions depend only on the digest and the known
members, so that members with equal views compute equal assignments.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

import xxhash

TARGET_CHUNK_PEERS = 24
"""Mean number of chunk peers of a member: those of its region with which it exchanges chunks."""
MAX_ORIGIN_FETCHERS = 12
"""Number of members, over all regions, that fetch one version from the origin. They keep its link
full; with more of them, the requests of each take longer than the timeouts allow."""
RELAY_FANOUT = 2
"""Number of members of its region to which a member passes a chunk on."""
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
HASH_RANGE = 1 << 64


def rank_fetcher(digest: str, index: int, ids: Iterable[str], own: str) -> int:
    """Return a member's rank among the possible fetchers of a chunk, 0 first."""
    seed = _make_seed(digest, index)
    own_score = _score(own, seed)
    return sum(1 for other in ids if _score(other, seed) > own_score)


def choose_fetcher(digest: str, index: int, ids: Iterable[str]) -> str:
    """Return the member that fetches a chunk for its region."""
    seed = _make_seed(digest, index)
    return max(ids, key=lambda member: _score(member, seed))


def choose_source(index: int, regions: Iterable[str], origin_region: str, own_region: str) -> str:
    """Return the region from which a region imports a chunk, empty for the origin itself.

    For each chunk the regions form a chain that begins with the origin's region. The order of the
    other regions rotates with the chunk index, so that each imports an equal, distinct share of
    the chunks from the origin's region and the rest from other remote regions.
    """
    chain = chain_regions(index, {*regions, own_region}, origin_region)
    place = chain.index(own_region)
    return chain[place - 1] if place > 0 else ""


def chain_regions(index: int, regions: Iterable[str], origin_region: str) -> list[str]:
    """Return the regions in the order in which a chunk reaches them, the origin's first."""
    present = set(regions)
    others = sorted(present - {origin_region})
    rotation = index % len(others) if others else 0
    return [*sorted(present & {origin_region}), *others[rotation:], *others[:rotation]]


def rank_member(
    digest: str, index: int, ids: Iterable[str], fetchers: Iterable[str], own: str
) -> int:
    """Return a member's rank, 0 first, where the given fetchers rank before all other members."""
    first = set(fetchers)
    if own in first or not first:
        return rank_fetcher(digest, index, first or ids, own)
    return len(first) + rank_fetcher(digest, index, set(ids) - first, own)


def choose_origin_fetchers(digest: str, ids: Iterable[str], regions: int) -> list[str]:
    """Return the members of a region that fetch a version from the origin.

    `regions` is the number of regions that fetch from the origin.
    """
    return sort_members(digest, ids)[: -(-MAX_ORIGIN_FETCHERS // max(1, regions))]


def sort_members(digest: str, ids: Iterable[str]) -> list[str]:
    """Return members in the pseudo-random order of one version."""
    seed = _make_seed(digest, 0)
    return sorted(ids, key=lambda member: _score(member, seed), reverse=True)


class RelayPlan:
    """Assigns, for each chunk, the members to which each member passes it on.

    Within a region a chunk goes down a binary tree of the members; its root also passes the chunk
    on to the root of the next region. The trees of different chunks have different inner members,
    so that all members send equally much. A chunk reaches `n` members of a region in `log2(n)`
    hops, without any message but the chunk itself.
    """

    def __init__(
        self, digest: str, count: int, regions: Mapping[str, str], origin_region: str
    ) -> None:
        """Plan `count` chunks for members whose regions are given by id."""
        self._digest = digest
        self._regions = regions
        self._origin_region = origin_region
        self._members: dict[str, list[str]] = {}
        for member in sort_members(digest, regions):
            self._members.setdefault(regions[member], []).append(member)
        sources = 1 if origin_region in self._members else len(self._members)
        fetchers = {
            region: choose_origin_fetchers(digest, members, sources)
            for region, members in self._members.items()
        }
        self._fetchers = self._assign_fetchers(count, fetchers)

    def find_fetcher(self, index: int) -> str:
        """Return the member that fetches a chunk from the origin."""
        return self._fetchers[index]

    def choose_targets(
        self,
        index: int,
        own: str,
        is_failing: Callable[[str], bool] = lambda _: False,
        is_source: bool = False,
    ) -> list[str]:
        """Return the members to which a member passes a chunk on, in the order of sending.

        The targets of a failing member are served in its place. A source is the first member of
        its region to hold the chunk; unless it is the root, it passes the chunk to the root too.
        """
        region = self._regions.get(own)
        if region is None:
            return []
        chain = chain_regions(index, self._members, self._origin_region)
        order = self._order_region(index, region, chain[0])
        place = order.index(own)
        targets: list[str] = []
        if place == 0 or is_source and is_failing(order[0]):
            targets += self._find_importer(index, chain, region, is_failing)
        if is_source and place > 0:
            targets += self._expand(order, 0, is_failing)
        targets += self._find_children(order, place, is_failing)
        return [member for member in dict.fromkeys(targets) if member != own]

    def _find_importer(
        self, index: int, chain: list[str], region: str, is_failing: Callable[[str], bool]
    ) -> list[str]:
        """Return the member that imports a chunk from a region, none at the end of the chain."""
        for next_region in chain[chain.index(region) + 1 :]:
            for member in self._order_region(index, next_region, chain[0]):
                if not is_failing(member):
                    return [member]
        return []

    def _assign_fetchers(self, count: int, fetchers: dict[str, list[str]]) -> list[str]:
        """Return the fetcher of each chunk; no fetcher of a region has more chunks than its share.

        Among the fetchers that have room, each chunk has its own order of preference, so that
        members with slightly different views still agree on most chunks.
        """
        sources = [chain_regions(i, self._members, self._origin_region)[0] for i in range(count)]
        rooms = {
            fetcher: -(-sources.count(region) // len(members))
            for region, members in fetchers.items()
            for fetcher in members
        }
        assigned = []
        for index, region in enumerate(sources):
            free = [fetcher for fetcher in fetchers[region] if rooms[fetcher] > 0]
            chosen = choose_fetcher(self._digest, index, free)
            rooms[chosen] -= 1
            assigned.append(chosen)
        return assigned

    def _find_children(
        self, order: list[str], place: int, is_failing: Callable[[str], bool]
    ) -> list[str]:
        first = RELAY_FANOUT * place + 1
        places = range(first, min(first + RELAY_FANOUT, len(order)))
        return [member for child in places for member in self._expand(order, child, is_failing)]

    def _expand(self, order: list[str], place: int, is_failing: Callable[[str], bool]) -> list[str]:
        """Return the member at a place, or its children if it is failing."""
        if is_failing(order[place]):
            return self._find_children(order, place, is_failing)
        return [order[place]]

    def _order_region(self, index: int, region: str, first_region: str) -> list[str]:
        """Return the members of a region in the order of a chunk's tree, its root first."""
        members = self._members[region]
        # Each combination of a place in the chain of regions and of a first member occurs as often.
        cycle, turn = divmod(index, len(self._members))
        start = (cycle * _choose_stride(len(members)) + turn) % len(members)
        order = members[start:] + members[:start]
        if region == first_region:
            root = self._fetchers[index]
            order.remove(root)
            order.insert(0, root)
        return order


def _choose_stride(count: int) -> int:
    """Return a stride by which successive chunks visit all members, distant ones in succession."""
    stride = max(1, round(count * GOLDEN_RATIO))
    while math.gcd(stride, count) != 1:
        stride += 1
    return stride


def measure_distance(digest: str, own: str, other: str) -> float:
    """Return the pseudo-random distance of two members, from 0 to 1; it is symmetric."""
    first, second = sorted((own, other))
    return _score(f"{first}/{second}", _make_seed(digest, 0)) / HASH_RANGE


def is_chunk_peer(distance: float, count: int) -> bool:
    """Return whether two out of `count` members are chunk peers, given their distance."""
    return distance * count < TARGET_CHUNK_PEERS


def _make_seed(digest: str, index: int) -> int:
    return xxhash.xxh64_intdigest(digest.encode(), seed=index)


def _score(name: str, seed: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=seed)
