"""Record precedence in the member view, and convergence of views."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.membership import MemberView
from hibiscustray.membership import view as module
from hibiscustray.membership.hashes import BUCKET_STRUCT
from hibiscustray.peers import MemberRecord
from hibiscustray.peers.messages import DEAD, LEAVING, LEFT, LIVE, SUSPECT

STATUSES = (LIVE, SUSPECT, LEAVING, DEAD, LEFT)


def make_record(name: str, **changes) -> MemberRecord:
    """Return the record of a live agent, with the given fields changed."""
    record = MemberRecord(
        id=name,
        role="agent",
        region="akl",
        availability_zone="akl-a",
        peer_address=f"10.0.0.1:{name}",
        http_url="",
        incarnation=1,
        service="booking",
    )
    return msgspec.structs.replace(record, **changes)


def make_view(name: str = "own") -> MemberView:
    return MemberView(make_record(name))


records = st.builds(
    make_record,
    st.sampled_from(["a", "b", "c", "d"]),
    incarnation=st.integers(1, 3),
    sequence=st.integers(0, 3),
    status=st.sampled_from(STATUSES),
)


@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_views_converge_for_any_order_of_records(received, shuffler):
    first, second = make_view(), make_view()
    first.merge(received)
    shuffled = list(received)
    shuffler.shuffle(shuffled)
    second.merge(shuffled)
    assert {m.id: m for m in first.members()} == {m.id: m for m in second.members()}
    assert first.hash == second.hash
    assert first.hash_buckets() == second.hash_buckets()


@given(st.lists(records, max_size=12), st.lists(records, max_size=12))
def test_one_sync_in_each_direction_makes_views_equal(received_first, received_second):
    first, second = make_view("x"), make_view("y")
    first.merge(received_first)
    second.merge(received_second)
    first.merge(second.find_differing(first.hash_buckets(), 100))
    second.merge(first.find_differing(second.hash_buckets(), 100))
    assert first.hash == second.hash


@given(st.lists(records, min_size=1, max_size=20))
def test_member_refutes_records_that_mark_it_departed(received):
    view = make_view("a")
    view.merge(received)
    assert view.own.status == LIVE
    assert view.get("a") == view.own


def test_member_wrongly_marked_dead_is_restored_by_own_record():
    view, suspected = make_view("a"), make_view("b")
    view.merge([suspected.own])
    view.mark_unresponsive("b", DEAD)
    assert view.replicas("booking") == [view.own]
    suspected.merge([view.get("b")])
    view.merge([suspected.own])
    assert [m.id for m in view.replicas("booking")] == ["a", "b"]
    assert view.false_suspicions == 1


def test_older_live_record_does_not_undo_leaving():
    view, leaver = make_view("a"), make_view("b")
    live = leaver.own
    view.merge([live])
    leaver.update_own(status=LEAVING)
    view.merge([leaver.own, live, msgspec.structs.replace(live, status=SUSPECT)])
    assert view.get("b").status == LEAVING
    leaver.merge([msgspec.structs.replace(leaver.own, status=DEAD)])
    assert leaver.own.status == LEAVING


def test_member_restarted_with_lower_incarnation_overrides_its_old_record():
    view = make_view("a")
    view.merge([make_record("b", incarnation=900, sequence=7, status=DEAD)])
    restarted = MemberView(make_record("b", incarnation=5))
    restarted.merge([view.get("b")])
    view.merge([restarted.own])
    assert view.get("b").status == LIVE


def test_process_detects_replacement_at_another_address(monkeypatch):
    old = make_view("b")
    monkeypatch.setattr(module, "JOIN_PERIOD_S", 0.0)
    old.merge([make_record("b", incarnation=900, peer_address="10.0.0.2:b")])
    assert old.is_replaced
    assert old.own.incarnation == 1


def test_removed_departed_member_is_not_added_again(monkeypatch):
    view = make_view("a")
    dead = make_record("b", status=DEAD)
    view.merge([make_record("b"), dead])
    assert view.list_departed() == [dead]
    monkeypatch.setattr(module, "DEPARTED_RETENTION_S", 0.0)
    monkeypatch.setattr(module, "JOIN_PERIOD_S", 0.0)
    view.remove_departed()
    view.merge([dead])
    assert view.get("b") is None


@pytest.mark.parametrize("size", [10, 1110])
def test_message_size_does_not_grow_with_fleet(size):
    view = make_view()
    view.merge([make_record(f"m{i}") for i in range(size)])
    assert len(view.take_changes()) == module.CHANGES_PER_MESSAGE
    assert len(view.neighbours(3)) == 3
    assert len(view.hash_buckets()) == BUCKET_STRUCT.size


@given(st.binary(max_size=600))
def test_any_packed_bucket_hashes_are_accepted(packed):
    view = make_view()
    assert len(view.find_differing(packed, 1)) <= 1
