"""The chunk plan: who brings which chunk into a region, decided without a coordinator.

All functions depend on the digest and the members seen only, so equal views give equal plans.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

TARGET_NEIGHBOURS = 24
HASH_RANGE = 1 << 64


def rank_fetcher(digest: str, index: int, ids: Iterable[str], own: str) -> int:
    """Return a member's place among those that may bring in a chunk, 0 first."""
    seed = _make_seed(digest, index)
    own_score = _score(own, seed)
    return sum(1 for other in ids if _score(other, seed) > own_score)


def choose_fetcher(digest: str, index: int, ids: Iterable[str]) -> str:
    """Return the member that brings in a chunk."""
    seed = _make_seed(digest, index)
    return max(ids, key=lambda member: _score(member, seed))


def choose_source(index: int, regions: Iterable[str], origin_region: str, own_region: str) -> str:
    """Return the region that a region imports a chunk from, empty for the origin itself.

    The regions form a chain for each chunk, the origin's region first and the others in turns, so
    that remote regions import equal and different shares from there and swap them.
    """
    present = {*regions, own_region}
    others = sorted(present - {origin_region})
    turn = index % len(others) if others else 0
    chain = [*sorted(present & {origin_region}), *others[turn:], *others[:turn]]
    place = chain.index(own_region)
    return chain[place - 1] if place > 0 else ""


def measure_distance(digest: str, own: str, other: str) -> float:
    """Return a number from 0 to 1 that both members of a pair compute alike."""
    first, second = sorted((own, other))
    return _score(f"{first}/{second}", _make_seed(digest, 0)) / HASH_RANGE


def is_neighbour(distance: float, count: int) -> bool:
    """Tell whether two of some members exchange chunks, by their distance."""
    return distance * count < TARGET_NEIGHBOURS


def _make_seed(digest: str, index: int) -> int:
    return xxhash.xxh64_intdigest(digest.encode(), seed=index)


def _score(name: str, seed: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=seed)
