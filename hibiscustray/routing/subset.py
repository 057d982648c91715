"""Rendezvous hashing for subsets of replicas per entry and for prefix affinity."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

from hibiscustray.peers import MemberRecord


def rank_members(members: Iterable[MemberRecord], key: str) -> list[MemberRecord]:
    """Order members by their hash with a key.

    Adding or removing a member does not change the order of the others.
    """
    return sorted(members, key=lambda m: xxhash.xxh3_64_intdigest(f"{key}/{m.id}".encode()))


def select_subset(members: Sequence[MemberRecord], entry_id: str, size: int) -> list[MemberRecord]:
    """Return the `size` replicas that an entry uses, all of them if there are no more."""
    if len(members) <= size:
        return list(members)
    return rank_members(members, entry_id)[:size]
