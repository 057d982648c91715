"""Deterministic choices by rendezvous hashing: subsets of replicas, and homes of prompts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

from hibiscustray.peers import MemberRecord


def rank_members(members: Iterable[MemberRecord], key: str) -> list[MemberRecord]:
    """Order members by their hash with a key; a member lost or added moves no other."""
    return sorted(members, key=lambda m: xxhash.xxh3_64_intdigest(f"{key}/{m.id}".encode()))


def select_subset(members: Sequence[MemberRecord], entry_id: str, size: int) -> list[MemberRecord]:
    """Return the replicas that an entry connects to, all of them if they are few."""
    if len(members) <= size:
        return list(members)
    return rank_members(members, entry_id)[:size]
