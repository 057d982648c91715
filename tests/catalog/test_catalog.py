"""Route lookup by host and longest prefix, increasing revisions, and target versions."""

from __future__ import annotations

import time

from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.catalog import (
    Catalog,
    CatalogHolder,
    Route,
    RouteKind,
    ServiceShare,
    TargetVersions,
    WeightsVersion,
)

PARTS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4)


def make_route(prefix: str, host: str = "h") -> Route:
    return Route(prefix, host, prefix, RouteKind.IDEMPOTENT, (ServiceShare("s"),), 1.0, 0.1)


def join(parts: list[str]) -> str:
    return "/" + "".join(f"{part}/" for part in parts)


@given(st.lists(PARTS, max_size=8), PARTS, st.sampled_from(["", "x"]))
def test_the_route_with_the_longest_matching_prefix_is_found(prefixes, parts, rest):
    routes = tuple(make_route(join(prefix)) for prefix in prefixes)
    path = join(parts) + rest
    fitting = [route.prefix for route in routes if path.startswith(route.prefix)]
    found = Catalog(1, routes).find_route("h", path)
    assert (found.prefix if found else None) == max(fitting, key=len, default=None)


def test_a_route_of_another_host_is_not_found():
    assert Catalog(1, (make_route("/", "other"),)).find_route("h", "/a") is None


@given(st.lists(st.integers(1, 9), min_size=1, max_size=9))
def test_the_active_revision_never_decreases(revisions):
    holder, seen = CatalogHolder(), []
    holder.add_listener(lambda catalog: seen.append(catalog.revision))
    for revision in revisions:
        holder.update(Catalog(revision))
    assert seen == sorted(set(seen))
    assert holder.current.revision == max(revisions)


def test_a_target_version_is_required_after_its_time_limit():
    versions = TargetVersions()
    assert versions.find_newest("m") == 1
    assert versions.find_required("m", 0.1) == 0
    versions.record(WeightsVersion("m", 3))
    assert versions.find_newest("m") == 3
    assert versions.find_required("m", 0.1) == 0
    time.sleep(0.12)
    versions.record(WeightsVersion("m", 4))
    assert versions.find_required("m", 0.1) == 3
    assert not versions.record(WeightsVersion("m", 2))


def test_a_version_found_at_startup_is_required_at_once():
    versions = TargetVersions()
    versions.record(WeightsVersion("m", 2), float("-inf"))
    assert versions.find_required("m", 1e6) == 2


def test_the_time_left_for_a_held_version_depends_on_the_oldest_newer_one():
    versions = TargetVersions()
    assert versions.find_time_left("m", 1, 8.0) == float("inf")
    versions.record(WeightsVersion("m", 2))
    time.sleep(0.05)
    versions.record(WeightsVersion("m", 3))
    assert 7.5 < versions.find_time_left("m", 1, 8.0) < 7.96
    assert 7.9 < versions.find_time_left("m", 2, 8.0) <= 8.0
    assert versions.find_time_left("m", 3, 8.0) == float("inf")


def test_time_in_which_machine_was_suspended_counts_for_age_of_target_version(suspend_machine):
    versions = TargetVersions()
    versions.record(WeightsVersion("m", 2))
    suspend_machine(9.0)
    assert versions.find_required("m", 8.0) == 2
    assert versions.find_time_left("m", 1, 8.0) < 0.0
    assert versions.find_age("m") >= 9.0
