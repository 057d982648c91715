"""Tests of load orders with engines that check fencing numbers and engines that do not."""

from __future__ import annotations

import hashlib

import pytest

from hibiscustray.agent import ChunkServer
from hibiscustray.exceptions import ActivationAbandoned, FencingRejected, UpstreamError
from hibiscustray.protocols import EngineClient, LoadWeightsOrder
from hibiscustray.rollout import Activation, FencingCounter, OrderGate, TargetWeights
from hibiscustray.standins import EngineStandIn
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer, Response, Router
from hibiscustray.weights import ChunkCache, LinkRateLimiter, Manifest, SwarmRegistry

ADDRESS = "127.0.0.1"
CHUNK_B = 8


class ExpiredSlot:
    """Test double of a wave slot whose lease expired while its holder was paused."""

    number = 3

    def is_valid(self) -> bool:
        return False


class ActivationFixture:
    """An engine, a chunk server that serves it weights, and an activation that orders it."""

    def __init__(self, checks_fencing: bool) -> None:
        self.engine = EngineStandIn(ADDRESS, 0, checks_fencing=checks_fencing, threads=2)
        self.cache = ChunkCache(1 << 20)
        self.gate = OrderGate()
        uplink = LinkRateLimiter(1000.0)
        server = ChunkServer(self.cache, SwarmRegistry(), uplink, self.gate, Metrics("vm-0"))
        router = Router(lambda error: Response.json({"title": type(error).__name__}, 500))
        server.add_routes(router)
        self.http = HttpServer(router, ADDRESS, 0, 2)
        self.client = EngineClient(self.engine.url)
        self.activation = Activation(
            self.client, FencingCounter(0), self.gate, "vm-0", self.make_url
        )
        self.engine.start()
        self.http.start()

    def make_url(self, number: int) -> str:
        return f"{self.http.url}/weights/{number}"

    def add_version(self, data: bytes, base: str = "") -> str:
        chunks = [data[i : i + CHUNK_B] for i in range(0, len(data), CHUNK_B)]
        digests = tuple(hashlib.sha256(chunk).digest() for chunk in chunks)
        manifest = Manifest("m", len(data), CHUNK_B, digests, base)
        self.cache.add_version(manifest.digest, manifest)
        for index, chunk in enumerate(chunks):
            self.cache.put(manifest.digest, index, chunk, "test")
        return manifest.digest

    def load(self, target: TargetWeights, slot=None, is_wanted=lambda: True) -> None:
        self.activation.load(target, slot, is_wanted)

    def stop(self) -> None:
        self.client.close()
        self.engine.stop()
        self.http.stop()


@pytest.fixture(params=[True, False], ids=["checks-fencing", "ignores-fencing"])
def activation_fixture(request):
    activation_fixture = ActivationFixture(request.param)
    yield activation_fixture
    activation_fixture.stop()


def make_target(digest: str, *adapters: str) -> TargetWeights:
    return TargetWeights("guide-llm", digest, 1, 1, adapters)


def test_a_version_is_loaded_and_read_back_and_rolled_back(activation_fixture):
    first, second = activation_fixture.add_version(b"first" * 50), activation_fixture.add_version(
        b"other" * 50
    )
    for digest in (first, second, first):
        activation_fixture.load(make_target(digest))
        assert activation_fixture.engine.weights.digest == digest
        assert activation_fixture.activation.is_loaded(make_target(digest))


def test_an_old_order_that_arrives_late_changes_nothing(activation_fixture):
    first, second = activation_fixture.add_version(b"first" * 50), activation_fixture.add_version(
        b"other" * 50
    )
    activation_fixture.load(make_target(first))
    old = activation_fixture.engine.orders[-1]
    activation_fixture.load(make_target(second))
    late = LoadWeightsOrder(old.digest, old.weights_url, old.fencing, old.issuer, old.revision)
    with pytest.raises((FencingRejected, UpstreamError)):
        activation_fixture.client.load_weights(late)
    assert activation_fixture.engine.weights.digest == second


def test_a_holder_whose_slot_expired_while_paused_orders_nothing(activation_fixture):
    digest = activation_fixture.add_version(b"first" * 50)
    with pytest.raises(ActivationAbandoned):
        activation_fixture.load(make_target(digest), ExpiredSlot())
    assert activation_fixture.engine.orders == []


def test_a_superseded_version_is_not_ordered(activation_fixture):
    digest = activation_fixture.add_version(b"first" * 50)
    with pytest.raises(ActivationAbandoned):
        activation_fixture.load(make_target(digest), is_wanted=lambda: False)
    assert activation_fixture.engine.orders == []


def test_an_adapter_is_loaded_only_with_its_own_base(activation_fixture):
    base, other = activation_fixture.add_version(b"first" * 50), activation_fixture.add_version(
        b"other" * 50
    )
    adapter = activation_fixture.add_version(b"adapter" * 5, base)
    with pytest.raises(UpstreamError):
        activation_fixture.load(make_target(other, adapter))
    assert activation_fixture.engine.weights.digest == ""
    activation_fixture.load(make_target(base, adapter))
    assert activation_fixture.engine.weights.adapters == (adapter,)


def test_an_engine_that_lost_its_weights_is_detected(activation_fixture):
    target = make_target(activation_fixture.add_version(b"first" * 50))
    activation_fixture.load(target)
    activation_fixture.engine.weights = type(activation_fixture.engine.weights)()
    assert not activation_fixture.activation.is_loaded(target)
