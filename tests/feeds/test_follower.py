"""Feed followers during lost history, outages and unreadable rows."""

from __future__ import annotations

import threading
import time

import pytest

from hibiscustray.catalog import Catalog, CatalogHolder, TargetVersions, WeightsVersion
from hibiscustray.clock import read_clock
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
from hibiscustray.feeds.follower import MAX_RETRY_S
from hibiscustray.replicas import ReplicaDirectory, ReplicaRecord, ReplicaState
from hibiscustray.telemetry import Metrics

RECORD = ReplicaRecord("i-1", "s", "10.0.0.1:80", "z", 8, ReplicaState.READY)


class ScriptedSource:
    """Returns or raises scripted pages and errors, then empty pages."""

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
            return FeedPage((), max(0, revision), read_clock())
        self.calls.append((kind, revision))
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        if callable(step):
            return step()
        return step


def follow(source: ScriptedSource, listener, wait_s: float = 0.1) -> None:
    follower = FeedFollower(source, listener, wait_s, Metrics("test"))
    follower.start()
    assert source.is_done.wait(5.0)
    follower.stop()


def fail_after(seconds: float) -> FeedPage:
    time.sleep(seconds)
    raise StoreUnavailable("no response in time")


def test_lost_history_causes_full_read():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4), HistoryLost("gone"), FeedPage((), 9)
    )
    follow(source, ReplicaListener(directory))
    assert source.calls == [("read", -1), ("follow", 4), ("read", -1)]
    assert directory.list_ready("s") == ()


def test_following_resumes_at_same_revision_after_outage():
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


def test_removed_row_removes_replica():
    directory = ReplicaDirectory()
    removal = FeedPage((ReplicaUnlisted("i-1"),), 5)
    follow(
        ScriptedSource(FeedPage((ReplicaListed(RECORD),), 4), removal), ReplicaListener(directory)
    )
    assert directory.list_ready("s") == ()


# Guards against a live replica that loses its requests to a row of another writer.
@pytest.mark.parametrize("is_read_anew", [True, False])
def test_rejected_row_changes_nothing_about_its_replica(is_read_anew):
    directory = ReplicaDirectory()
    odd = FeedPage((RowRejected("i-1", "garbage"), RowRejected("i-2", "garbage")), 6)
    pages = [FeedPage((ReplicaListed(RECORD),), 4)]
    pages += [HistoryLost("forgotten"), odd] if is_read_anew else [odd]
    follow(ScriptedSource(*pages), ReplicaListener(directory))
    assert [r.id for r in directory.list_ready("s")] == ["i-1"]
    removed = FeedPage((ReplicaUnlisted("i-1"),), 7)
    follow(ScriptedSource(FeedPage((), 5), odd, removed), ReplicaListener(directory))
    assert directory.list_ready("s") == ()


def test_unexpected_exception_does_not_stop_following():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((), 4), RuntimeError("bug"), FeedPage((ReplicaListed(RECORD),), 6)
    )
    follow(source, ReplicaListener(directory))
    assert source.calls[-1] == ("read", -1)
    assert [r.id for r in directory.list_ready("s")] == ["i-1"]


def test_versions_of_first_read_count_as_old():
    catalogs, versions, notified = CatalogHolder(), TargetVersions(), []
    first = FeedPage((CatalogPublished(Catalog(3)), TargetVersionSet(WeightsVersion("m", 2))), 4)
    later = FeedPage((TargetVersionSet(WeightsVersion("m", 5)),), 6)
    listener = OperatorListener(
        catalogs, versions, lambda: notified.append(versions.find_newest("m"))
    )
    follow(ScriptedSource(first, later), listener)
    assert catalogs.current.revision == 3
    assert notified == [2, 5]
    assert versions.find_required("m", 1e6) == 2


def make_version_page(version: int, read_at: float) -> FeedPage:
    target = WeightsVersion("m", version)
    return FeedPage((TargetVersionSet(target),), version, read_at)


def measure_age_s(*script, wait_s: float = 0.1) -> float:
    versions = TargetVersions()
    source = ScriptedSource(*script)
    follow(source, OperatorListener(CatalogHolder(), versions), wait_s)
    return versions.find_age("m")


def test_version_that_ends_wait_counts_as_new():
    def respond_after_wait() -> FeedPage:
        time.sleep(1.0)
        return make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2)

    assert measure_age_s(lambda: make_store_page((), 1), respond_after_wait, wait_s=1.5) < 0.4


def test_version_found_without_wait_may_be_as_old_as_previous_response():
    def respond_over_slow_link() -> FeedPage:
        read_at = read_clock()
        time.sleep(0.5)
        return FeedPage((), 1, read_at)

    assert measure_age_s(respond_over_slow_link, lambda: make_version_page(2, read_clock())) >= 0.5


def test_version_found_after_outage_may_be_as_old_as_outage():
    def respond_after_outage() -> FeedPage:
        time.sleep(0.4)
        return make_version_page(2, read_clock())

    started_at = read_clock()
    script = (FeedPage((), 1, started_at), StoreUnavailable("down"), respond_after_outage)
    assert measure_age_s(*script) >= 0.4


def test_response_that_names_a_version_is_logged_once(caplog):
    caplog.set_level("INFO", logger="hibiscustray.feeds.follower")
    page = FeedPage((TargetVersionSet(WeightsVersion("m", 2)),), 2, store_time_s=41.5)
    source = ScriptedSource(FeedPage((), 1), page, page)
    follow(source, OperatorListener(CatalogHolder(), TargetVersions()))
    lines = [r for r in caplog.records if r.message == "target weights version read"]
    assert [(r.feed, r.version, r.store_time_s) for r in lines] == [("table", 2, 41.5)]


STORE_CLOCK_AHEAD_S = 5000.0


def make_store_page(changes: tuple, revision: int, unread_s: float = 0.0) -> FeedPage:
    """Return a page that the store sends now and that is read after `unread_s`."""
    store_time_s = read_clock() + STORE_CLOCK_AHEAD_S
    time.sleep(unread_s)
    return FeedPage(changes, revision, read_clock(), store_time_s=store_time_s)


def test_version_in_response_read_late_counts_from_when_it_was_sent():
    def respond_to_frozen_process() -> FeedPage:
        time.sleep(0.1)
        return make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2, unread_s=0.7)

    assert measure_age_s(lambda: make_store_page((), 1), respond_to_frozen_process) >= 0.6


def test_version_set_while_previous_response_lay_unread_counts_from_that_response():
    script = (
        lambda: make_store_page((), 1),
        lambda: make_store_page((), 1, unread_s=0.7),
        lambda: make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2),
    )
    assert measure_age_s(*script) >= 0.6


def test_version_that_ends_wait_counts_as_new_after_late_read_response():
    def respond_after_wait() -> FeedPage:
        time.sleep(1.0)
        return make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2)

    script = (
        lambda: make_store_page((), 1),
        lambda: make_store_page((), 1, unread_s=0.7),
        lambda: make_store_page((), 1),
        respond_after_wait,
    )
    assert measure_age_s(*script, wait_s=1.5) < 0.4


def test_version_found_after_outage_may_be_as_old_as_last_failed_call(monkeypatch):
    monkeypatch.setattr("hibiscustray.feeds.follower.MAX_CHANGE_AGE_AFTER_OUTAGE_S", 0.1)
    script = (
        lambda: make_store_page((), 1),
        lambda: fail_after(0.6),
        lambda: make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2),
    )
    assert measure_age_s(*script) >= 0.6


def test_version_set_while_first_response_lay_unread_counts_from_that_response():
    script = (
        lambda: make_store_page((), 1, unread_s=0.7),
        lambda: make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2),
    )
    assert measure_age_s(*script) >= 0.6


def test_version_found_after_outage_may_be_as_old_as_earlier_failed_call(monkeypatch):
    monkeypatch.setattr("hibiscustray.feeds.follower.MAX_CHANGE_AGE_AFTER_OUTAGE_S", 0.1)
    monkeypatch.setattr("hibiscustray.feeds.follower.MAX_CALL_MARGIN_S", 0.4)
    script = (
        lambda: make_store_page((), 1),
        lambda: fail_after(0.6),
        StoreUnavailable("next pooled connection lost too"),
        lambda: make_store_page((TargetVersionSet(WeightsVersion("m", 2)),), 2),
    )
    assert measure_age_s(*script) >= 0.6


def test_replica_that_left_while_a_call_hung_gets_no_requests_after_its_drain_time():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4),
        lambda: fail_after(3.0),
        FeedPage((ReplicaUnlisted("i-1"),), 6),
    )
    started_at = time.monotonic()
    follow(source, ReplicaListener(directory))
    left_at = started_at + 2.2
    time.sleep(max(0.0, left_at + 2.5 - time.monotonic()))
    assert directory.list_ready("s") == ()


def test_one_lost_connection_does_not_defer_the_removal_of_a_replica():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4),
        StoreUnavailable("connection reset"),
        FeedPage((ReplicaUnlisted("i-1"),), 6),
    )
    follow(source, ReplicaListener(directory))
    assert directory.list_ready("s") == ()


def test_removal_is_deferred_if_the_first_call_after_a_failure_waited_for_the_store():
    def respond_late() -> FeedPage:
        time.sleep(MAX_RETRY_S + 0.1)
        return FeedPage((ReplicaUnlisted("i-1"),), 6)

    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4), StoreUnavailable("no response"), respond_late
    )
    follow(source, ReplicaListener(directory))
    assert [r.id for r in directory.list_ready("s")] == ["i-1"]


def test_removal_is_deferred_if_the_store_has_lost_its_history_after_a_failure():
    directory = ReplicaDirectory()
    source = ScriptedSource(
        FeedPage((ReplicaListed(RECORD),), 4),
        StoreUnavailable("connection reset"),
        HistoryLost("gone"),
        FeedPage((), 2),
    )
    follow(source, ReplicaListener(directory))
    assert [r.id for r in directory.list_ready("s")] == ["i-1"]


# Guards against a call for each of many replicas that change their rows within a second.
def test_changes_within_the_pause_are_read_by_one_call_that_is_counted():
    table, metrics = [ReplicaListed(RECORD)], Metrics("test")

    class BurstSource:
        name = "table"
        calls = 0

        def read(self) -> FeedPage:
            return FeedPage((), 1, read_clock())

        def follow(self, revision: int, wait_s: float) -> FeedPage:
            # A change every 20 ms, for a second.
            ends_at = read_clock() + wait_s
            while read_clock() < ends_at:
                newest = min(50, int((read_clock() - began_at) / 0.02))
                if newest > revision:
                    self.calls += 1
                    return FeedPage(tuple(table * (newest - revision)), newest, read_clock())
                time.sleep(0.002)
            return FeedPage((), revision, read_clock())

    source, directory = BurstSource(), ReplicaDirectory()
    began_at = read_clock()
    follower = FeedFollower(source, ReplicaListener(directory), 0.2, metrics, 0.25)
    follower.start()
    time.sleep(1.5)
    follower.stop()
    assert source.calls <= 5
    labels = {"feed": "table", "reason": "change"}
    assert metrics.read("store_calls_total", labels) == source.calls
