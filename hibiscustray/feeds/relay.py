"""Followers that write a table's changes to a relay table, and followers that read it there.

Without the relay, every process would fetch a configuration of hundreds of routes over the links
between regions at the same time, whenever it changes. Entries need a configuration within seconds
and read it at once. The many agents need target versions immediately but the configuration only
eventually, so they follow a small relay table that the entries write.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import HistoryLost, PlatformError, RecordInvalid
from hibiscustray.feeds.changes import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    Change,
    ChangeRelay,
    FeedPage,
    FeedSource,
    RelaySource,
    TargetVersionSet,
)
from hibiscustray.feeds.dating import LIKELY
from hibiscustray.feeds.follower import FeedFollower, FeedListener
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

BITS_PER_BYTE = 8
MAX_ANNOUNCE_ATTEMPTS = 2
"""Attempts to write an announcement; the first returns the row revisions that the second needs."""


@dataclass(frozen=True)
class RelayWriterTuning:
    """Limits that decide whether a process counts as far from the store.

    A response of more than `large_b` bytes that arrives at less than `near_mbit_s`, by the store's
    own clock, marks the store as far until a small configuration is read. Changes are then read
    from the relay, and the table itself is polled every `check_interval_s` seconds, in case no
    process writes to the relay.
    """

    large_b: int
    near_mbit_s: float
    check_interval_s: float


@dataclass(frozen=True)
class RelayReaderTuning:
    """Intervals of a process that follows the relay, in seconds.

    The target versions are read from the table itself every `check_interval_s`, in case no process
    writes to the relay. The whole table is read between `min_delay_s` and `max_delay_s` after a
    configuration is announced, and at the latest `read_interval_s` after it was read before.
    """

    check_interval_s: float
    min_delay_s: float
    max_delay_s: float
    read_interval_s: float = float("inf")


class RelayWriter(FeedFollower):
    """Follows a table and writes its changes to the relay.

    Far from the store it follows the relay itself and reads large configurations as copies.
    `is_announcer` tells whether this process is one of the few that announce a small configuration,
    by a key that differs with each: nobody waits for it. Versions and large configurations are
    announced by all.
    """

    def __init__(
        self,
        source: FeedSource,
        listener: FeedListener,
        wait_s: float,
        metrics: Metrics,
        relay: ChangeRelay,
        relay_source: RelaySource,
        tuning: RelayWriterTuning,
        is_announcer: Callable[[str], bool] = lambda key: True,
    ) -> None:
        super().__init__(source, listener, wait_s, metrics)
        self._is_announcer = is_announcer
        self._relay = relay
        self._relay_source = relay_source
        self._tuning = tuning
        self._announced: dict[str, Announcement] = {}
        self._relay_revision = 0
        self._catalog_revision = 0
        self._is_far = False
        self._next_poll_at = float("-inf")

    def _process_next_page(self) -> None:
        now = read_clock()
        if self._revision is None or not self._is_far or now >= self._next_poll_at:
            super()._process_next_page()
            # The polls of many entries are spread, so that one of them finds a change early.
            self._next_poll_at = now + self._tuning.check_interval_s * random.uniform(0.75, 1.0)
        else:
            self._follow_relay(self._next_poll_at - now)

    def _compute_wait(self, now: float) -> float:
        return 0.0 if self._is_far else super()._compute_wait(now)

    def _apply_full_page(self, page: FeedPage, called_at: float) -> None:
        super()._apply_full_page(page, called_at)
        self._relay_page(page)

    def _apply_changes(self, page: FeedPage, called_at: float, wait_s: float) -> None:
        super()._apply_changes(page, called_at, wait_s)
        self._relay_page(page)

    def _record_restore(self) -> None:
        super()._record_restore()
        # What was written to the relay since the copy is gone, and is written again.
        self._announced.clear()
        self._relay_revision = self._catalog_revision = 0

    def _follow_relay(self, remaining_s: float) -> None:
        called_at = read_clock()
        try:
            wait_s = min(self._wait_s, remaining_s)
            page = self._relay_source.follow(self._relay_revision, wait_s)
            self._count_followed(page, wait_s)
        except HistoryLost:
            # Poll the table now: it has all changes, and the response carries a newer revision.
            self._next_poll_at = float("-inf")
            return
        self._check_era(page)
        self._record_times(page, called_at)
        self._relay_revision = page.revision
        self._log_target_versions(page, called_at)
        announced = 0
        for change in self._process_changes(page):
            # The change may have been relayed late, but it was made after the last own poll.
            self._listener.apply(change, self._last_responded_at)
            if isinstance(change, CatalogAnnounced):
                announced = max(announced, change.revision)
        if announced > self._catalog_revision and not self._apply_copy(announced):
            self._next_poll_at = float("-inf")

    def _apply_copy(self, revision: int) -> bool:
        """Apply the copy of a configuration; return whether there is a current one."""
        self._count_call("copy")
        copy = _read_copy(self._relay_source, revision)
        if copy is None:
            return False
        for change in self._process_changes(copy):
            self._listener.apply(change, self._last_responded_at)
        self._record_catalog_revision(copy)
        if copy.era == self._era:
            self._revision = max(self._revision or 0, copy.revision)
        self._metrics.count("feed_copies_read_total", {"feed": self._source.name})
        return True

    def _relay_page(self, page: FeedPage) -> None:
        self._relay_revision = max(self._relay_revision, page.revision)
        is_newer = self._record_catalog_revision(page)
        try:
            if is_newer and page.size_b > self._tuning.large_b:
                self._relay_large_page(page)
            elif is_newer:
                self._set_far(False, page.size_b, 0.0)
            self._announce(page)
        except PlatformError as error:
            # Other entries write to the relay too, and its readers also poll the table.
            log.warning(
                "relay write failed", extra={"feed": self._source.name, "reason": str(error)}
            )
            self._metrics.count("feed_relays_lost_total", {"feed": self._source.name})

    def _relay_large_page(self, page: FeedPage) -> None:
        self._count_call("announced")
        state = self._relay.read_state()
        # On a saturated link the whole response is late, so only the store's clock shows the rate.
        delay_s = max(state.store_time_s - page.store_time_s, 1e-3)
        rate_mbit_s = page.size_b * BITS_PER_BYTE * 1e-6 / delay_s
        self._set_far(rate_mbit_s < self._tuning.near_mbit_s, page.size_b, rate_mbit_s)
        self._announced |= {a.model: a for a in state.announcements}
        if self._get_announced("").number < self._catalog_revision:
            self._count_call("write_copy")
            self._relay.write_copy()

    def _record_catalog_revision(self, page: FeedPage) -> bool:
        """Record a page's configuration revision; return whether it is newer than all before."""
        known = self._catalog_revision
        self._catalog_revision = max([known, *_list_revisions(page.changes)])
        return self._catalog_revision > known

    def _set_far(self, is_far: bool, size_b: int, rate_mbit_s: float) -> None:
        if is_far != self._is_far:
            self._is_far = is_far
            log.info(
                "store far, following the relay" if is_far else "store near, following the table",
                extra={"size_b": size_b, "rate_mbit_s": round(rate_mbit_s, 1)},
            )

    def _announce(self, page: FeedPage) -> None:
        """Write the numbers that are newer than those announced by other entries."""
        numbers = dict(number for change in page.changes for number in _list_numbers(change))
        is_small = page.size_b <= self._tuning.large_b
        if "" in numbers and is_small and not self._is_announcer(str(numbers[""])):
            del numbers[""]
        for _ in range(MAX_ANNOUNCE_ATTEMPTS):
            newer = tuple(
                Announcement(model, number, self._get_announced(model).row_revision)
                for model, number in numbers.items()
                if number > self._get_announced(model).number
            )
            if not newer:
                return
            self._count_call("announce")
            others = self._relay.write_announcements(newer)
            if not others:
                return
            self._announced |= {announcement.model: announcement for announcement in others}

    def _get_announced(self, model: str) -> Announcement:
        return self._announced.get(model, Announcement(model, 0))


def _list_numbers(change: Change) -> list[tuple[str, int]]:
    """Return the model and number to announce for a change, if any."""
    match change:
        case CatalogPublished(catalog=catalog):
            return [("", catalog.revision)]
        case TargetVersionSet(target=target):
            return [(target.model, target.version)]
    return []


def _read_copy(source: RelaySource, revision: int) -> FeedPage | None:
    """Return the copy if its configuration has the given revision or a newer one."""
    try:
        copy = source.read_copy()
    except RecordInvalid as error:
        log.warning("table copy unreadable", extra={"feed": source.name, "reason": str(error)})
        return None
    changes = copy.changes if copy is not None else ()
    copied_revisions = _list_revisions(changes)
    if max(copied_revisions, default=-1) >= revision:
        return copy
    log.info("no current table copy", extra={"revision": revision, "held": copied_revisions})
    return None


class RelayReader(FeedFollower):
    """Follows a relay and polls the table itself at long intervals."""

    def __init__(
        self,
        source: RelaySource,
        listener: FeedListener,
        wait_s: float,
        metrics: Metrics,
        tuning: RelayReaderTuning,
    ) -> None:
        super().__init__(source, listener, wait_s, metrics, dating=LIKELY)
        self._relay_source = source
        self._tuning = tuning
        self._next_poll_at = read_clock() + tuning.check_interval_s * random.random()
        self._table_read_at = float("inf")
        self._announced_revision = 0
        self._catalog_revision = -1

    def _process_next_page(self) -> None:
        now = read_clock()
        if self._revision is not None and now >= self._next_poll_at:
            self._poll_small_rows(now)
        if now >= self._table_read_at:
            # The read stays due until it succeeds.
            self._read_configuration()
            return
        super()._process_next_page()

    def _read(self) -> FeedPage:
        # Read the announcements first, so that later ones are followed from their revision.
        announcements = self._relay_source.read()
        announced = self._find_announced(announcements.changes)
        is_known = announced is not None and self._catalog_revision >= announced
        if is_known and announcements.era == self._era:
            # Only the history of changes was lost.
            return announcements
        table = self._read_table(announced or 0)
        return replace(announcements, changes=table.changes + announcements.changes)

    def _read_table(self, revision: int) -> FeedPage:
        """Return the copy of the table if it has a configuration's revision, else the table."""
        self._count_call("copy")
        copy = _read_copy(self._relay_source, revision)
        if copy is None:
            self._count_call("read")
            copy = self._relay_source.read_table()
        self._catalog_revision = max([self._catalog_revision, *_list_revisions(copy.changes)])
        interval_s = self._tuning.read_interval_s * random.uniform(0.75, 1.0)
        self._table_read_at = read_clock() + interval_s
        return copy

    def _read_configuration(self) -> None:
        """Read an announced configuration; versions are known from the announcements."""
        page = self._read_table(self._announced_revision)
        for change in super()._process_changes(page):
            self._listener.apply(change, self._last_responded_at)

    def _compute_wait(self, now: float) -> float:
        # Limit the wait, since nothing else wakes this thread when a read is due.
        due_s = min(self._next_poll_at, self._table_read_at) - now
        return min(super()._compute_wait(now), max(0.0, due_s))

    def _poll_small_rows(self, now: float) -> None:
        self._count_call("poll")
        page = self._relay_source.read_small()
        self._check_era(page)
        self._next_poll_at = now + self._tuning.check_interval_s
        for change in self._process_changes(page):
            self._listener.apply(change, page.read_at)

    def _process_changes(self, page: FeedPage) -> tuple[Change, ...]:
        changes = super()._process_changes(page)
        if self._find_announced(changes) is not None and self._revision is not None:
            delay_s = random.uniform(self._tuning.min_delay_s, self._tuning.max_delay_s)
            self._table_read_at = min(self._table_read_at, read_clock() + delay_s)
        return changes

    def _find_announced(self, changes: tuple[Change, ...]) -> int | None:
        """Return the newest announced configuration of a page, None if it has none."""
        revisions = [c.revision for c in changes if isinstance(c, CatalogAnnounced)]
        if not revisions:
            return None
        self._announced_revision = max(revisions)
        return self._announced_revision


def _list_revisions(changes: tuple[Change, ...]) -> list[int]:
    """Return the revisions of the configurations among changes."""
    return [c.catalog.revision for c in changes if isinstance(c, CatalogPublished)]
