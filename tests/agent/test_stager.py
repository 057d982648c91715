"""Tests of the stager with a fake engine: verified staging, load orders and restarts."""

from __future__ import annotations

import hashlib
import threading
import time
from collections.abc import Callable

import pytest

from hibiscustray.agent import loader as loader_module
from hibiscustray.agent import stager as stager_module
from hibiscustray.agent.interface import (
    EngineReport,
    OrderAccepted,
    OrderConflict,
    OrderInForce,
)
from hibiscustray.agent.stager import OriginManifests, WeightsStager, make_label
from hibiscustray.benchmarks.engines import PROFILE
from hibiscustray.catalog import (
    Catalog,
    CatalogHolder,
    ServiceEntry,
    TargetVersions,
    WeightsVersion,
)
from hibiscustray.exceptions import ChunkMissing, OriginUnavailable, UpstreamUnreachable
from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord, PeerPool
from hibiscustray.replicas import LayerSpan, ServedModel
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import ChunkCache, Manifest, SwarmRegistry, TransferEnvironment

CHUNKS = 12
CHUNK_B = 64


def make_chunk(version: int, index: int) -> bytes:
    return hashlib.shake_128(f"{version}/{index}".encode()).digest(CHUNK_B)


class Origin:
    """A fake origin that serves all versions and counts the chunks that it sends."""

    def __init__(self) -> None:
        self.sent = 0
        self.is_down = False
        self.corrupt_indexes: set[int] = set()

    def read_manifest(self, model: str, version: int) -> Manifest:
        if self.is_down:
            raise OriginUnavailable("down")
        digests = (hashlib.sha256(make_chunk(version, i)).digest() for i in range(CHUNKS))
        return Manifest(f"{model}?{version}", CHUNKS * CHUNK_B, CHUNK_B, tuple(digests))

    def read_range(self, path: str, start: int, length: int) -> bytes:
        if self.is_down:
            raise OriginUnavailable("down")
        self.sent += 1
        index = start // length
        if index in self.corrupt_indexes:
            self.corrupt_indexes.discard(index)
            return b"spoilt" * 11
        return make_chunk(int(path.partition("?")[2]), index)


class Engine:
    """A fake engine that holds one version and loads the chunks staged when an order arrives."""

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self.staged: dict[int, bytes] = {}
        self.order_count = 0
        self.is_absent = False
        self.corrupting: set[int] = set()
        self.loads: list[dict[int, bytes]] = []
        self.fencing: list[int] = []
        self.conflicts = 0

    def read_report(self) -> EngineReport:
        if self.is_absent:
            raise UpstreamUnreachable("refused")
        models = (ServedModel("m", self.version),) if self.version else ()
        span = LayerSpan(0, 16 if self.version else 0, self.version)
        return EngineReport(models, span, False, self.order_count, 0, 0, 1)

    def list_staged(self, model: str) -> frozenset[int]:
        return frozenset(self.staged)

    def read_staged(self, model: str, index: int, size_b: int) -> bytes:
        if index not in self.staged:
            raise ChunkMissing(str(index))
        if index in self.corrupting:
            self.corrupting.discard(index)
            self.staged[index] = b"rot"
        return self.staged[index]

    def stage(self, model: str, index: int, data: bytes) -> None:
        self.staged[index] = data

    def order_load(self, model, version, mode, order_count, fencing):
        if order_count != self.order_count:
            return OrderConflict("count")
        if self.conflicts:
            self.conflicts -= 1
            return OrderConflict("busy")
        if version == self.version:
            return OrderInForce()
        self.order_count += 1
        self.version = version
        self.loads.append(dict(self.staged))
        self.fencing.append(fencing)
        return OrderAccepted()


class StagerFixture:
    """A stager with a fake engine, a fake origin and target versions."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.origin, self.versions = engine, Origin(), TargetVersions()
        catalogs = CatalogHolder()
        services = {"guide": ServiceEntry("guide", engine=PROFILE)}
        catalogs.update(Catalog(1, services=services))
        own = MemberRecord("a", "agent", "r", "z", "127.0.0.1:1", "", 1, service="guide")
        self.cache = ChunkCache(1 << 20)
        metrics = Metrics("test")
        environment = TransferEnvironment(
            view=MemberView(own),
            peers=PeerPool(),
            objects=None,
            origin=self.origin,
            cache=self.cache,
            swarms=SwarmRegistry(),
            metrics=metrics,
            manifests=OriginManifests(self.origin.read_manifest),
        )
        self.stager = WeightsStager("guide", catalogs, self.versions, engine, environment, metrics)

    def set_target(self, version: int) -> None:
        self.versions.record(WeightsVersion("m", version))
        self.stager.cancel_outdated_transfer()

    def wait_for(self, version: int) -> None:
        deadline = time.monotonic() + 10.0
        while self.engine.version != version and time.monotonic() < deadline:
            time.sleep(0.01)
        assert self.engine.version == version


@pytest.fixture
def start_stager(monkeypatch):
    monkeypatch.setattr(stager_module, "INTERVAL_S", 0.02)
    monkeypatch.setattr(stager_module, "FAILURE_PAUSE_S", 0.02)
    monkeypatch.setattr(loader_module, "FAILURE_PAUSE_S", 0.02)
    running: list[StagerFixture] = []

    def start(engine: Engine) -> StagerFixture:
        fixture = StagerFixture(engine)
        running.append(fixture)
        fixture.stager.start()
        return fixture

    yield start
    for fixture in running:
        fixture.stager.stop()


def make_chunks(version: int) -> dict[int, bytes]:
    return {index: make_chunk(version, index) for index in range(CHUNKS)}


def test_an_empty_engine_is_brought_to_the_target_version(start_stager):
    fixture = start_stager(Engine())
    fixture.wait_for(1)
    fixture.set_target(2)
    fixture.wait_for(2)
    assert fixture.engine.loads == [make_chunks(1), make_chunks(2)]
    assert fixture.engine.fencing == [1, 2]
    assert fixture.origin.sent == 2 * CHUNKS


def test_an_engine_at_the_version_is_not_ordered_and_its_chunks_are_offered_to_peers(start_stager):
    engine = Engine(version=1)
    engine.staged = make_chunks(1)
    fixture = start_stager(engine)
    deadline = time.monotonic() + 5.0
    while not fixture.cache.is_complete(make_label("m", 1)) and time.monotonic() < deadline:
        time.sleep(0.01)
    assert fixture.cache.is_complete(make_label("m", 1))
    assert engine.loads == []
    assert fixture.origin.sent == 0


def test_staged_chunks_of_an_earlier_process_are_not_fetched_again(start_stager):
    engine = Engine()
    engine.staged = make_chunks(1) | {3: b"foreign"}
    del engine.staged[5]
    fixture = start_stager(engine)
    fixture.wait_for(1)
    assert fixture.origin.sent == 2
    assert engine.loads == [make_chunks(1)]


def test_nothing_is_fetched_before_the_engine_has_first_responded(start_stager):
    engine = Engine(version=1)
    engine.staged = make_chunks(1)
    engine.is_absent = True
    fixture = start_stager(engine)
    time.sleep(0.3)
    engine.is_absent = False
    time.sleep(0.3)
    assert fixture.origin.sent == 0
    assert engine.loads == []


def test_a_chunk_that_becomes_corrupt_in_the_staging_area_is_never_loaded(start_stager):
    engine = Engine()
    engine.corrupting = {0, 4, 7}
    start_stager(engine).wait_for(1)
    assert engine.loads == [make_chunks(1)]


class SuspendingEngine(Engine):
    """An engine whose VM is suspended once, after all staged chunks were verified."""

    def __init__(self, suspend_machine: Callable[[float], None]) -> None:
        super().__init__()
        self._suspend_machine = suspend_machine
        self._is_suspended = False

    def read_report(self) -> EngineReport:
        if len(self.staged) == CHUNKS and not self._is_suspended:
            self._is_suspended = True
            self._suspend_machine(9.0)
            self.staged[0] = b"rot"
        return super().read_report()


def test_chunk_that_becomes_corrupt_while_vm_is_suspended_is_not_loaded(
    start_stager, suspend_machine
):
    engine = SuspendingEngine(suspend_machine)
    start_stager(engine).wait_for(1)
    assert engine.loads == [make_chunks(1)]


def test_a_chunk_that_the_origin_corrupts_is_fetched_again(start_stager, monkeypatch):
    monkeypatch.setattr("hibiscustray.weights.transfer.ORIGIN_CORRUPT_RETRY_S", 0.05)
    engine = Engine()
    engine.is_absent = True
    fixture = start_stager(engine)
    fixture.origin.corrupt_indexes = {2, 9}
    engine.is_absent = False
    fixture.wait_for(1)
    assert engine.loads == [make_chunks(1)]


def test_an_order_that_conflicts_is_repeated_with_a_fresh_count(start_stager):
    engine = Engine()
    engine.conflicts = 2
    start_stager(engine).wait_for(1)
    assert engine.loads == [make_chunks(1)]


def test_an_engine_that_restarts_empty_is_loaded_again_without_the_origin(start_stager):
    engine = Engine()
    fixture = start_stager(engine)
    fixture.wait_for(1)
    sent = fixture.origin.sent
    engine.is_absent = True
    time.sleep(0.1)
    engine.version, engine.order_count, engine.staged = 0, 0, {}
    engine.is_absent = False
    fixture.wait_for(1)
    assert fixture.origin.sent == sent
    assert engine.loads == [make_chunks(1), make_chunks(1)]


def test_an_unavailable_origin_is_retried(start_stager):
    engine = Engine()
    fixture = start_stager(engine)
    fixture.origin.is_down = True
    fixture.wait_for(1) if engine.version else time.sleep(0.2)
    fixture.origin.is_down = False
    fixture.wait_for(1)


def test_a_newer_version_supersedes_a_transfer_that_has_just_started(start_stager):
    engine = Engine(version=1)
    engine.staged = make_chunks(1)
    fixture = start_stager(engine)
    gate = threading.Event()
    read = fixture.origin.read_range

    def read_slowly(path: str, start: int, length: int) -> bytes:
        if path.endswith("?2"):
            gate.wait(2.0)
        return read(path, start, length)

    fixture.origin.read_range = read_slowly
    fixture.set_target(2)
    time.sleep(0.1)
    fixture.set_target(3)
    gate.set()
    fixture.wait_for(3)
    assert engine.loads == [make_chunks(3)]
