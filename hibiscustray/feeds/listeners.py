"""Listeners that apply feed changes to the catalog, the target versions and the replicas."""

from __future__ import annotations

from collections.abc import Callable

from hibiscustray.catalog import CatalogHolder, TargetVersions
from hibiscustray.feeds.changes import (
    CatalogPublished,
    Change,
    ReplicaListed,
    ReplicaUnlisted,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.replicas import ReplicaDirectory


def _do_nothing() -> None:
    return None


class OperatorListener:
    """Applies the operator's configuration and target versions."""

    def __init__(
        self,
        catalogs: CatalogHolder,
        versions: TargetVersions,
        on_version: Callable[[], None] = _do_nothing,
    ) -> None:
        self._catalogs = catalogs
        self._versions = versions
        self._on_version = on_version
        self._has_read_table = False

    def replace(self, changes: tuple[Change, ...], earliest_at: float) -> None:
        """Apply the whole table; versions in the first read count as set infinitely long ago."""
        set_at = earliest_at if self._has_read_table else float("-inf")
        self._has_read_table = True
        for change in changes:
            self._handle_change(change, set_at)

    def apply(self, change: Change, earliest_at: float) -> None:
        """Apply one change."""
        self._handle_change(change, earliest_at)

    def record_outage(self) -> None:
        """Keep the active configuration and versions."""

    def record_recovery(self) -> None:
        """Keep the active configuration and versions until a change arrives."""

    def _handle_change(self, change: Change, set_at: float) -> None:
        match change:
            case CatalogPublished(catalog=catalog):
                self._catalogs.update(catalog)
            case TargetVersionSet(target=target):
                if self._versions.record(target, set_at):
                    self._on_version()


class ReplicaListener:
    """Applies the replica list."""

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory

    def replace(self, changes: tuple[Change, ...], earliest_at: float) -> None:
        """Replace the whole replica list."""
        self._directory.replace(c.record for c in changes if isinstance(c, ReplicaListed))

    def apply(self, change: Change, earliest_at: float) -> None:
        """Apply the change of one row."""
        match change:
            case ReplicaListed(record=record):
                self._directory.update(record)
            case ReplicaUnlisted(replica_id=replica_id) | RowRejected(key=replica_id):
                self._directory.remove(replica_id)

    def record_outage(self) -> None:
        """Keep the known replicas during the outage."""
        self._directory.record_outage()

    def record_recovery(self) -> None:
        """Give unlisted replicas time to be listed again."""
        self._directory.record_recovery()
