"""Following of a table through gaps, outages and entries that cannot be read."""

from __future__ import annotations

import threading
import time

import pytest

from hibiscustray.catalog import Catalog, CatalogHolder, VersionBook, WeightsVersion
from hibiscustray.exceptions import HistoryLost, StoreUnavailable
from hibiscustray.feeds import (
    CatalogPublished,
    FeedFollower,
    FeedPage,
    OperatorListener,
    ReplicaListed,
    ReplicaListener,
    ReplicaUnlisted,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.replicas import ReplicaDirectory, ReplicaRecord, ReplicaState
from hibiscustray.telemetry import Metrics

RECORD = ReplicaRecord("i-1", "s", "10.0.0.1:80", "z", 8, ReplicaState.READY)


class ScriptedSource:
    """Answers calls from a script of pages and errors, then waits."""

    name = "table"

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.calls: list[tuple[str, int]] = []
        self.is_done = threading.Event()

    def read(self) -> FeedPage:
        return self._next("read", -1)

    def follow(self, revision: int, wait_s: float) -> FeedPage:
        return self._next("follow", revision)

    def _next(self, kind: str, revision: int) -> FeedPage:
        if not self.script:
            self.is_done.set()
            time.sleep(0.05)
            return FeedPage((), max(0, revision), time.monotonic())
        self.calls.append((kind, revision))
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        if callable(step):
            return step()
        return step


def follow(source: ScriptedSource, listener) -> None:
    follower = FeedFollower(source, listener, 0.1, Metrics("test"))
    follower.start()
    assert source.is_done.wait(5.0)
    follower.stop()


def test_a_gap_in_the_history_leads_to_a_whole_read():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4), HistoryLost("gone"), FeedPage((), 9)
    )
    follow(source, ReplicaListener(directory))
    assert source.calls == [("read", -1), ("follow", 4), ("read", -1)]
    assert directory.list_ready("s") == ()


def test_an_outage_keeps_the_place_in_the_feed():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4),
        StoreUnavailable("down"),
        StoreUnavailable("down"),
        FeedPage((ReplicaUnlisted("i-1"),), 6),
    )
    follow(source, ReplicaListener(directory))
    assert source.calls[1:] == [("follow", 4)] * 3
    assert [r.id for r in directory.list_ready("s")] == ["i-1"], "kept for the grace time"


@pytest.mark.parametrize("change", [ReplicaUnlisted("i-1"), RowRejected("i-1", "garbage")])
def test_an_entry_that_is_gone_or_unreadable_names_no_replica(change):
    directory = ReplicaDirectory()
    source = ScriptedSource(FeedPage((ReplicaListed(RECORD),), 4), FeedPage((change,), 5))
    follow(source, ReplicaListener(directory))
    assert directory.list_ready("s") == ()


def test_an_unexpected_failure_does_not_end_the_following():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((), 4), RuntimeError("a fault of ours"), FeedPage((ReplicaListed(RECORD),), 6)
    )
    follow(source, ReplicaListener(directory))
    assert source.calls[-1] == ("read", -1)
    assert [r.id for r in directory.list_ready("s")] == ["i-1"]


def test_versions_of_the_first_read_are_old_and_later_ones_new():
    catalogs, versions, noticed = CatalogHolder(), VersionBook(), []
    first = FeedPage((CatalogPublished(Catalog(3)), TargetVersionSet(WeightsVersion("m", 2))), 4)
    later = FeedPage((TargetVersionSet(WeightsVersion("m", 5)),), 6)
    listener = OperatorListener(catalogs, versions, lambda: noticed.append(versions.newest("m")))
    follow(ScriptedSource(first, later), listener)
    assert catalogs.current.revision == 3
    assert noticed == [2, 5]
    assert versions.find_required("m", 1e6) == 2


def name_version(version: int, answered_at: float) -> FeedPage:
    target = WeightsVersion("m", version)
    return FeedPage((TargetVersionSet(target),), version, answered_at)


def find_age_s(*script) -> float:
    versions = VersionBook()
    source = ScriptedSource(*script)
    follow(source, OperatorListener(CatalogHolder(), versions))
    return versions.age_s("m")


def test_a_version_that_ends_a_wait_was_named_just_then():
    def answer_after_a_wait() -> FeedPage:
        time.sleep(0.5)
        return name_version(2, time.monotonic())

    started_at = time.monotonic()
    assert find_age_s(FeedPage((), 1, started_at), answer_after_a_wait) < 0.4


def test_a_version_that_was_there_at_once_may_be_as_old_as_the_answer_before():
    def answer_over_a_slow_link() -> FeedPage:
        answered_at = time.monotonic()
        time.sleep(0.5)
        return FeedPage((), 1, answered_at)

    assert find_age_s(answer_over_a_slow_link, lambda: name_version(2, time.monotonic())) >= 0.5


def test_a_version_found_after_an_outage_may_be_as_old_as_the_outage():
    def answer_after_an_outage() -> FeedPage:
        time.sleep(0.4)
        return name_version(2, time.monotonic())

    started_at = time.monotonic()
    script = (FeedPage((), 1, started_at), StoreUnavailable("down"), answer_after_an_outage)
    assert find_age_s(*script) >= 0.4
