"""Verified chunks held in memory, by version."""

from __future__ import annotations

import threading
from collections import OrderedDict

from hibiscustray.exceptions import CacheFull, ChunkMissing
from hibiscustray.weights.manifest import Manifest


class ChunkCache:
    """An aggregate of versions; a chunk is verified before it is kept.

    Opening a version reserves room for all of it, letting go of the least recently opened
    versions that are not pinned.
    """

    def __init__(self, capacity_b: int) -> None:
        self._capacity_b = capacity_b
        self._manifests: OrderedDict[str, Manifest] = OrderedDict()
        self._chunks: dict[str, dict[int, bytes]] = {}
        self._masks: dict[str, int] = {}
        self._pins: dict[str, int] = {}
        self._lock = threading.Lock()

    def add_version(self, digest: str, manifest: Manifest) -> None:
        """Make room for a version; raise `CacheFull` if there is none."""
        with self._lock:
            if digest in self._manifests:
                self._manifests.move_to_end(digest)
                return
            self._make_room(manifest.size)
            self._manifests[digest] = manifest
            self._chunks[digest] = {}
            self._masks[digest] = 0

    def pin(self, digest: str) -> None:
        """Keep a version from being let go."""
        with self._lock:
            self._pins[digest] = self._pins.get(digest, 0) + 1

    def unpin(self, digest: str) -> None:
        """Allow a version to be let go when room is needed."""
        with self._lock:
            self._pins[digest] = self._pins.get(digest, 1) - 1

    def put(self, digest: str, index: int, data: bytes, sender: str) -> None:
        """Verify and keep a chunk; raise `ChunkCorrupt` or `ChunkMissing` if let go."""
        manifest = self.manifest(digest)
        if manifest is None:
            raise ChunkMissing(f"{digest[:12]} was let go")
        manifest.verify(index, data, sender)
        with self._lock:
            if digest in self._chunks:
                self._chunks[digest].setdefault(index, data)
                self._masks[digest] |= 1 << index

    def get(self, digest: str, index: int) -> bytes:
        """Return a chunk; raise `ChunkMissing`."""
        data = self._chunks.get(digest, {}).get(index)
        if data is None:
            raise ChunkMissing(f"chunk {index} of {digest[:12]}")
        return data

    def manifest(self, digest: str) -> Manifest | None:
        """Return the manifest of an open version."""
        return self._manifests.get(digest)

    def versions(self) -> tuple[str, ...]:
        """Return the digests of the open versions."""
        with self._lock:
            return tuple(self._manifests)

    def held(self, digest: str) -> int:
        """Return the chunks held as a mask, in which bit `i` stands for chunk `i`."""
        return self._masks.get(digest, 0)

    def is_complete(self, digest: str) -> bool:
        """Tell whether all chunks of a version are held."""
        manifest = self.manifest(digest)
        return manifest is not None and self.held(digest) == (1 << manifest.count) - 1

    def _make_room(self, needed_b: int) -> None:
        free = self._capacity_b - sum(m.size for m in self._manifests.values())
        for digest in list(self._manifests):
            if free >= needed_b:
                return
            if self._pins.get(digest, 0) <= 0:
                free += self._manifests.pop(digest).size
                del self._chunks[digest]
                del self._masks[digest]
        if free < needed_b:
            raise CacheFull(f"{needed_b} bytes needed, {free} free")


def encode_bitmap(mask: int) -> bytes:
    """Return a mask of chunks as bytes, lowest chunks first."""
    return mask.to_bytes(-(-mask.bit_length() // 8), "little")


def decode_bitmap(bitmap: bytes, count: int) -> int:
    """Return the mask in a bitmap, ignoring bits past the count."""
    return int.from_bytes(bitmap, "little") & ((1 << count) - 1)


def list_chunks(mask: int) -> list[int]:
    """Return the indexes of the chunks in a mask, in order."""
    indexes = []
    while mask:
        lowest = mask & -mask
        indexes.append(lowest.bit_length() - 1)
        mask ^= lowest
    return indexes
