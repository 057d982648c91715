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
        self._pins: dict[str, int] = {}
        self._lock = threading.Lock()

    def open(self, digest: str, manifest: Manifest) -> None:
        """Make room for a version; raise `CacheFull` if there is none."""
        with self._lock:
            if digest in self._manifests:
                self._manifests.move_to_end(digest)
                return
            self._make_room(manifest.size)
            self._manifests[digest] = manifest
            self._chunks[digest] = {}

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

    def get(self, digest: str, index: int) -> bytes:
        """Return a chunk; raise `ChunkMissing`."""
        data = self._chunks.get(digest, {}).get(index)
        if data is None:
            raise ChunkMissing(f"chunk {index} of {digest[:12]}")
        return data

    def manifest(self, digest: str) -> Manifest | None:
        """Return the manifest of an open version."""
        return self._manifests.get(digest)

    def held(self, digest: str) -> set[int]:
        """Return the indexes of the chunks held."""
        with self._lock:
            return set(self._chunks.get(digest, ()))

    def bitmap(self, digest: str) -> bytes:
        """Return the chunks held as a bitmap, most significant bit first."""
        manifest = self.manifest(digest)
        if manifest is None:
            return b""
        bits = bytearray(-(-manifest.count // 8))
        for index in self.held(digest):
            bits[index // 8] |= 0x80 >> (index % 8)
        return bytes(bits)

    def is_whole(self, digest: str) -> bool:
        """Tell whether all chunks of a version are held."""
        manifest = self.manifest(digest)
        return manifest is not None and len(self._chunks[digest]) == manifest.count

    def _make_room(self, needed_b: int) -> None:
        free = self._capacity_b - sum(m.size for m in self._manifests.values())
        for digest in list(self._manifests):
            if free >= needed_b:
                return
            if self._pins.get(digest, 0) <= 0:
                free += self._manifests.pop(digest).size
                del self._chunks[digest]
        if free < needed_b:
            raise CacheFull(f"{needed_b} bytes needed, {free} free")


def read_bitmap(bitmap: bytes, count: int) -> set[int]:
    """Return the indexes set in a bitmap, ignoring bits past the count."""
    return {
        index
        for index in range(min(count, len(bitmap) * 8))
        if bitmap[index // 8] & (0x80 >> (index % 8))
    }
