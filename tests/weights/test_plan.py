"""Tests of the assignment of chunks to fetchers."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.weights.plan import (
    MAX_ORIGIN_FETCHERS,
    TARGET_CHUNK_PEERS,
    RelayPlan,
    chain_regions,
    choose_fetcher,
    choose_source,
    is_chunk_peer,
    measure_distance,
    rank_fetcher,
)

MEMBERS = [f"vm-{i}" for i in range(20)]
CHUNKS = 32


@given(st.lists(st.sets(st.sampled_from(MEMBERS), max_size=4), min_size=20, max_size=20))
def test_differing_views_add_at_most_one_fetcher_per_missed_member(missed):
    """Each additional fetcher lacks a member in its view that ranks above it."""
    hidden = set().union(*missed)
    for index in range(CHUNKS):
        fetchers = sum(
            rank_fetcher("d", index, set(MEMBERS) - unseen, own) == 0
            for own, unseen in zip(MEMBERS, missed, strict=True)
        )
        assert 1 <= fetchers <= 1 + len(hidden)


@given(st.sets(st.sampled_from(MEMBERS), min_size=1), st.integers(0, 1000))
def test_equal_views_assign_one_fetcher(ids, index):
    firsts = [own for own in ids if rank_fetcher("d", index, ids, own) == 0]
    assert firsts == [choose_fetcher("d", index, ids)]


def test_removing_a_fetcher_reassigns_only_its_own_chunks():
    before = {i: choose_fetcher("d", i, MEMBERS) for i in range(CHUNKS)}
    after = {i: choose_fetcher("d", i, MEMBERS[1:]) for i in range(CHUNKS)}
    assert all(after[i] == before[i] for i in before if before[i] != MEMBERS[0])


@given(
    st.sets(st.sampled_from(["akl", "wlg", "chc", "dud"]), min_size=1),
    st.sampled_from(["akl", ""]),
    st.integers(0, 1000),
)
def test_one_region_reads_a_chunk_from_the_origin_and_each_other_imports_it_once(
    regions, origin, index
):
    sources = {region: choose_source(index, regions, origin, region) for region in regions}
    assert Counter(sources.values())[""] == 1
    assert max(Counter(sources.values()).values()) == 1
    if origin in regions:
        assert sources[origin] == ""
    for region in regions:
        seen = set()
        while region:
            assert region not in seen
            seen.add(region)
            region = sources[region]


def test_two_remote_regions_import_different_halves_and_exchange_them():
    regions = {"akl", "wlg", "chc"}
    links = Counter(
        (choose_source(index, regions, "akl", region), region)
        for index in range(400)
        for region in ("wlg", "chc")
    )
    assert set(links) == {("akl", "wlg"), ("akl", "chc"), ("wlg", "chc"), ("chc", "wlg")}
    assert set(links.values()) == {200}


@given(st.sampled_from(MEMBERS), st.sampled_from(MEMBERS), st.integers(1, 600))
def test_distance_is_symmetric_and_all_members_of_a_small_service_are_chunk_peers(
    own, other, count
):
    distance = measure_distance("d", own, other)
    assert distance == measure_distance("d", other, own)
    assert count > TARGET_CHUNK_PEERS or is_chunk_peer(distance, count)


def test_every_member_of_a_large_service_has_chunk_peers():
    ids = [f"vm-{i}" for i in range(500)]
    for own in ids[:50]:
        assert sum(is_chunk_peer(measure_distance("d", own, other), 500) for other in ids) >= 5


REGION_SIZES = [(3, 4, 3), (15, 15, 15, 15, 16), (9,), (2, 2, 2), (1, 7)]


def make_regions(sizes) -> dict[str, str]:
    return {f"vm-{g}-{i}": f"region-{g}" for g, size in enumerate(sizes) for i in range(size)}


def spread(plan: RelayPlan, index: int, source: str, regions, failing=frozenset()):
    """Return how many chunks each member sends when a chunk spreads from its source."""
    received, sent = {source}, Counter()
    queue = [(source, True)]
    while queue:
        member, is_source = queue.pop(0)
        for target in plan.choose_targets(index, member, failing.__contains__, is_source):
            sent[member] += 1
            assert target not in failing
            assert target != member
            if target not in received:
                received.add(target)
                queue.append((target, regions[target] != regions[member]))
    return received, sent


@given(st.sampled_from(REGION_SIZES), st.integers(0, 95), st.sampled_from(["region-0", ""]))
def test_relay_reaches_each_member_once_and_enters_each_region_once(sizes, index, origin):
    regions = make_regions(sizes)
    plan = RelayPlan("d", 96, regions, origin)
    received, sent = spread(plan, index, plan.find_fetcher(index), regions)
    assert received == set(regions)
    assert sent.total() == len(regions) - 1
    first = chain_regions(index, set(regions.values()), origin)[0]
    assert regions[plan.find_fetcher(index)] == first


@given(st.sampled_from(REGION_SIZES), st.integers(0, 95), st.data())
def test_relay_reaches_all_members_that_are_not_failing(sizes, index, data):
    """Any member may bring the chunk into the first region when its fetcher fails."""
    regions = make_regions(sizes)
    plan = RelayPlan("d", 96, regions, "")
    first = chain_regions(index, set(regions.values()), "")[0]
    source = data.draw(st.sampled_from([m for m, region in regions.items() if region == first]))
    others = sorted(set(regions) - {source})
    failing = frozenset(data.draw(st.sets(st.sampled_from(others)))) if others else frozenset()
    received, _ = spread(plan, index, source, regions, failing)
    assert received == set(regions) - failing


def test_relay_loads_the_uplinks_of_all_members_evenly():
    for sizes in ((3, 4, 3), (15, 15, 15, 15, 16), (9, 9, 9, 9, 9)):
        regions = make_regions(sizes)
        plan = RelayPlan("d", 96, regions, "")
        sent: Counter[str] = Counter()
        for index in range(96):
            sent.update(spread(plan, index, plan.find_fetcher(index), regions)[1])
        assert max(sent.values()) <= 1.25 * sent.total() / len(regions)


def test_few_members_of_a_large_service_fetch_from_the_origin_in_equal_shares():
    regions = make_regions((150, 150, 150))
    plan = RelayPlan("d", 96, regions, "")
    fetched = Counter(plan.find_fetcher(index) for index in range(96))
    assert len(fetched) <= MAX_ORIGIN_FETCHERS
    assert set(fetched.values()) == {96 // MAX_ORIGIN_FETCHERS}


def test_an_added_member_changes_few_fetchers():
    regions = make_regions((6, 6))
    before = RelayPlan("d", 96, regions, "")
    after = RelayPlan("d", 96, {**regions, "vm-new": "region-0"}, "")
    changed = sum(before.find_fetcher(i) != after.find_fetcher(i) for i in range(96))
    assert changed <= 96 // 3
