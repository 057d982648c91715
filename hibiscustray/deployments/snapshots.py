"""Versioned, checksummed snapshots of the accepted revisions in the object store.

The table is authoritative; operators use a snapshot only to restore a lost table.
"""

from __future__ import annotations

import hashlib
import zlib

import msgspec

from hibiscustray.decoding import DECODE_ERRORS, inflate
from hibiscustray.deployments.revisions import Revision
from hibiscustray.exceptions import RecordInvalid
from hibiscustray.protocols import ObjectStore

MAGIC = b"HTSN"
PLAIN = 1
DEFLATED = 2
NEWEST_VERSION = DEFLATED
HEADER_B = len(MAGIC) + 1
CHECKSUM_B = 32
MAX_INFLATED_B = 256 * 1024 * 1024
LATEST_KEY = "snapshots/revisions/latest"


class Snapshot(msgspec.Struct, frozen=True):
    """All accepted revisions up to some number, oldest first."""

    taken_at: float
    revisions: tuple[Revision, ...]


def encode_snapshot(snapshot: Snapshot, version: int = NEWEST_VERSION) -> bytes:
    """Encode a snapshot: magic, version, SHA-256 of the content, content."""
    content = msgspec.msgpack.encode(snapshot)
    if version == DEFLATED:
        content = zlib.compress(content)
    return MAGIC + bytes([version]) + hashlib.sha256(content).digest() + content


def decode_snapshot(body: bytes) -> Snapshot:
    """Decode a snapshot of any known version; raise `RecordInvalid` on failure."""
    header, checksum = body[:HEADER_B], body[HEADER_B : HEADER_B + CHECKSUM_B]
    content = body[HEADER_B + CHECKSUM_B :]
    if header not in (MAGIC + bytes([PLAIN]), MAGIC + bytes([DEFLATED])):
        raise RecordInvalid("not a snapshot, or a snapshot of an unknown version")
    if hashlib.sha256(content).digest() != checksum:
        raise RecordInvalid("the snapshot's checksum does not match")
    plain = inflate(content, MAX_INFLATED_B) if header[-1] == DEFLATED else content
    try:
        snapshot = msgspec.msgpack.decode(plain, type=Snapshot)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"cannot decode snapshot: {error}") from error
    _check_numbers(snapshot)
    return snapshot


class SnapshotStore:
    """Writes and reads snapshots in the object store."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    def write(self, snapshot: Snapshot) -> str:
        """Write a snapshot under its last revision number, then as the latest; return its key.

        Raises `StoreUnavailable` or `StoreAnswerLost`; writing again is idempotent.
        """
        body = encode_snapshot(snapshot)
        key = f"snapshots/revisions/{len(snapshot.revisions):012d}"
        self._objects.put(key, body)
        self._objects.put(LATEST_KEY, body)
        return key

    def read(self, key: str = LATEST_KEY) -> Snapshot:
        """Return a snapshot; raise `ObjectMissing`, `StoreUnavailable` or `RecordInvalid`."""
        return decode_snapshot(self._objects.get(key))


def _check_numbers(snapshot: Snapshot) -> None:
    numbers = [revision.number for revision in snapshot.revisions]
    if numbers != list(range(1, len(numbers) + 1)):
        raise RecordInvalid("the snapshot's revisions are not numbered consecutively from 1")
