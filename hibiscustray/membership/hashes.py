"""Hashes over member records, which show where the views of two processes differ."""

from __future__ import annotations

import struct

import xxhash

from hibiscustray.peers.messages import DEAD, LEFT, MemberRecord

BUCKET_COUNT = 128
BUCKET_MASK = 0xFFFFFFFF
BUCKET_STRUCT = struct.Struct(f"<{BUCKET_COUNT}I")


class ViewHash:
    """Incremental hashes of the active records: one over all of them and one for each bucket."""

    def __init__(self) -> None:
        self.value = 0
        self._buckets = [0] * BUCKET_COUNT

    @staticmethod
    def find_bucket(member_id: str) -> int:
        """Return the bucket of a member."""
        return hash_id(member_id) % BUCKET_COUNT

    def replace(self, old: MemberRecord | None, new: MemberRecord) -> None:
        """Replace a member's old record, if any, by its new one."""
        change = _hash_record(new) ^ (_hash_record(old) if old is not None else 0)
        self.value ^= change
        self._buckets[self.find_bucket(new.id)] ^= change & BUCKET_MASK

    def pack(self) -> bytes:
        """Return the hashes of all buckets as little-endian 32-bit integers."""
        return BUCKET_STRUCT.pack(*self._buckets)

    def compare(self, packed: bytes) -> set[int]:
        """Return the buckets that differ from a peer's, or all if its list has another length."""
        if len(packed) != BUCKET_STRUCT.size:
            return set(range(BUCKET_COUNT))
        peer_hashes = BUCKET_STRUCT.unpack(packed)
        return {i for i in range(BUCKET_COUNT) if peer_hashes[i] != self._buckets[i]}


def hash_id(member_id: str) -> int:
    """Return a member's position on the hash ring."""
    return xxhash.xxh64_intdigest(member_id.encode())


def _hash_record(record: MemberRecord) -> int:
    """Return the hash of a record, zero if the member is dead or has left."""
    if record.status in (DEAD, LEFT):
        return 0
    text = f"{record.id}\n{record.incarnation}\n{record.sequence}\n{record.status}"
    return xxhash.xxh64_intdigest(text.encode())
