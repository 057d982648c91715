"""Reading of the platform's store against its stand-in."""

from __future__ import annotations

import time

import pytest

from hibiscustray.catalog import WeightsVersion
from hibiscustray.exceptions import RecordInvalid
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
    standin = StoreStandIn()
    standin.put("op", "config", make_configuration(3))
    standin.put("op", "version/m", {"model": "m", "version": 2})
    yield standin
    standin.close()


def test_a_whole_read_has_the_configuration_and_the_versions(store):
    page = OperatorFeed(PlatformStore(store.address)).read()
    assert [type(change) for change in page.changes] == [CatalogPublished, TargetVersionSet]
    assert page.revision == 2


def test_the_operators_table_itself_is_read_beside_the_relay(store):
    page = RelayedOperatorFeed(PlatformStore(store.address)).read_table()
    assert [type(change) for change in page.changes] == [CatalogPublished, TargetVersionSet]
    assert RelayedOperatorFeed(PlatformStore(store.address)).read().changes == ()


def test_a_small_read_has_the_versions_alone(store):
    page = RelayedOperatorFeed(PlatformStore(store.address)).read_small()
    assert [type(change) for change in page.changes] == [TargetVersionSet]


def test_a_copy_holds_the_whole_table_as_it_was_read(store):
    near = OperatorFeed(PlatformStore(store.address))
    near.read()
    store.put("op", "version/m", {"model": "m", "version": 3})
    near.follow(2, 0.0)
    near.write_copy()
    store.put("op", "version/m", {"model": "m", "version": 4})
    page = RelayedOperatorFeed(PlatformStore(store.address)).read_copy()
    catalog, version = page.changes
    assert (page.revision, catalog.catalog.revision, version.target.version) == (3, 3, 3)


def test_without_a_copy_there_is_none_and_a_spoilt_one_is_an_error(store):
    feed = RelayedOperatorFeed(PlatformStore(store.address))
    assert feed.read_copy() is None
    store.objects["hibiscustray-operator-table"] = b"not compressed"
    with pytest.raises(RecordInvalid):
        feed.read_copy()


def test_announcements_reach_those_that_follow(store):
    feed = RelayedOperatorFeed(PlatformStore(store.address))
    revision = feed.read().revision
    announcements = (Announcement("", 3), Announcement("m", 2))
    assert OperatorFeed(PlatformStore(store.address)).write_announcements(announcements) == ()
    page = feed.follow(revision, 0.0)
    assert set(page.changes) == {CatalogAnnounced(3), TargetVersionSet(WeightsVersion("m", 2))}


def test_an_announcement_that_others_made_first_is_returned(store):
    first, second = (OperatorFeed(PlatformStore(store.address)) for _ in range(2))
    assert first.write_announcements((Announcement("m", 3),)) == ()
    (current,) = second.write_announcements((Announcement("m", 2),))
    assert (current.model, current.number) == ("m", 3)
    assert second.write_announcements((Announcement("m", 4, current.row_revision),)) == ()


def test_a_relayed_row_of_another_form_is_rejected_and_written_anew(store):
    feed = RelayedOperatorFeed(PlatformStore(store.address))
    revision = feed.read().revision
    store.put("hibiscustray", "version/m", b"?")
    (change,) = feed.follow(revision, 0.0).changes
    assert isinstance(change, RowRejected)
    (current,) = OperatorFeed(PlatformStore(store.address)).write_announcements(
        (Announcement("m", 2),)
    )
    assert current.number == 0


def test_the_state_of_the_relay_tells_the_rows_and_the_time_of_the_store(store):
    feed = OperatorFeed(PlatformStore(store.address))
    page = feed.read()
    feed.write_announcements((Announcement("", 3), Announcement("m", 2)))
    time.sleep(0.1)
    state = feed.read_state()
    assert {(a.model, a.number) for a in state.announcements} == {("", 3), ("m", 2)}
    assert 0.1 <= state.store_time_s - page.store_time_s < 2.0


def test_a_page_tells_when_its_answer_began_and_how_long_it_is(store):
    feed = OperatorFeed(PlatformStore(store.address))
    before = time.monotonic()
    store.body_pause_s = 0.2
    page = feed.follow(2, 0.3)
    assert before + 0.3 <= page.answered_at <= time.monotonic() - 0.2
    assert page.size_b > 0
