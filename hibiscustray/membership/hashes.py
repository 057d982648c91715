"""Hashes over member records, by which two processes find where their views differ."""

from __future__ import annotations

import struct

import xxhash

from hibiscustray.peers.messages import DEAD, LEFT, MemberRecord

BUCKETS = 128
BUCKET_MASK = 0xFFFFFFFF
PACKING = struct.Struct(f"<{BUCKETS}I")


class ViewHash:
    """A hash of all active records and one for each bucket, kept up to date record by record."""

    def __init__(self) -> None:
        self.value = 0
        self._buckets = [0] * BUCKETS

    @staticmethod
    def bucket_of(member_id: str) -> int:
        """Return the bucket that a member falls into."""
        return hash_id(member_id) % BUCKETS

    def replace(self, old: MemberRecord | None, new: MemberRecord) -> None:
        """Take an old record out and put a new one in."""
        change = _hash_record(new) ^ (_hash_record(old) if old is not None else 0)
        self.value ^= change
        self._buckets[self.bucket_of(new.id)] ^= change & BUCKET_MASK

    def pack(self) -> bytes:
        """Return the hashes of all buckets."""
        return PACKING.pack(*self._buckets)

    def compare(self, packed: bytes) -> set[int]:
        """Return the buckets that differ from a peer's; all of them if it sent no such list."""
        if len(packed) != PACKING.size:
            return set(range(BUCKETS))
        theirs = PACKING.unpack(packed)
        return {i for i in range(BUCKETS) if theirs[i] != self._buckets[i]}


def hash_id(member_id: str) -> int:
    """Return a member's position on the ring."""
    return xxhash.xxh64_intdigest(member_id.encode())


def _hash_record(record: MemberRecord) -> int:
    """Return the hash of a record, zero for one that is dead or left."""
    if record.status in (DEAD, LEFT):
        return 0
    text = f"{record.id}\n{record.incarnation}\n{record.sequence}\n{record.status}"
    return xxhash.xxh64_intdigest(text.encode())
