"""The number of entries as each of them counts it."""

from __future__ import annotations

from hibiscustray.membership.roster import DEFAULT_ENTRIES, ROW_LIFETIME_S, EntryRoster


def make_roster(now: list[float]) -> tuple[EntryRoster, list[int]]:
    counts: list[int] = []
    return EntryRoster("e0", counts.append, lambda: now[0]), counts


def test_entry_without_the_table_assumes_many_entries():
    _, counts = make_roster([0.0])
    assert counts == [DEFAULT_ENTRIES]


def test_entries_that_come_and_leave_change_the_count():
    roster, counts = make_roster([0.0])
    roster.replace(["e1", "e2"])
    roster.record("e3")
    roster.remove("e1")
    assert counts[1:] == [3, 4, 3]


def test_entry_counts_itself_before_its_row_is_listed():
    roster, counts = make_roster([0.0])
    roster.replace([])
    assert (counts[-1], roster.is_listed) == (1, False)
    roster.record("e0")
    assert (counts[-1], roster.is_listed) == (1, True)


def test_entry_that_is_frozen_or_killed_counts_until_its_row_has_not_changed_for_long():
    now = [0.0]
    roster, counts = make_roster(now)
    roster.replace(["e0", "e1", "e2"])
    now[0] = ROW_LIFETIME_S - 1
    roster.record("e1")
    assert (counts[-1], roster.list_gone()) == (3, [])
    now[0] = ROW_LIFETIME_S + 1
    assert roster.list_gone() == ["e2"]


def test_rows_that_are_read_again_as_a_whole_keep_their_age():
    now = [0.0]
    roster, _ = make_roster(now)
    roster.replace(["e1"])
    now[0] = ROW_LIFETIME_S + 1
    roster.replace(["e1", "e2"])
    assert roster.list_gone() == ["e1"]


def test_a_key_selects_the_same_few_entries_at_each_of_them():
    ids = [f"entry-{number}" for number in range(35)]
    rosters = [EntryRoster(entry_id, lambda count: None) for entry_id in ids]
    for roster in rosters:
        roster.replace(ids)
    chosen = {
        key: [e for e, roster in zip(ids, rosters, strict=True) if roster.is_among_first(key, 3)]
        for key in map(str, range(40))
    }
    assert {len(entries) for entries in chosen.values()} == {3}
    assert len({entry for entries in chosen.values() for entry in entries}) > 20


def test_an_entry_that_knows_no_other_selects_itself():
    assert EntryRoster("entry-1", lambda count: None).is_among_first("7", 3)
