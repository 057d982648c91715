"""The rows of entries as one entry reads them."""

from __future__ import annotations

from hibiscustray.feeds import EntryListener, EntryReported, EntryUnlisted, RowRejected
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine import EntryReport, PartQuarantine
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
