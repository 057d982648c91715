"""A thread that follows one table and reports what it learns."""

from __future__ import annotations

import logging
import random
import threading
import time
from typing import Protocol

from hibiscustray.exceptions import HistoryLost, PlatformError
from hibiscustray.feeds.changes import Change, FeedPage, FeedSource, RowRejected
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

BACKOFF_LEAST_S = 0.1
BACKOFF_MOST_S = 0.8
"""Longest pause between failed calls; a change must be in force within seconds of an outage."""
BACKOFF_FACTOR = 2.0
GAP_S = 0.1
"""Longest time between two calls that leaves no doubt when a change was made: the store answers in
a few milliseconds."""
OUTAGE_DOUBT_S = 3.0
"""Longest time before the end of an outage at which a change counts as made: while the store is
down nothing changes, while a link is congested answers come late."""
REJECTED_LOGGED = 20
"""Rejected entries that are logged, so that a bad writer cannot flood the log."""


class FeedListener(Protocol):
    """Takes in what a follower learns, on the follower's thread.

    `after` is the monotonic time in seconds since which the changes may have been made.
    """

    def replace(self, changes: tuple[Change, ...], after: float) -> None:
        """Take in the whole table."""
        ...

    def apply(self, change: Change, after: float) -> None:
        """Take in one change."""
        ...

    def note_lost(self) -> None:
        """Note that the table cannot be read."""
        ...

    def note_regained(self) -> None:
        """Note that the table can be read again."""
        ...


class FeedFollower:
    """Reads a table once, then its changes; after an outage or a gap it reads it again.

    A pause between calls lets one answer carry the changes of that time, where they may wait.
    """

    def __init__(
        self,
        source: FeedSource,
        listener: FeedListener,
        wait_s: float,
        metrics: Metrics,
        pause_s: float = 0.0,
    ) -> None:
        self._source = source
        self._listener = listener
        self._wait_s = wait_s
        self._metrics = metrics
        self._pause_s = pause_s
        self._revision: int | None = None
        self._known_at = float("-inf")
        self._lost_at: float | None = None
        self._rejected = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"feed-{source.name}", daemon=True)

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; a call under way is left to its timeout."""
        self._stopping.set()

    def _run(self) -> None:
        pause_s = BACKOFF_LEAST_S
        while not self._stopping.is_set():
            try:
                self._advance()
            except HistoryLost:
                log.info("feed history lost", extra={"feed": self._source.name})
                self._metrics.count("feed_history_lost_total", {"feed": self._source.name})
                self._revision = None
            except PlatformError as error:
                self._note_lost(error)
                self._stopping.wait(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(BACKOFF_MOST_S, pause_s * BACKOFF_FACTOR)
            except Exception:
                # The thread outlives every failure; a whole read brings back what was missed.
                log.exception("feed failed", extra={"feed": self._source.name})
                self._metrics.count("feed_failures_total", {"feed": self._source.name})
                self._revision = None
                self._stopping.wait(pause_s)
                pause_s = min(BACKOFF_MOST_S, pause_s * BACKOFF_FACTOR)
            else:
                pause_s = BACKOFF_LEAST_S
                self._stopping.wait(self._pause_s)

    def _advance(self) -> None:
        called_at = time.monotonic()
        if self._revision is None:
            self._take_whole(self._read(), called_at)
        else:
            page = self._source.follow(self._revision, self._find_wait(called_at))
            self._take_changes(page, called_at)

    def _read(self) -> FeedPage:
        """Return the whole table."""
        return self._source.read()

    def _find_wait(self, now: float) -> float:
        """Return how long the store may wait for a change, in seconds."""
        # The first call after an outage returns at once, so that its end is noticed.
        return self._wait_s if self._lost_at is None else 0.0

    def _take_whole(self, page: FeedPage, called_at: float) -> None:
        after = self._find_earliest(called_at, page)
        self._note_regained()
        self._listener.replace(self._accept(page), after)
        self._note_page(page)

    def _take_changes(self, page: FeedPage, called_at: float) -> None:
        after = self._find_earliest(called_at, page)
        self._note_regained()
        for change in self._accept(page):
            self._listener.apply(change, after)
        self._note_page(page)

    def _note_page(self, page: FeedPage) -> None:
        self._revision = page.revision
        self._known_at = page.answered_at
        self._metrics.count("feed_calls_total", {"feed": self._source.name})

    def _find_earliest(self, called_at: float, page: FeedPage) -> float:
        """Return the earliest time at which a page's changes may have been made.

        The store ends a waiting call with the first change, so its answer tells the time. Between
        calls a change may be as old as the state that the answer before described.
        """
        if self._lost_at is not None:
            return max(self._known_at, page.answered_at - OUTAGE_DOUBT_S)
        if called_at - self._known_at > GAP_S:
            return self._known_at
        return page.answered_at

    def _accept(self, page: FeedPage) -> tuple[Change, ...]:
        for change in page.changes:
            if isinstance(change, RowRejected):
                self._note_rejected(change)
        return page.changes

    def _note_rejected(self, entry: RowRejected) -> None:
        self._metrics.count("feed_entries_rejected_total", {"feed": self._source.name})
        self._rejected += 1
        if self._rejected <= REJECTED_LOGGED:
            log.warning(
                "entry rejected",
                extra={"feed": self._source.name, "key": entry.key, "reason": entry.reason},
            )

    def _note_lost(self, error: PlatformError) -> None:
        self._metrics.count("feed_failures_total", {"feed": self._source.name})
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            log.warning("feed lost", extra={"feed": self._source.name, "reason": str(error)})
            self._listener.note_lost()

    def _note_regained(self) -> None:
        if self._lost_at is not None:
            outage_s = time.monotonic() - self._lost_at
            self._lost_at = None
            log.info(
                "feed regained", extra={"feed": self._source.name, "outage_s": round(outage_s, 3)}
            )
            self._listener.note_regained()
