"""Tests of the deployer: failures, slots, adapters and rollback."""

from __future__ import annotations

import random
import threading
import time
from types import SimpleNamespace

import pytest

from hibiscustray.agent import Deployer
from hibiscustray.agent.state import ServingState
from hibiscustray.deployments import Configuration, Revision
from hibiscustray.exceptions import ActivationAbandoned, UpstreamUnreachable
from hibiscustray.operator import Adapter, DeploymentPlan, Model, ServicePlan
from hibiscustray.protocols.engine import EngineWeights
from hibiscustray.weights import ChunkCache, TransferEnvironment, build_manifest, manifest_key
from tests.weights.network import CHUNK_B, SERVICE, Network, Pool

FILE = random.Random(1).randbytes(CHUNK_B * 4)
OTHER_FILE = random.Random(2).randbytes(CHUNK_B * 4)
ADAPTER_FILE = random.Random(3).randbytes(CHUNK_B)
TIMEOUT_S = 10.0


class FakeActivation:
    """Test double of an activation and its engine; raises the queued failures first."""

    def __init__(self) -> None:
        self.loaded = EngineWeights()
        self.failures: list[Exception] = []
        self.loads = 0

    def load(self, target, slot, is_wanted) -> None:
        self.loads += 1
        if self.failures:
            raise self.failures.pop(0)
        self.loaded = EngineWeights(target.digest, target.adapters)

    def is_loaded(self, target) -> bool:
        return self.loaded.digest == target.digest


class FakeSlotAllocator:
    """Test double of the slot allocator for a service with one slot."""

    def __init__(self) -> None:
        self.held = 0
        self.max_held = 0

    def acquire(self, service, slots, is_wanted):
        self.held += 1
        self.max_held = max(self.max_held, self.held)
        return SimpleNamespace(number=1, is_valid=lambda: True, release=self._release)

    def _release(self) -> None:
        self.held -= 1


class Agent:
    """A deployer on the only node of an in-process network."""

    def __init__(self, folder, cache_b: int = 1 << 20) -> None:
        self.network = Network(1)
        self.node = next(iter(self.network.nodes.values()))
        self.node.cache = ChunkCache(cache_b)
        self.configuration = Configuration()
        self.configuration.justification.expect_peers(0)
        self.state = ServingState()
        self.activation = FakeActivation()
        self.slots = FakeSlotAllocator()
        self._folder = folder
        self._number = 0
        self.deployer = Deployer(
            SERVICE,
            self.configuration,
            self.node.view,
            SimpleNamespace(trigger_heartbeat=lambda: None),
            self.state,
            self._make_environment(),
            self.activation,
            self.slots,
            self.node.metrics,
            threading.Event(),
        )
        self.deployer.start()

    def publish(self, file: bytes, path: str, base: str = "") -> str:
        source = self._folder / "file"
        source.write_bytes(file)
        manifest = build_manifest(source, path, CHUNK_B, base)
        self.network.other_files[path] = file
        self.network.objects[manifest_key(manifest.digest)] = manifest.encode()
        return manifest.digest

    def apply(self, digest: str, adapter: str = "") -> None:
        version = Model("guide").version("guide-1", digest)
        adapters = (Adapter("crew").version("crew-1", adapter, version),) if adapter else ()
        service = ServicePlan(SERVICE, version, adapters)
        plan = DeploymentPlan("test", (version, *adapters), (service,))
        self._number += 1
        self.configuration.adopt(Revision(self._number, str(plan), "op", "change", 0.0))
        self.configuration.justification.record_store_read(self._number, self._number)

    def wait_for(self, is_reached) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not is_reached():
            assert time.monotonic() < deadline, "the condition was not reached in time"
            time.sleep(0.01)

    def count_failures(self, kind: str) -> float:
        return self.node.metrics.read("deploy_failures_total", {"kind": kind})

    def _make_environment(self) -> TransferEnvironment:
        return TransferEnvironment(
            self.node.view,
            Pool(self.network, self.node.record),
            self.network,
            self.network,
            self.node.cache,
            self.node.swarms,
            self.node.metrics,
        )


@pytest.fixture
def make_agent(tmp_path):
    agents = []

    def make(**options) -> Agent:
        agents.append(Agent(tmp_path, **options))
        return agents[-1]

    yield make
    for agent in agents:
        agent.deployer.stop()


def test_an_unexpected_failure_does_not_end_the_thread(make_agent):
    agent = make_agent()
    agent.activation.failures = [ValueError("a bug"), UpstreamUnreachable("engine starts")]
    digest = agent.publish(FILE, "first")
    agent.apply(digest)
    agent.wait_for(lambda: agent.state.digest == digest)
    assert agent.count_failures("ValueError") == 1
    assert agent.count_failures("UpstreamUnreachable") == 1


def test_a_replica_that_fails_its_swap_keeps_the_wave_slot(make_agent):
    agent = make_agent()
    first, second = agent.publish(FILE, "first"), agent.publish(OTHER_FILE, "second")
    agent.apply(first)
    agent.wait_for(lambda: agent.state.digest == first)
    agent.activation.failures = [UpstreamUnreachable("broken")] * 2
    agent.apply(second)
    agent.wait_for(lambda: agent.count_failures("UpstreamUnreachable") >= 1)
    assert agent.slots.held == 1
    agent.wait_for(lambda: agent.state.digest == second)
    agent.wait_for(lambda: agent.slots.held == 0)
    assert agent.slots.max_held == 1


def test_an_abandoned_swap_resumes_the_previous_version(make_agent):
    agent = make_agent()
    first, second = agent.publish(FILE, "first"), agent.publish(OTHER_FILE, "second")
    agent.apply(first)
    agent.wait_for(lambda: agent.state.digest == first)
    agent.activation.failures = [ActivationAbandoned("expired")] * 1000
    agent.apply(second)
    agent.wait_for(lambda: agent.activation.loads >= 2)
    agent.wait_for(lambda: agent.state.digest == first)
    agent.activation.failures = []
    agent.wait_for(lambda: agent.state.digest == second)


def test_a_rollback_fetches_nothing_again(make_agent):
    agent = make_agent()
    first, second = agent.publish(FILE, "first"), agent.publish(OTHER_FILE, "second")
    for digest in (first, second):
        agent.apply(digest)
        agent.wait_for(lambda digest=digest: agent.state.digest == digest)
    agent.network.origin_reads.clear()
    agent.apply(first)
    agent.wait_for(lambda: agent.state.digest == first)
    assert agent.network.origin_reads == []


def test_a_version_that_does_not_fit_in_the_cache_leaves_the_served_one_in_place(make_agent):
    agent = make_agent(cache_b=len(FILE) + CHUNK_B)
    first, second = agent.publish(FILE, "first"), agent.publish(OTHER_FILE, "second")
    agent.apply(first)
    agent.wait_for(lambda: agent.state.digest == first)
    agent.apply(second)
    agent.wait_for(lambda: agent.count_failures("CacheFull") >= 1)
    assert agent.state.digest == first
    assert agent.node.cache.is_complete(first)


def test_an_adapter_of_another_base_is_never_loaded(make_agent):
    agent = make_agent()
    first, second = agent.publish(FILE, "first"), agent.publish(OTHER_FILE, "second")
    adapter = agent.publish(ADAPTER_FILE, "adapter", base=second)
    agent.apply(first, adapter)
    agent.wait_for(lambda: agent.count_failures("AdapterMismatch") >= 1)
    assert agent.activation.loads == 0
    assert agent.state.digest is None


def test_an_engine_with_unexpected_weights_is_suspended_and_loaded_again(make_agent):
    agent = make_agent()
    digest = agent.publish(FILE, "first")
    agent.apply(digest)
    agent.wait_for(lambda: agent.state.digest == digest)
    agent.activation.loaded = EngineWeights("other")
    agent.wait_for(lambda: agent.activation.loads >= 2)
    agent.wait_for(lambda: agent.state.digest == digest)
    assert agent.node.metrics.read("engine_audits_mismatched_total") == 1
