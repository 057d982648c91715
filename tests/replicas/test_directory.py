"""The replica directory during changes and outages of the replica list."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscustray.replicas import LayerSpan, ReplicaDirectory, ReplicaRecord, ReplicaState
from hibiscustray.replicas import directory as directory_module

READY = ReplicaRecord("i-1", "s", "10.0.0.1:80", "z", 8, ReplicaState.READY, born_ms=1)


@pytest.fixture
def directory(monkeypatch):
    monkeypatch.setattr(directory_module.time, "monotonic", lambda: CLOCK["now"])
    CLOCK["now"] = 100.0
    built = ReplicaDirectory()
    built.replace([READY])
    return built


CLOCK = {"now": 100.0}


def list_ids(directory: ReplicaDirectory) -> list[str]:
    return [record.id for record in directory.list_ready("s")]


def test_a_draining_replica_is_not_ready_but_keeps_its_record(directory):
    directory.update(dataclasses.replace(READY, state=ReplicaState.DRAINING))
    assert list_ids(directory) == []
    assert directory.get("i-1") is not None


def test_a_removal_without_an_outage_takes_effect_at_once(directory):
    directory.remove("i-1")
    assert list_ids(directory) == []


def test_a_removal_during_an_outage_takes_effect_two_seconds_after_it(directory):
    directory.record_outage()
    directory.replace([])
    assert list_ids(directory) == ["i-1"]
    directory.record_recovery()
    CLOCK["now"] += 1.9
    assert list_ids(directory) == ["i-1"]
    CLOCK["now"] += 0.2
    assert list_ids(directory) == []


def test_a_replica_listed_again_after_an_outage_is_kept(directory):
    directory.record_outage()
    directory.record_recovery()
    directory.remove("i-1")
    directory.update(READY)
    CLOCK["now"] += 5.0
    assert list_ids(directory) == ["i-1"]


def test_a_replica_that_drains_during_an_outage_gets_no_new_requests(directory):
    directory.record_outage()
    directory.update(dataclasses.replace(READY, state=ReplicaState.DRAINING))
    assert list_ids(directory) == []


@pytest.mark.parametrize(
    ("span", "has_all_layers"),
    [((0, 16), True), ((0, 8), False), ((8, 16), False), ((0, 0), False), ((0, 20), True)],
)
def test_has_all_layers_requires_every_layer(span, has_all_layers):
    record = dataclasses.replace(READY, layers=LayerSpan(*span, version=1))
    assert record.has_all_layers(16) is has_all_layers


# Guards against requests at replicas that have left, as their rows are back in a restored list.
@pytest.mark.parametrize("is_removed", [True, False])
def test_replica_that_left_before_the_list_was_restored_is_not_ready_again(directory, is_removed):
    listed = dataclasses.replace(READY, sequence=7)
    directory.update(listed)
    if is_removed:
        directory.remove("i-1")
    else:
        directory.update(dataclasses.replace(listed, state=ReplicaState.DRAINING, sequence=8))
    directory.record_outage()
    directory.record_recovery()
    directory.replace([listed])
    CLOCK["now"] += 5.0
    directory.update(listed)
    assert list_ids(directory) == []


# Guards against the opposite: replicas that write a newer row, or start again, are not kept out.
@pytest.mark.parametrize("changes", [{"sequence": 8}, {"sequence": 1, "born_ms": 2}])
def test_replica_that_is_newer_than_its_removal_is_ready_in_a_restored_list(directory, changes):
    listed = dataclasses.replace(READY, sequence=7)
    directory.update(listed)
    directory.remove("i-1")
    directory.replace([dataclasses.replace(listed, **changes)])
    assert list_ids(directory) == ["i-1"]


# Guards against live replicas that are kept out, as a list lacked them only after an outage.
def test_replica_that_was_missing_after_an_outage_is_ready_once_it_is_listed_again(directory):
    directory.record_outage()
    directory.replace([])
    directory.record_recovery()
    CLOCK["now"] += 2.1
    assert list_ids(directory) == []
    directory.update(READY)
    assert list_ids(directory) == ["i-1"]
