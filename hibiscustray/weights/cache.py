"""In-memory cache of verified chunks."""

from __future__ import annotations

import threading
from collections import OrderedDict

from hibiscustray.exceptions import CacheFull, ChunkMissing
from hibiscustray.weights.manifest import Manifest


class ChunkCache:
    """Holds the chunks of several versions and verifies each chunk before it stores it.

    Adding a version reserves memory for all of its chunks. If there is not enough, the least
    recently added versions that are not pinned are evicted.
    """

    def __init__(self, capacity_b: int) -> None:
        self._capacity_b = capacity_b
        self._manifests: OrderedDict[str, Manifest] = OrderedDict()
        self._chunks: dict[str, dict[int, bytes]] = {}
        self._masks: dict[str, int] = {}
        self._pins: dict[str, int] = {}
        self._lock = threading.Lock()

    def add_version(self, digest: str, manifest: Manifest) -> None:
        """Reserve memory for a version; raise `CacheFull` if not enough can be freed."""
        with self._lock:
            if digest in self._manifests:
                self._manifests.move_to_end(digest)
                return
            self._make_room(manifest.size)
            self._manifests[digest] = manifest
            self._chunks[digest] = {}
            self._masks[digest] = 0

    def discard(self, digest: str) -> None:
        """Remove a version, for example because its manifest turned out to be corrupt."""
        with self._lock:
            self._manifests.pop(digest, None)
            self._chunks.pop(digest, None)
            self._masks.pop(digest, None)

    def pin(self, digest: str) -> None:
        """Protect a version from eviction; each call needs its own `unpin`."""
        with self._lock:
            self._pins[digest] = self._pins.get(digest, 0) + 1

    def unpin(self, digest: str) -> None:
        """Undo one `pin`; a version without pins may be evicted."""
        with self._lock:
            self._pins[digest] = self._pins.get(digest, 1) - 1

    def put(self, digest: str, index: int, data: bytes, sender: str) -> None:
        """Verify and store a chunk.

        Raises `ChunkCorrupt` if the digest differs, `ChunkMissing` if the version was evicted.
        """
        manifest = self.manifest(digest)
        if manifest is None:
            raise ChunkMissing(f"version {digest[:12]} was evicted from the cache")
        manifest.verify(index, data, sender)
        with self._lock:
            if digest in self._chunks:
                self._chunks[digest].setdefault(index, data)
                self._masks[digest] |= 1 << index

    def get(self, digest: str, index: int) -> bytes:
        """Return a chunk; raise `ChunkMissing` if it is not cached."""
        data = self._chunks.get(digest, {}).get(index)
        if data is None:
            raise ChunkMissing(f"chunk {index} of version {digest[:12]} is not cached")
        return data

    def manifest(self, digest: str) -> Manifest | None:
        """Return the manifest of a cached version, None if it is not cached."""
        return self._manifests.get(digest)

    def versions(self) -> tuple[str, ...]:
        """Return the digests of the cached versions, least recently added first."""
        with self._lock:
            return tuple(self._manifests)

    def held(self, digest: str) -> int:
        """Return the cached chunks of a version as a bit mask; bit `i` stands for chunk `i`."""
        return self._masks.get(digest, 0)

    def is_complete(self, digest: str) -> bool:
        """Return whether all chunks of a version are cached."""
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
            raise CacheFull(f"the cache needs {needed_b} bytes, but only {free} can be freed")


def encode_bitmap(mask: int) -> bytes:
    """Encode a chunk mask as little-endian bytes without trailing zero bytes."""
    return mask.to_bytes(-(-mask.bit_length() // 8), "little")


def decode_bitmap(bitmap: bytes, count: int) -> int:
    """Decode a bitmap into a chunk mask, ignoring bits at or above `count`."""
    return int.from_bytes(bitmap, "little") & ((1 << count) - 1)


def list_chunks(mask: int) -> list[int]:
    """Return the indexes of the chunks in a mask in ascending order."""
    indexes = []
    while mask:
        lowest = mask & -mask
        indexes.append(lowest.bit_length() - 1)
        mask ^= lowest
    return indexes
