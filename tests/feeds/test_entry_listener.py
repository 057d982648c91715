"""The rows of entries as one entry reads them."""

from __future__ import annotations

from hibiscustray.feeds import (
    EntryListener,
    EntryReported,
    EntryUnlisted,
    RequestBlocked,
    RowRejected,
)
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine import EntryReport, PartQuarantine
from hibiscustray.quarantine.evidence import REQUEST_PREFIX
from hibiscustray.quarantine.requests import RowChange
from hibiscustray.telemetry import Metrics


def make_listener() -> tuple[EntryListener, list[int]]:
    counts: list[int] = []
    quarantine = PartQuarantine("e0", Metrics("e0"))
    return EntryListener(quarantine, EntryRoster("e0", counts.append), "e0"), counts


def test_entry_of_another_release_whose_row_cannot_be_read_counts():
    listener, counts = make_listener()
    listener.replace((EntryReported("e1", EntryReport()), RowRejected("e2", "?")), 1.0)
    assert counts[-1] == 3
    listener.apply(RowRejected("e1", "?"), 2.0)
    assert counts[-1] == 3
    listener.apply(EntryUnlisted("e2"), 3.0)
    assert counts[-1] == 2


def restore(listener: EntryListener, *changes) -> None:
    listener.record_outage()
    listener.record_restore()
    listener.record_recovery()
    listener.replace(changes, 1.0)


# Guards against limits of replicas that are shared among too few entries, as a restored table has
# lost the rows of entries that joined after the copy.
def test_entries_count_whose_rows_a_restored_table_has_lost():
    listener, counts = make_listener()
    reports = [EntryReported(f"e{n}", EntryReport()) for n in range(4)]
    listener.replace(tuple(reports), 1.0)
    restore(listener, *reports[:2])
    assert counts[-1] == 4
    listener.apply(EntryUnlisted("e3"), 3.0)
    assert counts[-1] == 3
    listener.replace(tuple(reports[:2]), 4.0)
    assert counts[-1] == 2


# Guards against the release of a harmful request whose row a restored table has lost.
def test_request_stays_blocked_whose_row_a_restored_table_has_lost():
    listener, _ = make_listener()
    quarantine = listener._quarantine
    request = REQUEST_PREFIX + "00" * 8
    listener.replace((RequestBlocked(request, 0),), 1.0)
    restore(listener)
    assert quarantine.list_row_changes() == {request: RowChange.ADD}
    listener.apply(RequestBlocked(request, 0), 2.0)
    listener.replace((), 3.0)
    assert quarantine.list_row_changes() == {}


# Guards against a report as it was before the copy, which would stay until it is renewed.
def test_own_report_is_written_again_once_the_table_was_restored():
    listener, _ = make_listener()
    listener.replace((EntryReported("e0", EntryReport()),), 1.0)
    revision = listener._quarantine.revision
    listener.replace((EntryReported("e0", EntryReport()),), 2.0)
    assert listener._quarantine.revision == revision
    restore(listener, EntryReported("e0", EntryReport()))
    assert listener._quarantine.revision > revision
