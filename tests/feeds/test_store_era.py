"""A store that has come back from an earlier copy gives revisions out again."""

from __future__ import annotations

import pytest

from hibiscustray.exceptions import StoreUnavailable
from hibiscustray.feeds import FeedFollower
from hibiscustray.feeds.changes import FeedPage, ReplicaUnlisted
from hibiscustray.telemetry import Metrics
from tests.waiting import wait_until


class Source:
    """A table whose responses are set by the test; without one, a call fails."""

    name = "table"

    def __init__(self) -> None:
        self.whole: list[FeedPage] = []
        self.changes: list[FeedPage] = []
        self.followed: list[int] = []

    def read(self) -> FeedPage:
        return self._take(self.whole)

    def follow(self, revision: int, wait_s: float) -> FeedPage:
        self.followed.append(revision)
        return self._take(self.changes)

    def _take(self, pages: list[FeedPage]) -> FeedPage:
        if not pages:
            raise StoreUnavailable("nothing to respond with")
        return pages.pop(0)


class Listener:
    """Records what it is told."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def replace(self, changes, earliest_at) -> None:
        self.events.append(f"replace {[change.replica_id for change in changes]}")

    def apply(self, change, earliest_at) -> None:
        self.events.append(f"apply {change.replica_id}")

    def record_outage(self) -> None:
        self.events.append("outage")

    def record_recovery(self) -> None:
        self.events.append("recovery")

    def record_restore(self) -> None:
        self.events.append("restore")


def make_page(revision: int, era: int | None, *names: str) -> FeedPage:
    return FeedPage(tuple(ReplicaUnlisted(name) for name in names), revision, era=era)


def run(source: Source, count: int) -> list[str]:
    """Follow a table until its listener was told something `count` times."""
    listener = Listener()
    follower = FeedFollower(source, listener, 0.0, Metrics("test"))
    follower.start()
    try:
        wait_until(lambda: len(listener.events) >= count)
    finally:
        follower.stop()
    return listener.events[:count]


# Guards against changes that are missed once the store has come back from a copy: an era of 0 was
# taken for a store that does not tell its era.
@pytest.mark.parametrize(("era", "later"), [(0, 1), (1, 2), (0, 3), (None, 0), (1, None)])
def test_changes_of_another_era_are_not_applied_but_the_whole_table_is_read_again(era, later):
    source = Source()
    source.whole = [make_page(9, era, "a"), make_page(7, later, "c")]
    source.changes = [make_page(10, later, "b"), make_page(8, later, "d")]
    events = run(source, 6)
    restored = ["outage", "restore", "recovery", "replace ['c']", "apply d"]
    assert events == ["replace ['a']", *restored]
    assert source.followed[:2] == [9, 7]


@pytest.mark.parametrize("era", [0, 1])
def test_whole_table_of_another_era_counts_as_read_after_an_outage(era):
    source = Source()
    source.whole = [make_page(9, era, "a")]
    follower = FeedFollower(source, listener := Listener(), 0.0, Metrics("test"))
    follower._process_next_page()
    follower._revision = None
    source.whole = [make_page(7, era + 1, "c")]
    follower._process_next_page()
    restored = ["outage", "restore", "recovery", "replace ['c']"]
    assert listener.events == ["replace ['a']", *restored]


@pytest.mark.parametrize("era", [1, 2])
def test_late_response_of_an_earlier_era_is_not_applied(era):
    source = Source()
    source.whole = [make_page(9, era, "a")]
    source.changes = [make_page(10, era - 1, "b"), make_page(10, era, "c")]
    assert run(source, 2) == ["replace ['a']", "apply c"]
    assert source.followed[:2] == [9, 9]


def test_store_that_does_not_tell_its_era_is_followed():
    source = Source()
    source.whole = [make_page(9, None, "a")]
    source.changes = [make_page(10, None, "b"), make_page(11, None, "c")]
    assert run(source, 3) == ["replace ['a']", "apply b", "apply c"]
