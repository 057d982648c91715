"""Tests of the store client and its change feeds against the stand-in store."""

from __future__ import annotations

import time

import pytest

from hibiscustray.catalog import WeightsVersion
from hibiscustray.clock import read_clock
from hibiscustray.exceptions import RecordInvalid, StoreUnavailable
from hibiscustray.feeds import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.platform import OperatorFeed, PlatformStore, RelayedOperatorFeed
from hibiscustray.platform.standins import StoreStandIn, make_configuration


@pytest.fixture
def store():
    store_standin = StoreStandIn()
    store_standin.put("op", "config", make_configuration(3))
    store_standin.put("op", "version/m", {"model": "m", "version": 2})
    yield store_standin
    store_standin.close()


def test_reading_the_table_returns_the_configuration_and_the_target_versions(store):
    page = OperatorFeed(PlatformStore(store.address)).read()
    assert [type(change) for change in page.changes] == [CatalogPublished, TargetVersionSet]
    assert page.revision == 2


def test_the_operators_table_can_be_read_while_the_relay_table_is_empty(store):
    page = RelayedOperatorFeed(PlatformStore(store.address)).read_table()
    assert [type(change) for change in page.changes] == [CatalogPublished, TargetVersionSet]
    assert RelayedOperatorFeed(PlatformStore(store.address)).read().changes == ()


def test_a_small_read_returns_only_the_target_versions(store):
    page = RelayedOperatorFeed(PlatformStore(store.address)).read_small()
    assert [type(change) for change in page.changes] == [TargetVersionSet]


def test_a_copy_contains_the_table_as_last_read(store):
    feed = OperatorFeed(PlatformStore(store.address))
    feed.read()
    store.put("op", "version/m", {"model": "m", "version": 3})
    feed.follow(2, 0.0)
    feed.write_copy()
    store.put("op", "version/m", {"model": "m", "version": 4})
    page = RelayedOperatorFeed(PlatformStore(store.address)).read_copy()
    catalog, version = page.changes
    assert (page.revision, catalog.catalog.revision, version.target.version) == (3, 3, 3)


def test_a_missing_copy_is_none_and_an_invalid_copy_raises(store):
    feed = RelayedOperatorFeed(PlatformStore(store.address))
    assert feed.read_copy() is None
    store.objects["hibiscustray-operator-table"] = b"not compressed"
    with pytest.raises(RecordInvalid):
        feed.read_copy()


def test_announcements_appear_in_the_relay_feed(store):
    feed = RelayedOperatorFeed(PlatformStore(store.address))
    revision = feed.read().revision
    announcements = (Announcement("", 3), Announcement("m", 2))
    assert OperatorFeed(PlatformStore(store.address)).write_announcements(announcements) == ()
    page = feed.follow(revision, 0.0)
    assert set(page.changes) == {CatalogAnnounced(3), TargetVersionSet(WeightsVersion("m", 2))}


def test_a_conflicting_announcement_returns_the_current_one(store):
    first, second = (OperatorFeed(PlatformStore(store.address)) for _ in range(2))
    assert first.write_announcements((Announcement("m", 3),)) == ()
    (current,) = second.write_announcements((Announcement("m", 2),))
    assert (current.model, current.number) == ("m", 3)
    assert second.write_announcements((Announcement("m", 4, current.row_revision),)) == ()


def test_an_invalid_relay_row_is_rejected_and_can_be_overwritten(store):
    feed = RelayedOperatorFeed(PlatformStore(store.address))
    revision = feed.read().revision
    store.put("hibiscustray", "version/m", b"?")
    (change,) = feed.follow(revision, 0.0).changes
    assert isinstance(change, RowRejected)
    (current,) = OperatorFeed(PlatformStore(store.address)).write_announcements(
        (Announcement("m", 2),)
    )
    assert current.number == 0


def test_the_relay_state_contains_the_announcements_and_the_store_time(store):
    feed = OperatorFeed(PlatformStore(store.address))
    page = feed.read()
    feed.write_announcements((Announcement("", 3), Announcement("m", 2)))
    time.sleep(0.1)
    state = feed.read_state()
    assert {(a.model, a.number) for a in state.announcements} == {("", 3), ("m", 2)}
    assert 0.1 <= state.store_time_s - page.store_time_s < 2.0


def test_a_page_contains_the_start_time_and_size_of_its_response(store):
    feed = OperatorFeed(PlatformStore(store.address))
    before = read_clock()
    # 50 ms more than the 0.2 s checked: the client may read the headers after the pause begins.
    store.body_pause_s = 0.25
    page = feed.follow(2, 0.3)
    assert before + 0.3 <= page.read_at <= read_clock() - 0.2
    assert page.size_b > 0


def test_change_made_between_two_pages_of_a_table_is_followed(store, monkeypatch):
    store.put("op", "version/a", {"model": "a", "version": 1})
    store.put("op", "version/b", {"model": "b", "version": 1})
    read_rows = store._read_table

    def read_one_row(query: dict) -> dict:
        page = read_rows(query)
        if len(page["rows"]) > 1:
            page |= {"rows": page["rows"][:1], "truncated": True}
        if len(page["rows"]) == 1 and page["rows"][0]["key"] == "version/a":
            store.put("op", "version/a", {"model": "a", "version": 2})
        return page

    monkeypatch.setattr(store, "_read_table", read_one_row)
    feed = OperatorFeed(PlatformStore(store.address))
    followed = feed.follow(feed.read().revision, 0.0)
    assert TargetVersionSet(WeightsVersion("a", 2)) in followed.changes


def test_announcement_is_not_taken_as_written_after_its_row_was_removed(store):
    feed = OperatorFeed(PlatformStore(store.address))
    feed.write_announcements((Announcement("m", 2),))
    (row,) = feed._store.read_table("hibiscustray").rows
    feed._store.put_row("hibiscustray", row.key, b"")
    (current,) = feed.write_announcements((Announcement("m", 3, row.revision),))
    assert (current.model, current.number, current.row_revision) == ("m", 0, 0)
    assert feed.write_announcements((Announcement("m", 3),)) == ()


@pytest.mark.parametrize(
    "page",
    [{}, {"error": "none"}, {"rows": []}, {"rows": [], "revision": 2, "truncated": True}],
    ids=["empty", "other", "no revision", "truncated before its first row"],
)
def test_page_that_is_not_known_to_be_whole_is_not_an_empty_table(store, monkeypatch, page):
    monkeypatch.setattr(store, "_read_table", lambda query: dict(page))
    with pytest.raises(StoreUnavailable):
        OperatorFeed(PlatformStore(store.address)).read()
