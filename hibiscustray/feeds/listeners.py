"""What the followers' changes do to the catalog, the versions and the replicas."""

from __future__ import annotations

from collections.abc import Callable

from hibiscustray.catalog import CatalogHolder, VersionBook
from hibiscustray.feeds.changes import (
    CatalogPublished,
    Change,
    ReplicaListed,
    ReplicaUnlisted,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.replicas import ReplicaDirectory


def _ignore() -> None:
    return None


class OperatorListener:
    """Takes in the operator's configuration and target versions."""

    def __init__(
        self,
        catalogs: CatalogHolder,
        versions: VersionBook,
        on_version: Callable[[], None] = _ignore,
    ) -> None:
        self._catalogs = catalogs
        self._versions = versions
        self._on_version = on_version
        self._has_read = False

    def replace(self, changes: tuple[Change, ...], after: float) -> None:
        """Take in all of it; at the first time versions count as set long ago."""
        named_at = after if self._has_read else float("-inf")
        self._has_read = True
        for change in changes:
            self._take(change, named_at)

    def apply(self, change: Change, after: float) -> None:
        """Take in one change."""
        self._take(change, after)

    def note_lost(self) -> None:
        """Go on with what is in force."""

    def note_regained(self) -> None:
        """Go on with what is in force until a change comes."""

    def _take(self, change: Change, named_at: float) -> None:
        match change:
            case CatalogPublished(catalog=catalog):
                self._catalogs.offer(catalog)
            case TargetVersionSet(target=target):
                if self._versions.note(target, named_at):
                    self._on_version()


class ReplicaListener:
    """Takes in the list of replicas."""

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory

    def replace(self, changes: tuple[Change, ...], after: float) -> None:
        """Take in the whole list."""
        self._directory.replace(c.record for c in changes if isinstance(c, ReplicaListed))

    def apply(self, change: Change, after: float) -> None:
        """Take in one entry."""
        match change:
            case ReplicaListed(record=record):
                self._directory.update(record)
            case ReplicaUnlisted(replica_id=replica_id) | RowRejected(key=replica_id):
                self._directory.remove(replica_id)

    def note_lost(self) -> None:
        """Keep the replicas known."""
        self._directory.note_lost()

    def note_regained(self) -> None:
        """Expect live replicas back on the list soon."""
        self._directory.note_regained()
