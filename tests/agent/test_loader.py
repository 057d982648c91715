"""Tests of loads: waves, outdated versions, and a staging area that two versions use."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.agent import loader as loader_module
from hibiscustray.agent.interface import EngineReport
from hibiscustray.agent.loader import (
    LoadTask,
    WeightsLoader,
    choose_wave_delay,
)
from hibiscustray.catalog import SEND_LEAD_S, TargetVersions, WeightsVersion
from hibiscustray.clock import read_clock
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import ChunkCache
from tests.agent.test_stager import CHUNKS, Engine, Origin, make_chunk, make_chunks


@given(st.floats(0.0, 1.0, exclude_max=True), st.floats(-10.0, 60.0))
def test_every_wave_begins_before_the_bound(place, time_left_s):
    delay_s = choose_wave_delay(place, time_left_s)
    assert 0 <= delay_s <= max(0.0, time_left_s - SEND_LEAD_S)


@given(st.floats(SEND_LEAD_S + 1.0, 60.0))
def test_at_most_half_of_the_replicas_load_at_once_if_there_is_time(time_left_s):
    delays = [choose_wave_delay(place / 40, time_left_s) for place in range(40)]
    assert max(delays.count(delay) for delay in delays) <= 20


def test_nobody_waits_without_time():
    assert {choose_wave_delay(place / 9, 0.5) for place in range(9)} == {0.0}


@given(st.floats(SEND_LEAD_S + 1.0, 60.0))
def test_replicas_that_entries_let_rest_load_before_the_others(time_left_s):
    first = max(choose_wave_delay(place / 40, time_left_s) for place in range(20))
    second = min(choose_wave_delay(place / 40, time_left_s) for place in range(20, 40))
    assert first <= second


class SlowEngine(Engine):
    """An engine that takes some time to load what was staged when it accepted the order."""

    def __init__(self, version: int = 0, load_s: float = 0.3) -> None:
        super().__init__(version)
        self._load_s = load_s
        self._loaded_at = 0.0
        self._next = version

    def read_report(self) -> EngineReport:
        if time.monotonic() >= self._loaded_at:
            self.version = self._next
        report = super().read_report()
        is_loading = time.monotonic() < self._loaded_at
        return EngineReport(
            report.models, report.layers, is_loading, report.order_count, 0, 0, report.born_ms
        )

    def order_load(self, model, version, mode, order_count, fencing):
        held = self.version
        outcome = super().order_load(model, version, mode, order_count, fencing)
        if self.version != held:
            self._next, self.version = self.version, held
            self._loaded_at = time.monotonic() + self._load_s
        return outcome


class LoaderFixture:
    """A loader with a fake engine and a cache that holds two versions."""

    def __init__(self, engine: Engine, version_bound_s: float) -> None:
        self.engine, self.versions = engine, TargetVersions()
        self.cache = ChunkCache(1 << 20)
        self.manifests = {}
        for version in (2, 3):
            manifest = Origin().read_manifest("m", version)
            self.manifests[version] = manifest
            self.cache.add_version(f"m@{version}", manifest)
            for index in range(CHUNKS):
                self.cache.put(f"m@{version}", index, make_chunk(version, index), "origin")
        self.loader = WeightsLoader(
            engine, self.cache, self.versions, Metrics("test"), version_bound_s
        )

    def submit(self, version: int, delay_s: float = 0.0) -> None:
        manifest = self.manifests[version]
        self.loader.submit(LoadTask("m", version, f"m@{version}", manifest, read_clock() + delay_s))

    def wait_for(self, version: int) -> None:
        deadline = time.monotonic() + 5.0
        while self.engine.read_report().find_version("m") != version:
            assert time.monotonic() < deadline
            time.sleep(0.01)


@pytest.fixture
def start_loader(monkeypatch):
    monkeypatch.setattr(loader_module, "FAILURE_PAUSE_S", 0.02)
    running: list[LoaderFixture] = []

    def start(engine: Engine, version_bound_s: float = 60.0) -> LoaderFixture:
        fixture = LoaderFixture(engine, version_bound_s)
        running.append(fixture)
        fixture.loader.start()
        return fixture

    yield start
    for fixture in running:
        fixture.loader.stop()


def test_chunks_of_a_newer_version_are_not_staged_before_the_older_one_is_ordered(start_loader):
    fixture = start_loader(SlowEngine(version=1))
    fixture.submit(2, delay_s=0.3)
    for index in range(CHUNKS):
        assert not fixture.loader.stage_chunk("m", "m@3", index)
    fixture.wait_for(2)
    assert fixture.engine.loads == [make_chunks(2)]


def test_chunks_of_a_newer_version_are_staged_while_the_engine_loads(start_loader):
    engine = SlowEngine(version=1, load_s=2.0)
    fixture = start_loader(engine)
    fixture.submit(2)
    deadline = time.monotonic() + 1.5
    while not fixture.loader.stage_chunk("m", "m@3", 0):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert engine.loads == [make_chunks(2)]
    assert engine.version == 1


def test_a_newer_version_replaces_one_that_waits_for_its_wave(start_loader):
    fixture = start_loader(SlowEngine(version=1))
    fixture.submit(2, delay_s=0.5)
    fixture.submit(3)
    fixture.wait_for(3)
    assert fixture.engine.loads == [make_chunks(3)]


def test_a_newer_version_follows_one_that_is_being_loaded(start_loader):
    fixture = start_loader(SlowEngine(version=1))
    fixture.submit(2)
    time.sleep(0.1)
    fixture.submit(3)
    fixture.wait_for(3)
    assert fixture.engine.loads == [make_chunks(2), make_chunks(3)]


def test_a_version_that_may_soon_not_be_used_is_not_loaded(start_loader):
    fixture = start_loader(SlowEngine(version=1), version_bound_s=8.0)
    fixture.versions.record(WeightsVersion("m", 2))
    fixture.versions.record(WeightsVersion("m", 3), read_clock() - 7.0)
    fixture.submit(2)
    time.sleep(0.2)
    assert fixture.engine.loads == []
    fixture.submit(3)
    fixture.wait_for(3)
    assert fixture.engine.loads == [make_chunks(3)]


def test_an_engine_that_loses_its_weights_does_not_wait_for_its_wave(start_loader):
    fixture = start_loader(SlowEngine(version=0))
    fixture.submit(2, delay_s=30.0)
    fixture.submit(2)
    fixture.wait_for(2)
    assert fixture.engine.loads == [make_chunks(2)]
