"""The manifest of one version: its chunks' digests and sizes; its own digest names it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from hibiscustray.exceptions import ChunkCorrupt, ManifestInvalid

MIN_CHUNK_B = 64 * 1024
MAX_CHUNK_B = 4 * 1024 * 1024
TARGET_CHUNK_COUNT = 256
DIGEST_B = 32


class Manifest(msgspec.Struct, frozen=True):
    """Chunk digests (SHA-256, raw) in order, with the origin's path of the whole file.

    `base` is the manifest digest that an adapter fits, empty for a model.
    """

    path: str
    size: int
    chunk_size: int
    chunks: tuple[bytes, ...]
    base: str = ""

    @property
    def count(self) -> int:
        """Return the number of chunks."""
        return len(self.chunks)

    def locate_chunk(self, index: int) -> tuple[int, int]:
        """Return the start and length in bytes of a chunk."""
        start = index * self.chunk_size
        return start, min(self.chunk_size, self.size - start)

    def verify(self, index: int, data: bytes, sender: str) -> None:
        """Raise `ChunkCorrupt`, naming the sender, unless the bytes are the chunk's."""
        if hashlib.sha256(data).digest() != self.chunks[index]:
            raise ChunkCorrupt(index, sender)

    def encode(self) -> bytes:
        """Return the canonical bytes, whose digest names the version."""
        return msgspec.msgpack.encode(self)

    @property
    def digest(self) -> str:
        """Return the hex SHA-256 of the canonical bytes."""
        return hashlib.sha256(self.encode()).hexdigest()


def decode_manifest(body: bytes, digest: str) -> Manifest:
    """Decode a manifest and check it against its digest and its own sizes."""
    if hashlib.sha256(body).hexdigest() != digest:
        raise ManifestInvalid(f"manifest does not match {digest[:12]}")
    return decode_manifest_body(body)


def decode_manifest_body(body: bytes) -> Manifest:
    """Decode a manifest and check it against its own sizes."""
    try:
        manifest = msgspec.msgpack.decode(body, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ManifestInvalid(str(error)) from error
    if manifest.size <= 0 or manifest.chunk_size <= 0:
        raise ManifestInvalid("sizes must be above zero")
    expected = -(-manifest.size // manifest.chunk_size)
    if manifest.count != expected or any(len(chunk) != DIGEST_B for chunk in manifest.chunks):
        raise ManifestInvalid(f"{manifest.count} chunks listed, {expected} expected")
    return manifest


def choose_chunk_size(size: int) -> int:
    """Return a chunk size that gives a file enough chunks to spread, within bounds."""
    return max(MIN_CHUNK_B, min(MAX_CHUNK_B, -(-size // TARGET_CHUNK_COUNT)))


def build_manifest(
    file: Path, path: str, chunk_size: int | None = None, base: str = ""
) -> Manifest:
    """Hash a weights file that the origin serves under a path."""
    chunk_size = chunk_size or choose_chunk_size(file.stat().st_size)
    chunks = tuple(hashlib.sha256(data).digest() for data in _read_chunks(file, chunk_size))
    return Manifest(path, file.stat().st_size, chunk_size, chunks, base)


def _read_chunks(file: Path, chunk_size: int) -> Iterator[bytes]:
    with file.open("rb") as source:
        while data := source.read(chunk_size):
            yield data
