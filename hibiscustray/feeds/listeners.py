"""Listeners that apply feed changes to the catalog, the target versions and the replicas."""

from __future__ import annotations

from collections.abc import Callable

from hibiscustray.catalog import CatalogHolder, TargetVersions
from hibiscustray.clock import read_clock
from hibiscustray.feeds.changes import (
    CatalogPublished,
    Change,
    EntryReported,
    EntryUnlisted,
    ReplicaListed,
    ReplicaUnlisted,
    RequestBlocked,
    RequestReleased,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine import PartQuarantine, is_request
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

    def record_restore(self) -> None:
        """Keep the active configuration and versions, as neither goes back."""

    def _handle_change(self, change: Change, set_at: float) -> None:
        match change:
            case CatalogPublished(catalog=catalog):
                self._catalogs.update(catalog)
            case TargetVersionSet(target=target):
                if self._versions.record(target, set_at):
                    self._on_version()


class ReplicaListener:
    """Applies the replica list.

    A row that cannot be decoded changes nothing about the replica that it is stored under. Rows
    with one of `own_addresses`, those of this process, list no replica: a request that is sent
    there would come back.
    """

    def __init__(
        self, directory: ReplicaDirectory, own_addresses: frozenset[str] = frozenset()
    ) -> None:
        self._directory = directory
        self._own_addresses = own_addresses

    def replace(self, changes: tuple[Change, ...], earliest_at: float) -> None:
        """Replace the whole replica list."""
        records = [c.record for c in changes if isinstance(c, ReplicaListed)]
        rejected = {c.key for c in changes if isinstance(c, RowRejected)}
        self._directory.replace(
            (r for r in records if r.address not in self._own_addresses), rejected
        )

    def apply(self, change: Change, earliest_at: float) -> None:
        """Apply the change of one row."""
        match change:
            case ReplicaListed(record=record) if record.address in self._own_addresses:
                self._directory.remove(record.id)
            case ReplicaListed(record=record):
                self._directory.update(record)
            case ReplicaUnlisted(replica_id=replica_id):
                self._directory.remove(replica_id)

    def record_outage(self) -> None:
        """Keep the known replicas during the outage."""
        self._directory.record_outage()

    def record_recovery(self) -> None:
        """Give unlisted replicas time to be listed again."""
        self._directory.record_recovery()

    def record_restore(self) -> None:
        """Keep the replicas; rows of those that have left are told as at any other time."""


class EntryListener:
    """Applies the rows of all entries: who they are, their reports, and blocked requests."""

    def __init__(
        self,
        quarantine: PartQuarantine,
        roster: EntryRoster,
        entry_id: str,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._roster = roster
        self._entry_id = entry_id
        self._has_read_table = False
        self._is_restored = False

    def replace(self, changes: tuple[Change, ...], earliest_at: float) -> None:
        """Replace all reports; in the first read, those of unknown age count as just written."""
        written_at = earliest_at if self._has_read_table else self._clock()
        reports = {c.entry_id: c.report for c in changes if isinstance(c, EntryReported)}
        # A row that cannot be read is that of an entry of another release.
        unread = [c.key for c in changes if isinstance(c, RowRejected) and not is_request(c.key)]
        living = [entry_id for entry_id, report in reports.items() if not report.has_left]
        self._roster.replace([*living, *unread], self._is_restored)
        own_report = reports.pop(self._entry_id, None)
        if own_report is not None and not self._has_read_table:
            self._quarantine.continue_blocks(own_report, written_at)
        self._has_read_table = True
        for entry_id in self._quarantine.list_reported_entries():
            if entry_id not in reports:
                self._quarantine.forget_report(entry_id)
        for entry_id, report in reports.items():
            self._quarantine.record_report(entry_id, report, written_at)
        blocked = [c for c in changes if isinstance(c, RequestBlocked)]
        for change in blocked:
            self._quarantine.record_request_row(change.request, change.trials)
        requests = {change.request for change in blocked}
        self._quarantine.record_request_table(requests, self._is_restored)
        self._is_restored = False

    def apply(self, change: Change, earliest_at: float) -> None:
        """Apply the change of one row."""
        match change:
            case RequestBlocked(request=request, trials=trials):
                self._quarantine.record_request_row(request, trials)
            case RequestReleased(request=request):
                self._quarantine.record_request_removal(request)
            case RowRejected(key=key) if is_request(key):
                return
            case EntryReported(entry_id=entry_id, report=report):
                if report.has_left:
                    self._roster.remove(entry_id)
                else:
                    self._roster.record(entry_id)
                self._quarantine.record_report(entry_id, report, earliest_at)
            case RowRejected(key=entry_id):
                self._roster.record(entry_id)
                self._quarantine.forget_report(entry_id)
            case EntryUnlisted(entry_id=entry_id):
                self._roster.remove(entry_id)
                self._quarantine.forget_report(entry_id)

    def record_outage(self) -> None:
        """Keep the reports; own observations alone lead to decisions."""

    def record_recovery(self) -> None:
        """Keep the reports until newer ones arrive."""

    def record_restore(self) -> None:
        """Keep what the table may have lost until it is written again."""
        self._is_restored = self._has_read_table
