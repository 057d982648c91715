"""The chunk plan: who brings which chunk into a region, decided without a coordinator.

All functions depend on the digest and the members seen only, so equal views give equal plans.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

NEIGHBOURS = 24
HASH_SPAN = 1 << 64


def rank_drawer(digest: str, index: int, ids: Iterable[str], own: str) -> int:
    """Return a member's place among those that may bring in a chunk, 0 first."""
    own_score = _score(digest, index, own)
    return sum(1 for other in ids if other != own and _score(digest, index, other) > own_score)


def choose_drawer(digest: str, index: int, ids: Iterable[str]) -> str:
    """Return the member that brings in a chunk."""
    return max(ids, key=lambda member: _score(digest, index, member))


def choose_source(
    digest: str, index: int, regions: Iterable[str], origin_region: str, own_region: str
) -> str:
    """Return the region that a region imports a chunk from, empty for the origin itself.

    The regions form a chain for each chunk, the origin's region first and the others in hash
    order, so that remote regions import different shares from there and swap them.
    """
    chain = sorted(
        {*regions, own_region},
        key=lambda region: (region != origin_region, _score(digest, index, region)),
    )
    place = chain.index(own_region)
    return chain[place - 1] if place > 0 else ""


def is_neighbour(digest: str, own: str, other: str, count: int) -> bool:
    """Tell whether two of some members exchange chunks; both sides decide the same."""
    first, second = sorted((own, other))
    share = _score(digest, 0, f"{first}/{second}") / HASH_SPAN
    return share * count < NEIGHBOURS


def _score(digest: str, index: int, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{digest}/{index}/{name}".encode())
