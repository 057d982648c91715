"""A thread that decides blocks and writes this entry's report when it has changed."""

from __future__ import annotations

import logging
import random
import threading
from typing import Protocol

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import PlatformError
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine.quarantine import PartQuarantine
from hibiscustray.quarantine.report import EntryReport

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


class ReportPublisher:
    """Writes the report at most once in `MIN_WRITE_INTERVAL_S`, if it has news or must be renewed.

    The first report registers the entry. Rows of entries that are gone are removed.
    """

    def __init__(
        self, entry_id: str, quarantine: PartQuarantine, roster: EntryRoster, writer: ReportWriter
    ) -> None:
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

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, which removes the own row, as this entry sends no more requests.

        A store that does not respond is not waited for; the row is then removed as that of an entry
        that is gone.
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
        try:
            self._writer.remove_report(self._entry_id)
        except PlatformError as error:
            log.warning("entry report not removed", extra={"reason": str(error)[:200]})

    def _step(self) -> float:
        """Decide and publish; return the seconds until the next step if nothing changes."""
        wait_s = min(MAX_CHECK_INTERVAL_S, self._quarantine.update())
        self._remove_gone_entries()
        revision = self._quarantine.revision
        written_s = read_clock() - self._written_at
        is_missing = not self._roster.is_listed and written_s > REWRITE_INTERVAL_S
        if not is_missing and revision == self._written_revision and written_s < self._renewal_s:
            return wait_s
        due_s = self._written_at + max(MIN_WRITE_INTERVAL_S, self._backoff_s) - read_clock()
        if due_s > 0:
            return min(wait_s, due_s)
        self._written_at = read_clock()
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
        for entry_id in self._roster.list_gone():
            try:
                self._writer.remove_report(entry_id)
            except PlatformError as error:
                log.warning("row of a gone entry not removed", extra={"reason": str(error)[:200]})
                return
            self._roster.remove(entry_id)
            log.info("entry gone", extra={"entry": entry_id})
