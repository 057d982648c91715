"""Followers that write a table's changes to a relay table, and followers that read it there.

Without the relay, every process would fetch a configuration of hundreds of routes over the links
between regions at the same time, whenever it changes. Entries need it within seconds and read it.
The many agents need target versions immediately but the rest only eventually, so they follow a
small table that the entries write.
"""

from __future__ import annotations

import logging
import random
import time
from dataclasses import dataclass, replace

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
from hibiscustray.feeds.follower import FeedFollower, FeedListener
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

BITS_PER_BYTE = 8
ANNOUNCE_TRIES = 2
"""Attempts to write an announcement; the first returns the row revisions that the second needs."""


@dataclass(frozen=True)
class RelayWriterRule:
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
class RelayReaderRule:
    """Intervals of a process that follows the relay, in seconds.

    The small rows are read from the table itself every `check_interval_s`, in case no process
    writes to the relay. The whole table is read between `min_delay_s` and `max_delay_s` after a
    configuration is announced.
    """

    check_interval_s: float
    min_delay_s: float
    max_delay_s: float


class RelayWriter(FeedFollower):
    """Follows a table and relays its changes; far from the store it takes large ones as copies."""

    def __init__(
        self,
        source: FeedSource,
        listener: FeedListener,
        wait_s: float,
        metrics: Metrics,
        relay: ChangeRelay,
        relayed: RelaySource,
        rule: RelayWriterRule,
    ) -> None:
        super().__init__(source, listener, wait_s, metrics)
        self._relay = relay
        self._relayed = relayed
        self._rule = rule
        self._announced: dict[str, Announcement] = {}
        self._relay_revision = 0
        self._catalog_revision = 0
        self._is_far = False
        self._check_at = float("-inf")

    def _advance(self) -> None:
        now = time.monotonic()
        if self._revision is None or not self._is_far or now >= self._check_at:
            super()._advance()
            # Checks of many entries are spread, so that one of them finds a change soon.
            self._check_at = now + self._rule.check_interval_s * random.uniform(0.75, 1.0)
        else:
            self._follow_relay(self._check_at - now)

    def _find_wait(self, now: float) -> float:
        return 0.0 if self._is_far else super()._find_wait(now)

    def _take_whole(self, page: FeedPage, called_at: float) -> None:
        super()._take_whole(page, called_at)
        self._pass_on(page)

    def _take_changes(self, page: FeedPage, called_at: float) -> None:
        super()._take_changes(page, called_at)
        self._pass_on(page)

    def _follow_relay(self, left_s: float) -> None:
        try:
            page = self._relayed.follow(self._relay_revision, min(self._wait_s, left_s))
        except HistoryLost:
            # The table itself, whose next answer tells a newer revision, has all changes.
            self._check_at = float("-inf")
            return
        self._relay_revision = page.revision
        announced = 0
        for change in self._accept(page):
            # Others may have found the change late, but it was not there at the last own check.
            self._listener.apply(change, self._known_at)
            if isinstance(change, CatalogAnnounced):
                announced = max(announced, change.revision)
        if announced > self._catalog_revision and not self._take_copy(announced):
            self._check_at = float("-inf")

    def _take_copy(self, revision: int) -> bool:
        """Take in the copy of a configuration; tell whether it was there."""
        copy = _read_copy(self._relayed, revision)
        if copy is None:
            return False
        for change in self._accept(copy):
            self._listener.apply(change, self._known_at)
        self._note_catalog(copy)
        self._revision = max(self._revision or 0, copy.revision)
        self._metrics.count("feed_copies_read_total", {"feed": self._source.name})
        return True

    def _pass_on(self, page: FeedPage) -> None:
        self._relay_revision = max(self._relay_revision, page.revision)
        is_news = self._note_catalog(page)
        try:
            if is_news and page.size_b > self._rule.large_b:
                self._pass_on_large(page)
            elif is_news:
                self._note_distance(False, page.size_b, 0.0)
            self._announce(page)
        except PlatformError as error:
            # Other entries relay too, and those that follow check for themselves.
            log.warning("relay lost", extra={"feed": self._source.name, "reason": str(error)})
            self._metrics.count("feed_relays_lost_total", {"feed": self._source.name})

    def _pass_on_large(self, page: FeedPage) -> None:
        state = self._relay.read_state()
        # A link that is full holds back the whole answer, which only the store's clock shows.
        delay_s = max(state.store_time_s - page.store_time_s, 1e-3)
        rate_mbit_s = page.size_b * BITS_PER_BYTE * 1e-6 / delay_s
        self._note_distance(rate_mbit_s < self._rule.near_mbit_s, page.size_b, rate_mbit_s)
        self._announced |= {a.model: a for a in state.announcements}
        if self._find_announced("").number < self._catalog_revision:
            self._relay.write_copy()

    def _note_catalog(self, page: FeedPage) -> bool:
        """Note the configuration of a page; tell whether it is newer than any seen."""
        known = self._catalog_revision
        revisions = [c.catalog.revision for c in page.changes if isinstance(c, CatalogPublished)]
        self._catalog_revision = max([known, *revisions])
        return self._catalog_revision > known

    def _note_distance(self, is_far: bool, size_b: int, rate_mbit_s: float) -> None:
        if is_far != self._is_far:
            self._is_far = is_far
            log.info(
                "store far" if is_far else "store near",
                extra={"size_b": size_b, "rate_mbit_s": round(rate_mbit_s, 1)},
            )

    def _announce(self, page: FeedPage) -> None:
        """Write the numbers that are newer than what others have announced."""
        numbers = dict(number for change in page.changes for number in _find_number(change))
        for _ in range(ANNOUNCE_TRIES):
            news = tuple(
                Announcement(model, number, self._find_announced(model).row_revision)
                for model, number in numbers.items()
                if number > self._find_announced(model).number
            )
            if not news:
                return
            others = self._relay.write_announcements(news)
            if not others:
                return
            self._announced |= {announcement.model: announcement for announcement in others}

    def _find_announced(self, model: str) -> Announcement:
        return self._announced.get(model, Announcement(model, 0))


def _find_number(change: Change) -> list[tuple[str, int]]:
    """Return the model and number that a change has to announce, if any."""
    match change:
        case CatalogPublished(catalog=catalog):
            return [("", catalog.revision)]
        case TargetVersionSet(target=target):
            return [(target.model, target.version)]
    return []


def _read_copy(source: RelaySource, revision: int) -> FeedPage | None:
    """Return the copy if its configuration is of a revision or newer."""
    try:
        copy = source.read_copy()
    except RecordInvalid as error:
        log.warning("copy unreadable", extra={"feed": source.name, "reason": str(error)})
        return None
    changes = copy.changes if copy is not None else ()
    held = [c.catalog.revision for c in changes if isinstance(c, CatalogPublished)]
    if max(held, default=-1) >= revision:
        return copy
    log.info("no copy of a configuration", extra={"revision": revision, "held": held})
    return None


class RelayReader(FeedFollower):
    """Follows what others relay of a table, and checks the table itself now and then."""

    def __init__(
        self,
        source: RelaySource,
        listener: FeedListener,
        wait_s: float,
        metrics: Metrics,
        rule: RelayReaderRule,
    ) -> None:
        super().__init__(source, listener, wait_s, metrics)
        self._relayed = source
        self._rule = rule
        self._check_at = time.monotonic() + rule.check_interval_s * random.random()
        self._whole_read_at = float("inf")

    def _advance(self) -> None:
        now = time.monotonic()
        if self._revision is not None and now >= self._check_at:
            self._check(now)
        if now >= self._whole_read_at:
            # Nothing is forgotten until the whole read succeeds.
            self._take_whole(self._read(), now)
            self._whole_read_at = float("inf")
            return
        super()._advance()

    def _read(self) -> FeedPage:
        # The announcements come first: what is announced meanwhile is followed from there.
        relayed = self._relayed.read()
        announced = [c.revision for c in relayed.changes if isinstance(c, CatalogAnnounced)]
        copy = _read_copy(self._relayed, max(announced, default=0))
        table = copy if copy is not None else self._relayed.read_table()
        return replace(relayed, changes=table.changes + relayed.changes)

    def _find_wait(self, now: float) -> float:
        # Nothing else wakes this thread when a read is due.
        due_s = min(self._check_at, self._whole_read_at) - now
        return min(super()._find_wait(now), max(0.0, due_s))

    def _check(self, now: float) -> None:
        page = self._relayed.read_small()
        self._check_at = now + self._rule.check_interval_s
        for change in self._accept(page):
            self._listener.apply(change, page.answered_at)

    def _accept(self, page: FeedPage) -> tuple[Change, ...]:
        changes = super()._accept(page)
        is_announced = any(isinstance(change, CatalogAnnounced) for change in changes)
        if is_announced and self._revision is not None and self._whole_read_at == float("inf"):
            delay_s = random.uniform(self._rule.min_delay_s, self._rule.max_delay_s)
            self._whole_read_at = time.monotonic() + delay_s
        return changes
