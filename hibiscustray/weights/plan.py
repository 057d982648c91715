"""Assignment of chunks to the members that fetch them for their region, without a coordinator.

The assignment uses rendezvous hashing. All functions depend only on the digest and the known
members, so that members with equal views compute equal assignments.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

TARGET_CHUNK_PEERS = 24
"""Mean number of chunk peers of a member: those of its region with which it exchanges chunks."""
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
    present = {*regions, own_region}
    others = sorted(present - {origin_region})
    rotation = index % len(others) if others else 0
    chain = [*sorted(present & {origin_region}), *others[rotation:], *others[:rotation]]
    place = chain.index(own_region)
    return chain[place - 1] if place > 0 else ""


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
