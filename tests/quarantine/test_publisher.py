"""Tests of the thread that writes an entry's report."""

from __future__ import annotations

import time

from hibiscustray.exceptions import RecordInvalid
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine import EntryReport, PartQuarantine, ReportPublisher, StoredBlock
from hibiscustray.quarantine.ledger import CONFIRM_S
from hibiscustray.quarantine.requests import RowChange
from hibiscustray.telemetry import Metrics


class Writer:
    """Keeps the reports that were written."""

    def __init__(self) -> None:
        self.reports: list[EntryReport] = []

    def write_report(self, entry_id: str, report: EntryReport) -> None:
        """Keep a report."""
        self.reports.append(report)


def test_loss_is_reported_once_it_is_confirmed_though_nothing_else_changes():
    quarantine, writer = PartQuarantine("e0", Metrics("e0")), Writer()
    publisher = ReportPublisher("e0", quarantine, EntryRoster("e0", lambda count: None), writer)
    quarantine.record_request_table(set())
    quarantine.record_loss("replica", ("part",), 0.0)
    publisher._step()
    time.sleep(CONFIRM_S + 0.1)
    publisher._step()
    assert [len(report.losses) for report in writer.reports] == [0, 1]


def test_unreadable_row_of_a_request_does_not_keep_those_of_others_from_being_written(monkeypatch):
    class BlockWriter(Writer):
        def read_block(self, request: str) -> tuple[StoredBlock | None, int]:
            if request == "odd":
                raise RecordInvalid("blocked request")
            return StoredBlock(), 7

        def write_block(self, request: str, block: StoredBlock, revision: int) -> None:
            written.append((request, revision))

    written: list[tuple[str, int]] = []
    quarantine = PartQuarantine("e0", Metrics("e0"))
    changes = {"odd": RowChange.RENEW, "sound": RowChange.RENEW}
    monkeypatch.setattr(quarantine, "list_row_changes", lambda: changes)
    roster = EntryRoster("e0", lambda count: None)
    ReportPublisher("e0", quarantine, roster, BlockWriter())._step()
    assert written == [("sound", 7)]
