"""A thread that decides blocks and writes this entry's report when it has changed."""

from __future__ import annotations

import logging
import random
import threading
import uuid
from collections.abc import Callable
from typing import Protocol

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import PlatformError, RecordInvalid
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine.quarantine import PartQuarantine
from hibiscustray.quarantine.report import EntryReport, StoredBlock
from hibiscustray.quarantine.requests import MAX_TRIALS, RowChange

log = logging.getLogger(__name__)

MIN_WRITE_INTERVAL_S = 0.3
MAX_CHECK_INTERVAL_S = 5.0
MIN_BACKOFF_S = 0.3
MAX_BACKOFF_S = 5.0
RENEWAL_INTERVAL_S = 300.0
"""Time after which a row without news is written again, or its entry would count as gone."""
JOIN_TIMEOUT_S = 0.2
REWRITE_INTERVAL_S = 5.0
"""Time after a write without which a row that is missing in the table is written again."""


class ReportWriter(Protocol):
    """Writes the entries' reports to a table that all entries follow."""

    def write_report(self, entry_id: str, report: EntryReport) -> None:
        """Write the row of an entry; raise `PlatformError`."""
        ...

    def remove_report(self, entry_id: str) -> None:
        """Remove the row of an entry; raise `PlatformError`."""
        ...

    def read_block(self, request: str) -> tuple[StoredBlock | None, int]:
        """Return the row of a blocked request and its revision; raise `PlatformError`."""
        ...

    def write_block(self, request: str, block: StoredBlock, revision: int) -> None:
        """Write the row of a blocked request unless its revision has changed, 0 for no row.

        Raises `PlatformError`.
        """
        ...


class ReportPublisher:
    """Writes the report at most once in `MIN_WRITE_INTERVAL_S`, if it has news or must be renewed.

    The first report registers the entry. Of an entry that is gone, what still counts is left in its
    row, which is removed if there is nothing. Rows of blocked requests are written as well.
    """

    def __init__(
        self,
        entry_id: str,
        quarantine: PartQuarantine,
        roster: EntryRoster,
        writer: ReportWriter,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._clock = clock
        self._entry_id = entry_id
        self._roster = roster
        self._quarantine = quarantine
        self._writer = writer
        self._written_revision = -1
        self._written_at = float("-inf")
        self._backoff_s = 0.0
        self._renewal_s = RENEWAL_INTERVAL_S
        self._changed = threading.Event()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="report-publisher", daemon=True)
        quarantine.on_change = self._changed.set

    @property
    def is_quarantine_usable(self) -> bool:
        """Return whether requests may be sent as far as the quarantine is concerned."""
        return self._quarantine.is_usable()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, which leaves in the own row only what outlives this entry.

        A store that does not respond is not waited for; the row is then that of an entry that is
        gone.
        """
        self._is_stopping = True
        self._changed.set()
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        while not self._is_stopping:
            try:
                wait_s = self._step()
            except Exception:
                # The thread must survive any failure, since it alone decides blocks.
                log.exception("entry report failed")
                wait_s = MAX_CHECK_INTERVAL_S
            self._changed.wait(wait_s)
            self._changed.clear()
        if not self._quarantine.is_loaded:
            return
        try:
            self._conclude(self._entry_id)
        except PlatformError as error:
            log.warning("entry report not removed", extra={"reason": str(error)[:200]})

    def _step(self) -> float:
        """Decide and publish; return the seconds until the next step if nothing changes."""
        wait_s = min(MAX_CHECK_INTERVAL_S, self._quarantine.update())
        self._remove_gone_entries()
        self._change_blocks()
        if not self._quarantine.is_loaded:
            # The row may hold what this entry reported before it restarted.
            return min(wait_s, MIN_WRITE_INTERVAL_S)
        revision = self._quarantine.revision
        written_s = self._clock() - self._written_at
        is_missing = not self._roster.is_listed and written_s > REWRITE_INTERVAL_S
        if not is_missing and revision == self._written_revision and written_s < self._renewal_s:
            return wait_s
        due_s = self._written_at + max(MIN_WRITE_INTERVAL_S, self._backoff_s) - self._clock()
        if due_s > 0:
            return min(wait_s, due_s)
        self._written_at = self._clock()
        try:
            self._writer.write_report(self._entry_id, self._quarantine.make_report())
        except PlatformError as error:
            self._backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self._backoff_s))
            self._backoff_s *= random.uniform(0.75, 1.0)
            log.warning("entry report not written", extra={"reason": str(error)[:200]})
            return min(wait_s, self._backoff_s)
        self._backoff_s = 0.0
        self._renewal_s = RENEWAL_INTERVAL_S * random.uniform(0.75, 1.0)
        self._written_revision = revision
        return wait_s

    def _remove_gone_entries(self) -> None:
        concluded = self._roster.list_gone()
        # What was taken over must be in the own row before it goes from another one.
        if self._roster.is_first and self._quarantine.revision == self._written_revision:
            concluded += self._quarantine.list_spent_reports()
        for entry_id in concluded:
            try:
                self._conclude(entry_id)
            except PlatformError as error:
                log.warning("row of a gone entry not removed", extra={"reason": str(error)[:200]})
                return
            self._roster.remove(entry_id)
            log.info("entry gone", extra={"entry": entry_id})

    def _conclude(self, entry_id: str) -> None:
        """Leave in an entry's row only what outlives the entry."""
        report = self._quarantine.make_last_report(entry_id)
        if report is None:
            self._writer.remove_report(entry_id)
        else:
            self._writer.write_report(entry_id, report)

    def _change_blocks(self) -> None:
        for request, change in self._quarantine.list_row_changes().items():
            try:
                self._change_block(request, change)
            except RecordInvalid as error:
                log.warning("row of a request unreadable", extra={"reason": str(error)[:200]})
            except PlatformError as error:
                log.warning("row of a request not changed", extra={"reason": str(error)[:200]})
                return

    def _change_block(self, request: str, change: RowChange) -> None:
        match change:
            case RowChange.ADD:
                self._writer.write_block(request, StoredBlock(), 0)
            case RowChange.REMOVE:
                self._writer.remove_report(request)
            case RowChange.RENEW:
                block, revision = self._writer.read_block(request)
                if block is not None:
                    self._writer.write_block(request, block, revision)
            case RowChange.TAKE_TRIAL:
                number = self._take_trial(request)
                if number:
                    self._quarantine.grant_trial(request, number)

    def _take_trial(self, request: str) -> int:
        """Count a trial in the row; return its number from 1, 0 if there is none to take.

        Only one entry can write each number; the row then has the id of its write.
        """
        block, revision = self._writer.read_block(request)
        if block is None or block.trials >= MAX_TRIALS:
            return 0
        taken = StoredBlock(block.trials + 1, uuid.uuid4().hex)
        self._writer.write_block(request, taken, revision)
        written, _ = self._writer.read_block(request)
        return taken.trials if written == taken else 0
