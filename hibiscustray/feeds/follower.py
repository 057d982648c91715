"""A thread that follows one table and passes its changes to a listener."""

from __future__ import annotations

import logging
import random
import threading
from typing import Protocol

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import (
    HistoryLost,
    PlatformError,
    StoreRestored,
    StoreUnavailable,
)
from hibiscustray.feeds.changes import (
    Change,
    FeedPage,
    FeedSource,
    RowRejected,
    TargetVersionSet,
    is_earlier_era,
)
from hibiscustray.feeds.clock import ResponseTimes, StoreClock
from hibiscustray.feeds.dating import EARLIEST, DatingLimits
from hibiscustray.feeds.limits import CallLimits
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
"""A change must become active within seconds after an outage, so the backoff is capped low."""
BACKOFF_FACTOR = 2.0
MAX_CALL_MARGIN_S = 1.5
"""Longest time, beyond its wait, that a failing call takes in a process that runs: the timeouts for
the connection and for a response that is due."""
MAX_RETRY_S = 0.75
"""Longest time in which a store that has not been away answers the first call after a failure."""
MAX_CHANGE_AGE_AFTER_OUTAGE_S = 3.0
"""Maximum age of a change in the first response after an outage, unless the failed calls tell less:
no change is made while the store is down, but a congested link delays responses."""
MAX_REJECTED_LOGGED = 20
"""Limit of logged rows, so that a faulty writer cannot flood the log."""


class FeedListener(Protocol):
    """Receives the changes of a table on the follower's thread.

    `earliest_at` is the earliest time of `read_clock` at which the changes may have been made.
    """

    def replace(self, changes: tuple[Change, ...], earliest_at: float) -> None:
        """Handle the contents of the whole table."""
        ...

    def apply(self, change: Change, earliest_at: float) -> None:
        """Handle one change."""
        ...

    def record_outage(self) -> None:
        """Record that the table cannot be read, or could not for a time that has just ended."""
        ...

    def record_recovery(self) -> None:
        """Record that the table can be read again."""
        ...

    def record_restore(self) -> None:
        """Record that the whole table is read next, perhaps as it was some time ago."""
        ...


class FeedFollower:
    """Reads a table once and then its changes; reads the table again if the history was lost.

    With `pause_s` between calls, one response carries the changes made during the pause, for tables
    whose changes are not urgent. `dating` decides when changes count as made.
    """

    def __init__(
        self,
        source: FeedSource,
        listener: FeedListener,
        wait_s: float,
        metrics: Metrics,
        pause_s: float = 0.0,
        dating: DatingLimits = EARLIEST,
    ) -> None:
        self._source = source
        self._listener = listener
        self._wait_s = wait_s
        self._metrics = metrics
        self._pause_s = pause_s
        self._dating = dating
        self._longest_pause_s = float("inf")
        self._revision: int | None = None
        self._era: int | None = None
        self._has_read_page = False
        self._store_clock = StoreClock()
        self._last_response: ResponseTimes | None = None
        self._is_last_located = False
        self._last_read: ResponseTimes | None = None
        self._is_after_gap = False
        self._outage_started_at: float | None = None
        self._is_outage_reported = False
        self._call_due_at = float("-inf")
        self._failed_call_at = float("-inf")
        self._unknown_since = float("-inf")
        self._frozen_since = float("inf")
        self._rejected = 0
        self._logged_versions: dict[str, int] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"feed-{source.name}", daemon=True)

    def start(self) -> None:
        """Start following the table."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; a running call is not interrupted and ends at its timeout."""
        self._stopping.set()

    def set_limits(self, limits: CallLimits) -> None:
        """Apply changed limits to later calls."""
        self._wait_s = limits.wait_s
        self._longest_pause_s = limits.pause_s
        self._source.limit_calls(limits.call_s)

    def _run(self) -> None:
        pause_s = MIN_BACKOFF_S
        self._call_due_at = read_clock()
        while not self._stopping.is_set():
            called_at = read_clock()
            try:
                self._process_next_page()
            except HistoryLost as error:
                log.info(
                    "feed history no longer available",
                    extra={"feed": self._source.name, "reason": str(error), "era": self._era},
                )
                self._metrics.count("feed_history_lost_total", {"feed": self._source.name})
                self._count_call("history_lost")
                self._revision = None
                if isinstance(error, StoreRestored):
                    self._record_restore()
                elif self._outage_started_at is not None:
                    # The store has come back without what it had.
                    self._report_outage()
            except PlatformError as error:
                self._record_outage(error, called_at)
                self._count_call("failed")
                # A call that has taken longer than the pause has spared the store already.
                passed_s = read_clock() - called_at
                self._pause(max(0.0, pause_s * random.uniform(0.5, 1.0) - passed_s))
                pause_s = min(MAX_BACKOFF_S, pause_s * BACKOFF_FACTOR)
            except Exception:
                # The thread must survive any failure; a full read recovers missed changes.
                log.exception("feed failed", extra={"feed": self._source.name})
                self._metrics.count("feed_failures_total", {"feed": self._source.name})
                self._revision = None
                self._pause(pause_s)
                pause_s = min(MAX_BACKOFF_S, pause_s * BACKOFF_FACTOR)
            else:
                pause_s = MIN_BACKOFF_S
                self._pause(min(self._pause_s, self._longest_pause_s))

    def _pause(self, seconds: float) -> None:
        """Wait before the next call."""
        self._call_due_at = read_clock() + seconds
        self._stopping.wait(seconds)

    def _process_next_page(self) -> None:
        called_at = read_clock()
        if self._revision is None:
            self._count_call("read")
            self._apply_full_page(self._read(), called_at)
        else:
            wait_s = self._compute_wait(called_at)
            page = self._source.follow(self._revision, wait_s)
            self._count_followed(page, wait_s)
            self._apply_changes(page, called_at, wait_s)

    def _read(self) -> FeedPage:
        """Return the whole table."""
        return self._source.read()

    def _count_call(self, reason: str) -> None:
        """Count a call to the store by its reason; failed calls for changes count as failures."""
        self._metrics.count("store_calls_total", {"feed": self._source.name, "reason": reason})

    def _count_followed(self, page: FeedPage, wait_s: float) -> None:
        reason = "change" if page.changes else "timeout" if wait_s else "poll"
        self._count_call(reason)

    def _compute_wait(self, now: float) -> float:
        """Return how long the store may wait for a change before it responds, in seconds."""
        # The first call after a failure returns immediately, to detect the end of an outage.
        if self._outage_started_at is not None:
            return 0.0
        # So does the first call after a gap, or a late call would hide that a change is as old.
        was_after_gap = self._is_after_gap
        self._is_after_gap = self._find_gap(now) > self._dating.call_gap_s
        return 0.0 if self._is_after_gap and not was_after_gap else self._wait_s

    def _check_era(self, page: FeedPage) -> None:
        """Raise `StoreRestored` if changes of two eras of the store would be joined.

        Raises `StoreUnavailable` for a late response of an earlier era.
        """
        known, is_first = self._era, not self._has_read_page
        if is_earlier_era(page.era, known):
            raise StoreUnavailable(f"a response of era {page.era} of the store, after {known}")
        self._era, self._has_read_page = page.era, True
        if is_first or page.era == known:
            return
        if self._revision is not None:
            raise StoreRestored(f"era {page.era} of the store, after {known}")
        self._record_restore()

    def _record_restore(self) -> None:
        """Record that what the store has may be older than what was read from it before."""
        if self._outage_started_at is None:
            self._outage_started_at = read_clock()
        self._report_outage()
        self._listener.record_restore()

    def _apply_full_page(self, page: FeedPage, called_at: float) -> None:
        self._check_era(page)
        self._log_target_versions(page, called_at)
        response, is_located = self._record_times(page, called_at)
        earliest_at = self._compute_earliest_change(page, response, wait_s=0.0)
        self._record_recovery(called_at)
        self._listener.replace(self._process_changes(page), earliest_at)
        self._record_page(page, response, is_located)

    def _apply_changes(self, page: FeedPage, called_at: float, wait_s: float) -> None:
        self._check_era(page)
        self._log_target_versions(page, called_at)
        response, is_located = self._record_times(page, called_at)
        # A response that may have been read late does not tell whether its call has waited.
        waited_s = wait_s if is_located else 0.0
        earliest_at = self._compute_earliest_change(page, response, waited_s)
        self._record_recovery(called_at)
        for change in self._process_changes(page):
            self._listener.apply(change, earliest_at)
        self._record_page(page, response, is_located)

    @property
    def _last_responded_at(self) -> float:
        """Return when the store sent the last response at the earliest, as far as it is known."""
        last = self._last_response
        if last is None:
            return float("-inf")
        responded_at = self._store_clock.locate(last)
        return responded_at if self._is_last_located else min(responded_at, last.called_at)

    def _record_page(self, page: FeedPage, response: ResponseTimes, is_located: bool) -> None:
        self._revision = page.revision
        self._last_response, self._is_last_located = response, is_located
        self._metrics.count("feed_calls_total", {"feed": self._source.name})

    def _record_times(self, page: FeedPage, called_at: float) -> tuple[ResponseTimes, bool]:
        """Compare the clocks by a page's times; return the times and whether they are confirmed."""
        response = ResponseTimes(page.store_time_s, called_at, page.read_at)
        self._last_read = response
        return response, self._store_clock.record(response)

    def _compute_earliest_change(
        self, page: FeedPage, response: ResponseTimes, wait_s: float
    ) -> float:
        """Return the earliest time at which a page's changes may have been made.

        The store responds to a waiting call at the first change, so the response time is the time
        of the change. Changes made while no call waited may be as old as the previous response.
        A frozen process reads a response much later than the store sent it.
        """
        responded_at = self._store_clock.locate(response)
        if self._outage_started_at is not None:
            oldest_at = min(
                responded_at - MAX_CHANGE_AGE_AFTER_OUTAGE_S,
                self._unknown_since,
                self._frozen_since,
            )
            return max(self._last_responded_at, oldest_at)
        sent_at = page.call_sent_at if page.call_sent_at is not None else response.called_at
        gap_s, call_s = self._find_gap(sent_at), responded_at - sent_at
        has_waited = self._dating.has_waited(wait_s, gap_s, call_s)
        return responded_at if has_waited else self._last_responded_at

    def _find_gap(self, now: float) -> float:
        """Return the seconds since the store sent the last response, 0 if there is none."""
        return now - self._last_responded_at if self._last_response is not None else 0.0

    def _process_changes(self, page: FeedPage) -> tuple[Change, ...]:
        for change in page.changes:
            if isinstance(change, RowRejected):
                self._record_rejected(change)
        return page.changes

    def _log_target_versions(self, page: FeedPage, called_at: float) -> None:
        """Log from which response a target version was learnt, once for each version."""
        for change in page.changes:
            match change:
                case TargetVersionSet(target=target):
                    if target.version <= self._logged_versions.get(target.model, 0):
                        continue
                    self._logged_versions[target.model] = target.version
                    log.info(
                        "target weights version read",
                        extra={
                            "feed": self._source.name,
                            "model": target.model,
                            "version": target.version,
                            "store_time_s": round(page.store_time_s, 3),
                            "call_s": round(read_clock() - called_at, 3),
                        },
                    )

    def _record_rejected(self, row: RowRejected) -> None:
        self._metrics.count("feed_entries_rejected_total", {"feed": self._source.name})
        self._rejected += 1
        if self._rejected <= MAX_REJECTED_LOGGED:
            log.warning(
                "row rejected",
                extra={"feed": self._source.name, "key": row.key, "reason": row.reason},
            )

    def _record_outage(self, error: PlatformError, called_at: float) -> None:
        # A call may fail alone, before the outage begins. So changes may have been made since the
        # failed call before, and since the last response if there is none.
        is_first = self._outage_started_at is None
        self._unknown_since = float("-inf") if is_first else self._failed_call_at
        self._failed_call_at = float("-inf") if is_first else called_at
        if self._was_frozen(called_at, is_first):
            # Nothing is known of the store for the time in which this process was frozen.
            self._frozen_since = min(self._frozen_since, self._unknown_since)
        self._metrics.count("feed_failures_total", {"feed": self._source.name})
        if self._outage_started_at is None:
            self._outage_started_at = read_clock()
            log.warning(
                "feed unavailable",
                extra={
                    "feed": self._source.name,
                    "reason": str(error),
                    "call_s": round(read_clock() - called_at, 3),
                },
            )
        else:
            # One lost connection alone, reset or silent, does not mean that the store was away.
            self._report_outage()

    def _was_frozen(self, called_at: float, is_first: bool) -> bool:
        """Return whether this process was frozen before or in a failed call, the first or not."""
        if read_clock() - called_at > self._wait_s + MAX_CALL_MARGIN_S:
            return True
        late_s = called_at - self._call_due_at
        if is_first and self._last_read is not None:
            unread_s = self._last_read.read_at - self._store_clock.locate(self._last_read)
            late_s = max(late_s, unread_s)
        return late_s > self._dating.call_gap_s

    def _report_outage(self) -> None:
        if not self._is_outage_reported:
            self._is_outage_reported = True
            self._listener.record_outage()

    def _record_recovery(self, called_at: float) -> None:
        if self._outage_started_at is None:
            return
        now = read_clock()
        if now - called_at > MAX_RETRY_S:
            self._report_outage()
        log.info(
            "feed available again",
            extra={
                "feed": self._source.name,
                "outage_s": round(now - self._outage_started_at, 3),
                "store_away": self._is_outage_reported,
            },
        )
        self._outage_started_at = None
        self._unknown_since = float("-inf")
        self._frozen_since = float("inf")
        if self._is_outage_reported:
            self._is_outage_reported = False
            self._listener.record_recovery()
