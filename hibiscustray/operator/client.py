"""Applies deployments and reads the accepted revisions."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from pathlib import Path

from hibiscustray.deployments import Revision, RevisionStore, parse_deployment
from hibiscustray.deployments.snapshots import LATEST_KEY, Snapshot, SnapshotStore
from hibiscustray.operator.objects import DeploymentPlan
from hibiscustray.protocols import ObjectStore, Table
from hibiscustray.weights import build_manifest, publish_weights

TIMEOUT_S = 5.0
"""Timeout of each call to the table or the object store."""


class Operator:
    """A client of the platform's table and object store that acts as one named operator.

    `key` signs revisions; `spread`, if given, is called with each revision accepted by `apply`, to
    send it to processes.
    """

    def __init__(
        self,
        name: str,
        table_url: str,
        object_url: str,
        key: bytes = b"",
        timeout_s: float = TIMEOUT_S,
        spread: Callable[[Revision], object] | None = None,
    ) -> None:
        self.name = name
        self._spread = spread
        self._key = key
        self._revisions = RevisionStore(Table(table_url, timeout_s))
        self._objects = ObjectStore(object_url, timeout_s)

    def publish(self, file: Path, path: str, chunk_size: int | None = None, base: str = "") -> str:
        """Hash a weights file that the origin serves, store its manifest and return its digest."""
        return publish_weights(self._objects, build_manifest(file, path, chunk_size, base))

    def read(self, number: int = 0) -> Revision | None:
        """Return the accepted revision with a number, or the newest one for number 0."""
        return self._revisions.read(number) if number else self._revisions.read_head()

    def read_history(self) -> list[Revision]:
        """Return all accepted revisions, oldest first."""
        return self._revisions.read_history()

    def apply(self, plan: DeploymentPlan | str, expected: int | None = None) -> Revision:
        """Store a deployment as a new revision, unless its text equals that of the newest one.

        With `expected`, the newest revision must have that number.

        Raises `SettingsError`, `RevisionConflict`, `StoreUnavailable` or `StoreAnswerLost`.
        """
        text = str(plan)
        parse_deployment(text)
        head = self._revisions.read_head()
        number = head.number if head else 0
        if head is not None and head.text == text and expected in (None, number):
            return head
        base = number if expected is None else expected
        revision = self._revisions.accept(text, self.name, base, uuid.uuid4().hex, self._key)
        if self._spread is not None:
            self._spread(revision)
        return revision

    def save_snapshot(self) -> str:
        """Write all accepted revisions to the object store and return the snapshot's key."""
        revisions = tuple(self._revisions.read_history())
        return SnapshotStore(self._objects).write(Snapshot(time.time(), revisions))

    def restore_snapshot(self, key: str = LATEST_KEY) -> int:
        """Write a snapshot's revisions into an empty table and return the last one's number."""
        snapshot = SnapshotStore(self._objects).read(key)
        self._revisions.restore(snapshot.revisions)
        return len(snapshot.revisions)

    def roll_back(self, number: int) -> Revision:
        """Apply the text of an earlier revision as a new revision."""
        return self.apply(self._revisions.read(number).text)
