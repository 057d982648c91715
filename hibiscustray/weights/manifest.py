"""Manifests, which list the chunk digests of one version; the manifest digest names the version."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import ChunkCorrupt, ManifestInvalid

MIN_CHUNK_B = 64 * 1024
MAX_CHUNK_B = 4 * 1024 * 1024
TARGET_CHUNK_COUNT = 256
DIGEST_B = 32


class Manifest(msgspec.Struct, frozen=True):
    """Lists the raw SHA-256 digests of a file's chunks in order.

    `path` is the path of the file at the origin. `base` is the manifest digest of the model that
    an adapter belongs to, empty for a model.
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
        """Return the offset and the length of a chunk in bytes."""
        start = index * self.chunk_size
        return start, min(self.chunk_size, self.size - start)

    def verify(self, index: int, data: bytes, sender: str) -> None:
        """Raise `ChunkCorrupt`, which names the sender, if the data does not match the digest."""
        if hashlib.sha256(data).digest() != self.chunks[index]:
            raise ChunkCorrupt(index, sender)

    def encode(self) -> bytes:
        """Return the canonical encoding, whose digest names the version."""
        return msgspec.msgpack.encode(self)

    @property
    def digest(self) -> str:
        """Return the hexadecimal SHA-256 digest of the canonical encoding."""
        return hashlib.sha256(self.encode()).hexdigest()


def make_version_manifest(path: str, chunk_b: int, digests: Iterable[str]) -> Manifest:
    """Return the manifest of a version whose chunks all have `chunk_b` bytes.

    `digests` are SHA-256 digests as hexadecimal text. Raises `ManifestInvalid`.
    """
    try:
        chunks = tuple(bytes.fromhex(text) for text in digests)
    except ValueError as error:
        raise ManifestInvalid(f"{path}: {error}") from error
    if chunk_b <= 0 or not chunks or any(len(digest) != DIGEST_B for digest in chunks):
        raise ManifestInvalid(f"the manifest of {path} has invalid sizes")
    return Manifest(path, chunk_b * len(chunks), chunk_b, chunks)


def decode_manifest(body: bytes, digest: str) -> Manifest:
    """Decode a manifest and check its digest and the consistency of its sizes."""
    if hashlib.sha256(body).hexdigest() != digest:
        raise ManifestInvalid(f"the manifest does not match the digest {digest[:12]}")
    return decode_manifest_body(body)


def decode_manifest_body(body: bytes) -> Manifest:
    """Decode a manifest and check the consistency of its sizes."""
    try:
        manifest = msgspec.msgpack.decode(body, type=Manifest)
    except DECODE_ERRORS as error:
        raise ManifestInvalid(str(error)) from error
    if manifest.size <= 0 or manifest.chunk_size <= 0:
        raise ManifestInvalid("the file size and the chunk size must be greater than zero")
    expected = -(-manifest.size // manifest.chunk_size)
    if manifest.count != expected or any(len(chunk) != DIGEST_B for chunk in manifest.chunks):
        raise ManifestInvalid(
            f"{manifest.count} chunk digests are listed, {expected} of 32 bytes each are expected"
        )
    return manifest


def choose_chunk_size(size: int) -> int:
    """Return the chunk size that splits a file into about 256 chunks, within the bounds."""
    return max(MIN_CHUNK_B, min(MAX_CHUNK_B, -(-size // TARGET_CHUNK_COUNT)))


def build_manifest(
    file: Path, path: str, chunk_size: int | None = None, base: str = ""
) -> Manifest:
    """Return the manifest of a local weights file that the origin serves under `path`."""
    chunk_size = chunk_size or choose_chunk_size(file.stat().st_size)
    chunks = tuple(hashlib.sha256(data).digest() for data in _read_chunks(file, chunk_size))
    return Manifest(path, file.stat().st_size, chunk_size, chunks, base)


def _read_chunks(file: Path, chunk_size: int) -> Iterator[bytes]:
    with file.open("rb") as source:
        while data := source.read(chunk_size):
            yield data
