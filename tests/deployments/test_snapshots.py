"""Snapshots of revisions: both format versions, corruption, and restoring a lost table."""

from __future__ import annotations

import hashlib
import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.deployments import Deployment, Revision, RevisionStore, render_deployment
from hibiscustray.deployments.snapshots import (
    DEFLATED,
    MAGIC,
    PLAIN,
    Snapshot,
    SnapshotStore,
    decode_snapshot,
    encode_snapshot,
)
from hibiscustray.exceptions import RecordInvalid, RevisionConflict
from hibiscustray.operator import Operator
from hibiscustray.protocols import ObjectStore, Table
from hibiscustray.standins.platform import PlatformStandIn

ADDRESS = "127.0.0.1"
TIMEOUT_S = 2.0
FORMAT_VERSIONS = (PLAIN, DEFLATED)


def make_snapshot(texts: list[str]) -> Snapshot:
    """Return a snapshot with one revision for each text."""
    revisions = (
        Revision(number, text, "ana", f"change-{number}", 1.5)
        for number, text in enumerate(texts, 1)
    )
    return Snapshot(2.5, tuple(revisions))


@pytest.fixture
def platform():
    standin = PlatformStandIn(ADDRESS, 0, 0, 100.0, {})
    standin.start()
    yield standin
    standin.stop()


@given(st.lists(st.text(), max_size=5), st.sampled_from(FORMAT_VERSIONS))
def test_both_versions_decode(texts, version):
    snapshot = make_snapshot(texts)
    assert decode_snapshot(encode_snapshot(snapshot, version)) == snapshot


@given(st.sampled_from(FORMAT_VERSIONS), st.data())
def test_changed_byte_is_detected(version, data):
    body = bytearray(encode_snapshot(make_snapshot(["a", "b"]), version))
    position = data.draw(st.integers(0, len(body) - 1))
    body[position] ^= data.draw(st.integers(1, 255))
    with pytest.raises(RecordInvalid):
        decode_snapshot(bytes(body))


@given(st.sampled_from([b"", MAGIC, *(MAGIC + bytes([v]) for v in (0, 1, 2, 3))]), st.binary())
def test_arbitrary_content_with_valid_checksum_raises_record_invalid(prefix, content):
    for body in (prefix + content, prefix + hashlib.sha256(content).digest() + content):
        with pytest.raises(RecordInvalid):
            decode_snapshot(body)


def test_missing_revision_number_is_rejected():
    complete = make_snapshot(["a", "b", "c"])
    with pytest.raises(RecordInvalid):
        decode_snapshot(encode_snapshot(Snapshot(1.0, complete.revisions[1:])))


def test_restored_table_accepts_further_revisions(platform):
    snapshots = SnapshotStore(ObjectStore(platform.url, TIMEOUT_S))
    snapshot = make_snapshot(["a", "b"])
    assert snapshots.read(snapshots.write(snapshot)) == snapshot
    store = RevisionStore(Table(platform.url, TIMEOUT_S))
    store.restore(snapshots.read().revisions)
    assert store.read_history() == list(snapshot.revisions)
    assert store.accept("c", "ben", 2, uuid.uuid4().hex).number == 3
    with pytest.raises(RevisionConflict):
        store.restore(snapshot.revisions)


def test_interrupted_restore_is_completed_by_next(platform):
    store = RevisionStore(Table(platform.url, TIMEOUT_S))
    revisions = make_snapshot(["a", "b", "c"]).revisions
    store._restore_revision(revisions[0])
    store.restore(revisions)
    assert store.read_history() == list(revisions)


def test_operator_saves_and_restores_snapshot(platform):
    operator = Operator("ana", platform.url, platform.url)
    revision = operator.apply(render_deployment(Deployment("trust")))
    key = operator.save_snapshot()
    other = PlatformStandIn(ADDRESS, 0, 0, 100.0, {})
    other.start()
    try:
        successor = Operator("ben", other.url, platform.url)
        assert successor.restore_snapshot(key) == 1
        assert successor.read() == revision
    finally:
        other.stop()
