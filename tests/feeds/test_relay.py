"""Followers that write a table's changes to the relay, and followers that read the relay."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

import pytest

from hibiscustray.catalog import Catalog, CatalogHolder, TargetVersions, WeightsVersion
from hibiscustray.clock import read_clock
from hibiscustray.exceptions import HistoryLost, RecordInvalid, StoreUnavailable
from hibiscustray.feeds import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    FeedPage,
    OperatorListener,
    RelayReader,
    RelayReaderTuning,
    RelayState,
    RelayWriter,
    RelayWriterTuning,
    TargetVersionSet,
)
from hibiscustray.telemetry import Metrics
from tests.waiting import wait_until

TUNING = RelayWriterTuning(large_b=1000, near_mbit_s=1.0, check_interval_s=0.8)
STORE_TIME_S = 100.0
NEAR = {"size_b": 5000, "store_time_s": STORE_TIME_S - 0.01}
FAR = {"size_b": 5000, "store_time_s": STORE_TIME_S - 0.5}
VERSION_2 = TargetVersionSet(WeightsVersion("m", 2))


class TableStandIn:
    """An in-memory table whose pages are set by the test."""

    name = "table"

    def __init__(self, full_page: FeedPage) -> None:
        self.full_page = full_page
        self.small_page = FeedPage((), 0)
        self.operator_page = FeedPage((), 0)
        self.copy: FeedPage | Exception | None = None
        self.failure: Exception | None = None
        self.pages: list[FeedPage] = []
        self.calls: list[tuple[str, float]] = []
        self._changed = threading.Condition()

    def push(self, page: FeedPage) -> None:
        with self._changed:
            self.pages.append(page)
            self._changed.notify_all()

    def read(self) -> FeedPage:
        self.calls.append(("read", read_clock()))
        return self.full_page

    def read_table(self) -> FeedPage:
        self.calls.append(("read table", read_clock()))
        return self.operator_page

    def read_small(self) -> FeedPage:
        self.calls.append(("read small", read_clock()))
        return self.small_page

    def follow(self, revision: int, wait_s: float) -> FeedPage:
        self.calls.append(("follow", read_clock()))
        if self.failure is not None:
            raise self.failure
        with self._changed:
            self._changed.wait_for(lambda: bool(self.pages), wait_s)
            return self.pages.pop(0) if self.pages else FeedPage((), revision, read_clock())

    def read_copy(self) -> FeedPage | None:
        self.calls.append(("read copy", read_clock()))
        if isinstance(self.copy, Exception):
            raise self.copy
        return self.copy

    def times_of(self, kind: str) -> list[float]:
        return [at for called, at in self.calls if called == kind]


class RelayStandIn:
    """In-memory relay rows, which tests may write in place of other entries."""

    def __init__(self) -> None:
        self.rows: dict[str, Announcement] = {}
        self.copies = 0
        self.writes = 0
        self.failure: Exception | None = None

    def read_state(self) -> RelayState:
        if self.failure is not None:
            raise self.failure
        return RelayState(tuple(self.rows.values()), STORE_TIME_S)

    def write_copy(self) -> None:
        if self.failure is not None:
            raise self.failure
        self.copies += 1

    def write_announcements(self, announcements) -> tuple[Announcement, ...]:
        self.writes += 1
        if self.failure is not None:
            raise self.failure
        current = [self.rows.get(a.model, Announcement(a.model, 0)) for a in announcements]
        pairs = zip(current, announcements, strict=True)
        if any(row.row_revision != wanted.row_revision for row, wanted in pairs):
            return tuple(row for row in current if row.row_revision)
        for a in announcements:
            self.rows[a.model] = Announcement(a.model, a.number, a.row_revision + 7)
        return ()

    def numbers(self) -> dict[str, int]:
        return {model: row.number for model, row in self.rows.items()}


@dataclass
class WriterSetup:
    """A relay writer with its table, its relay and the state that it updates."""

    table: TableStandIn
    relayed: TableStandIn
    relay: RelayStandIn
    catalogs: CatalogHolder
    versions: TargetVersions
    follower: RelayWriter

    def publish(self, revision: int, **options) -> None:
        self.table.push(FeedPage((CatalogPublished(Catalog(revision)),), revision, **options))

    def has(self, revision: int) -> bool:
        return self.catalogs.current is not None and self.catalogs.current.revision == revision


@pytest.fixture
def setup():
    table = TableStandIn(FeedPage((CatalogPublished(Catalog(1)),), 1))
    relayed, relay = TableStandIn(FeedPage((), 0)), RelayStandIn()
    catalogs, versions = CatalogHolder(), TargetVersions()
    listener = OperatorListener(catalogs, versions)
    follower = RelayWriter(table, listener, 0.1, Metrics("test"), relay, relayed, TUNING)
    yield WriterSetup(table, relayed, relay, catalogs, versions, follower)
    follower.stop()


# Relay writers


def test_writer_announces_initial_table_and_changes(setup):
    setup.follower.start()
    wait_until(lambda: setup.relay.numbers() == {"": 1})
    setup.table.push(FeedPage((VERSION_2, CatalogPublished(Catalog(4))), 2))
    wait_until(lambda: setup.relay.numbers() == {"": 4, "m": 2})


def test_writer_keeps_newer_announcement_of_others(setup):
    setup.relay.rows[""] = Announcement("", 9, 3)
    setup.publish(8)
    setup.publish(10)
    setup.follower.start()
    wait_until(lambda: setup.relay.numbers() == {"": 10})
    assert (
        setup.relay.writes == 2
    ), "the first call returns the row of others, the second replaces it"


# Guards against an announcement that stays behind: it was written by a row revision that the store
# has given out again after it came back from a copy.
def test_announcement_that_replaced_a_newer_one_of_the_next_era_is_written_again(setup):
    setup.table.full_page = FeedPage((CatalogPublished(Catalog(1)),), 1, era=0)
    setup.relay.rows[""] = Announcement("", 2, 3)
    setup.publish(4, era=0)
    setup.follower.start()
    wait_until(lambda: setup.relay.numbers() == {"": 4})
    setup.relay.rows[""] = Announcement("", 9, 3)
    setup.publish(8, era=0)
    wait_until(lambda: setup.relay.numbers() == {"": 8})
    setup.table.full_page = FeedPage((CatalogPublished(Catalog(9)),), 5, era=1)
    setup.table.push(FeedPage((), 5, era=1))
    wait_until(lambda: setup.relay.numbers() == {"": 9})


def test_writer_copies_only_large_configuration(setup):
    setup.publish(2, **NEAR)
    setup.publish(3)
    setup.follower.start()
    wait_until(lambda: setup.has(3))
    wait_until(lambda: setup.relay.numbers() == {"": 3})
    assert setup.relay.copies == 1


def test_writer_does_not_copy_configuration_announced_by_others(setup):
    setup.relay.rows[""] = Announcement("", 2, 3)
    setup.publish(2, **NEAR)
    setup.publish(3)
    setup.follower.start()
    wait_until(lambda: setup.relay.numbers() == {"": 3})
    assert setup.relay.copies == 0


def test_failing_relay_does_not_delay_change(setup):
    setup.relay.failure = StoreUnavailable("down")
    setup.publish(2, **NEAR)
    setup.publish(3)
    setup.follower.start()
    wait_until(lambda: setup.has(3))


def test_near_writer_follows_table(setup):
    setup.publish(2, **NEAR)
    setup.follower.start()
    wait_until(lambda: len(setup.table.times_of("follow")) >= 4)
    assert not setup.relayed.calls


def test_far_writer_reads_large_configuration_from_copy(setup):
    setup.publish(2, **FAR)
    setup.follower.start()
    wait_until(lambda: bool(setup.relayed.times_of("follow")))
    calls_before = len(setup.table.times_of("follow"))
    setup.relayed.copy = FeedPage((CatalogPublished(Catalog(5)),), 5)
    setup.relayed.push(FeedPage((CatalogAnnounced(5), VERSION_2), 6))
    wait_until(lambda: setup.has(5), 0.4)
    assert setup.versions.find_newest("m") == 2
    assert len(setup.table.times_of("follow")) == calls_before


def test_far_writer_polls_table_if_relay_is_idle(setup):
    setup.publish(2, **FAR)
    setup.follower.start()
    wait_until(lambda: setup.has(2))
    setup.publish(7, **FAR)
    wait_until(lambda: setup.has(7), 1.5)
    assert setup.relay.numbers() == {"": 7}


@pytest.mark.parametrize("loss", ["no copy", "history"])
def test_far_writer_reads_table_if_relay_lacks_change(setup, loss):
    setup.publish(2, **FAR)
    setup.follower.start()
    wait_until(lambda: bool(setup.relayed.times_of("follow")))
    setup.publish(5, **FAR)
    if loss == "history":
        setup.relayed.failure = HistoryLost("gone")
    else:
        setup.relayed.push(FeedPage((CatalogAnnounced(5),), 6))
    wait_until(lambda: setup.has(5), 0.4)


def test_relayed_version_may_be_as_old_as_last_table_poll(setup):
    checked_at = read_clock() - 0.6
    setup.publish(2, read_at=checked_at, **FAR)
    setup.follower.start()
    wait_until(lambda: bool(setup.relayed.times_of("follow")))
    setup.relayed.push(FeedPage((VERSION_2,), 6, read_at=read_clock()))
    wait_until(lambda: setup.versions.find_newest("m") == 2, 0.4)
    assert setup.versions.find_age("m") >= 0.6


def test_small_configuration_resets_far_state(setup):
    setup.publish(2, **FAR)
    setup.publish(3)
    setup.follower.start()
    wait_until(lambda: setup.has(3))
    calls_before = len(setup.relayed.times_of("follow"))
    time.sleep(0.4)
    assert len(setup.relayed.times_of("follow")) == calls_before


def test_writer_that_is_no_announcer_leaves_small_configurations_to_others(setup):
    setup.follower._is_announcer = lambda key: False
    setup.publish(2)
    setup.table.push(FeedPage((CatalogPublished(Catalog(3)), VERSION_2), 4))
    setup.follower.start()
    wait_until(lambda: setup.has(3))
    wait_until(lambda: setup.relay.numbers() == {"m": 2})
    assert setup.relay.writes == 1


def test_writer_that_is_no_announcer_announces_large_configurations_all_the_same(setup):
    setup.follower._is_announcer = lambda key: False
    setup.publish(2, **NEAR)
    setup.follower.start()
    wait_until(lambda: setup.relay.numbers() == {"": 2})
    assert setup.relay.copies == 1


# Relay readers


@pytest.fixture
def relayed():
    table = TableStandIn(FeedPage((), 1))
    table.operator_page = FeedPage((CatalogPublished(Catalog(1)),), 1)
    catalogs, versions = CatalogHolder(), TargetVersions()
    tuning = RelayReaderTuning(check_interval_s=0.6, min_delay_s=0.3, max_delay_s=0.3)
    listener = OperatorListener(catalogs, versions)
    follower = RelayReader(table, listener, 5.0, Metrics("test"), tuning)
    follower.start()
    wait_until(lambda: bool(table.times_of("follow")))
    yield table, catalogs, versions
    follower.stop()


def test_reader_applies_relayed_version_immediately(relayed):
    table, _, versions = relayed
    table.push(FeedPage((VERSION_2,), 2))
    wait_until(lambda: versions.find_newest("m") == 2, 0.25)


def test_reader_poll_finds_version_missing_from_relay(relayed):
    table, _, versions = relayed
    table.small_page = FeedPage((VERSION_2,), 2)
    wait_until(lambda: versions.find_newest("m") == 2, 1.5)


def test_reader_reads_announced_configuration_once_after_delay(relayed):
    table, catalogs, _ = relayed
    table.operator_page = FeedPage((CatalogPublished(Catalog(5)),), 5)
    announced_at = read_clock()
    table.push(FeedPage((CatalogAnnounced(4),), 2))
    table.push(FeedPage((CatalogAnnounced(5),), 3))
    wait_until(lambda: catalogs.current.revision == 5)
    time.sleep(0.5)
    assert len(table.times_of("read table")) == 2
    assert table.times_of("read table")[1] - announced_at >= 0.3


def test_reader_repeats_failed_full_read(relayed):
    table, catalogs, _ = relayed
    read_table, failures = table.read_table, [StoreUnavailable("down")]

    def read() -> FeedPage:
        if failures:
            raise failures.pop()
        return read_table()

    table.read_table = read
    table.operator_page = FeedPage((CatalogPublished(Catalog(5)),), 5)
    table.push(FeedPage((CatalogAnnounced(5),), 2))
    wait_until(lambda: catalogs.current.revision == 5)


@pytest.mark.parametrize(
    ("copy", "expected"),
    [
        (FeedPage((CatalogPublished(Catalog(7)),), 7), 7),
        (FeedPage((CatalogPublished(Catalog(6)),), 6), 9),
        (FeedPage((), 6), 9),
        (None, 9),
        (RecordInvalid("unreadable"), 9),
    ],
    ids=["recent", "older than announced", "without a configuration", "none", "unreadable"],
)
def test_reader_uses_copy_only_if_current(relayed, copy, expected):
    table, catalogs, versions = relayed
    table.operator_page = FeedPage((CatalogPublished(Catalog(9)),), 9)
    table.copy = copy
    table.push(FeedPage((CatalogAnnounced(7), VERSION_2), 7))
    wait_until(lambda: catalogs.current.revision == expected)
    assert versions.find_newest("m") == 2, "announced versions are applied too"
    assert len(table.times_of("read")) == 1, "the announcements were followed without a gap"


def test_reader_that_has_lost_the_history_reads_only_the_announcements_of_what_it_knows(relayed):
    table, catalogs, versions = relayed
    table.full_page = FeedPage((CatalogAnnounced(1), VERSION_2), 8)
    table.failure = HistoryLost("gone")
    wait_until(lambda: len(table.times_of("read")) >= 2)
    table.failure = None
    wait_until(lambda: versions.find_newest("m") == 2)
    assert len(table.times_of("read table")) == 1
    assert catalogs.current.revision == 1


def test_reader_that_has_lost_the_history_reads_a_configuration_that_it_does_not_know(relayed):
    table, catalogs, _ = relayed
    table.full_page = FeedPage((CatalogAnnounced(4),), 8)
    table.operator_page = FeedPage((CatalogPublished(Catalog(4)),), 8)
    table.failure = HistoryLost("gone")
    wait_until(lambda: catalogs.current.revision == 4)


def test_reader_reads_the_table_of_another_era_of_the_store(relayed):
    table, catalogs, versions = relayed
    table.full_page = FeedPage((CatalogAnnounced(1), VERSION_2), 8, era=3)
    table.operator_page = FeedPage((CatalogPublished(Catalog(2)),), 8, era=3)
    table.failure = HistoryLost("gone")
    wait_until(lambda: catalogs.current.revision == 2)


# Guards against agents that never read a configuration, as all its announcers were away.
def test_reader_finds_a_configuration_that_nobody_announced():
    table = TableStandIn(FeedPage((), 1))
    table.operator_page = FeedPage((CatalogPublished(Catalog(1)),), 1)
    catalogs = CatalogHolder()
    tuning = RelayReaderTuning(5.0, 0.1, 0.1, read_interval_s=0.6)
    follower = RelayReader(
        table, OperatorListener(catalogs, TargetVersions()), 5.0, Metrics("test"), tuning
    )
    follower.start()
    wait_until(lambda: bool(table.times_of("follow")))
    table.operator_page = FeedPage((CatalogPublished(Catalog(5)),), 5)
    wait_until(lambda: catalogs.current.revision == 5, 1.5)
    follower.stop()
