"""A fleet of agents with engine stand-ins behind shaped links, all in this process."""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from hibiscustray.agent import AgentProcess
from hibiscustray.composition import build_agent
from hibiscustray.operator import DeploymentPlan, Model, Operator, ServicePlan
from hibiscustray.settings import (
    LinkSettings,
    MembershipSettings,
    PlatformSettings,
    ProcessSettings,
    Settings,
    UpstreamSettings,
)
from hibiscustray.standins.engine import EngineStandIn
from hibiscustray.standins.links import LinkShape, ShapedLinks
from hibiscustray.standins.platform import PlatformStandIn

ADDRESS = "127.0.0.1"
SERVICE = "guide-llm"
MIB = 1024 * 1024
MEGABIT_B = 125_000
MIN_WINDOW_S = 60.0
WINDOW_PER_REPLICA_S = 1.0
ORIGIN_COPIES_PER_WINDOW = 4
VM_COPIES_PER_WINDOW = 2
REGION_COPIES_PER_WINDOW = 0.5
"""Link rates, in copies of the model that the link can carry in one window (see `window_s`)."""
CACHE_COPIES = 3
ENGINE_THREADS = 2
AGENT_CONCURRENCY = 8
READY_TIMEOUT_S = 60.0
POLL_S = 0.05
MEMBERSHIP = MembershipSettings(heartbeat_s=1.0, poll_interval_s=1.0)


@dataclass(frozen=True)
class FleetShape:
    """Sizes of a fleet and its model, and the link rates that follow from them."""

    replicas: int
    zones: int
    regions: int
    model_mib: int
    objective: str
    seed: int

    @property
    def model_b(self) -> int:
        """Return the model's size in bytes."""
        return self.model_mib * MIB

    @property
    def window_s(self) -> float:
        """Return the length of the window T, the unit of time in which link rates are defined.

        It is long enough that this process's CPU does not limit the agents.
        """
        return max(MIN_WINDOW_S, WINDOW_PER_REPLICA_S * self.replicas)

    @property
    def copy_mbit_s(self) -> float:
        """Return the rate at which one copy of the model takes one window."""
        return self.model_b / MEGABIT_B / self.window_s

    @property
    def region_mbit_s(self) -> float:
        """Return the rate between two regions, the lowest of all link rates."""
        return REGION_COPIES_PER_WINDOW * self.copy_mbit_s

    def locate(self, index: int) -> tuple[str, str]:
        """Return the availability zone and region of a replica."""
        zone = index % self.zones
        return f"zone-{zone}", f"region-{zone % self.regions}"


@dataclass
class Replica:
    """An agent and its engine stand-in."""

    agent: AgentProcess
    engine: EngineStandIn
    is_alive: bool = True

    def is_serving(self, digest: str) -> bool:
        """Return whether agent and engine serve a digest; the engine hashes its weights itself."""
        return self.agent.state.digest == digest and self.engine.weights.digest == digest

    def kill(self) -> None:
        """Stop agent and engine without notifying the other agents, as in a crash."""
        self.is_alive = False
        self.agent.stop()
        self.engine.stop()


class Fleet:
    """Builds replicas, publishes versions and counts the replicas that serve them."""

    def __init__(self, shape: FleetShape) -> None:
        self.shape = shape
        self._folder = tempfile.TemporaryDirectory(prefix="hibiscustray-bench-")
        self._rng = random.Random(shape.seed)
        origin_mbit_s = ORIGIN_COPIES_PER_WINDOW * shape.copy_mbit_s
        self.platform = PlatformStandIn(ADDRESS, 0, 0, origin_mbit_s, {})
        self._vm_mbit_s = VM_COPIES_PER_WINDOW * shape.copy_mbit_s
        self.links = ShapedLinks(LinkShape(self._vm_mbit_s, shape.region_mbit_s), "region-0")
        self.operator = Operator("bench", self.platform.url, self.platform.url)
        self.replicas: dict[str, Replica] = {}
        self.published: list[str] = []

    def start(self) -> None:
        """Start the platform's stand-in and all replicas; wait until each lists all replicas."""
        self.platform.start()
        for index in range(self.shape.replicas):
            self.add_replica(index)
        self._wait_until(
            lambda: all(self._lists_all_replicas(r) for r in self.list_live_replicas())
        )

    def stop(self) -> None:
        """Stop all replicas and the platform's stand-in, and delete the files."""
        for replica in self.list_live_replicas():
            replica.kill()
        self.platform.stop()
        self._folder.cleanup()

    def add_replica(self, index: int) -> None:
        """Start a replica with an empty cache; it replaces a killed one of that index."""
        name = f"{SERVICE}-{index}"
        zone, region = self.shape.locate(index)
        engine = EngineStandIn(ADDRESS, 0, threads=ENGINE_THREADS)
        wrappers = self.links.add_vm(name, region)
        agent = build_agent(self._make_settings(name, zone, region, engine.url), wrappers)
        address = agent.view.own.peer_address
        self.links.add_address(name, address)
        self.replicas[name] = Replica(agent, engine)
        self.platform.add_vm(name, zone, address)
        engine.start()
        agent.start()

    def kill_replica(self, index: int) -> None:
        """Stall a replica's links, then stop it; the platform's VM list still has its VM."""
        name = f"{SERVICE}-{index}"
        self.replicas[name].is_alive = False
        self.links.stalled.add(name)
        self.replicas[name].kill()
        self.links.stalled.discard(name)

    def list_live_replicas(self) -> list[Replica]:
        """Return the replicas that have not been killed."""
        return [replica for replica in self.replicas.values() if replica.is_alive]

    def write_model(self, path: str) -> Path:
        """Write random weights to a file that the origin serves under a path."""
        file = Path(self._folder.name) / f"weights-{self._rng.randrange(1 << 32):08x}"
        file.write_bytes(self._rng.randbytes(self.shape.model_b))
        self.platform.add_file(path, file)
        return file

    def publish(self, file: Path, path: str) -> str:
        """Publish a version of the weights and return its digest."""
        digest = self.operator.publish(file, path)
        self.published.append(digest)
        return digest

    def apply(self, digest: str) -> None:
        """Apply a deployment whose target version is the latest published one."""
        version = Model("guide").version(f"guide-{len(self.published)}", digest)
        service = ServicePlan(
            SERVICE, version, objective=self.shape.objective, max_unavailable=self.shape.replicas
        )
        self.operator.apply(DeploymentPlan(name="bench", versions=(version,), services=(service,)))

    def count_serving(self, digest: str) -> int:
        """Return how many live replicas serve a digest."""
        return sum(replica.is_serving(digest) for replica in self.list_live_replicas())

    def _lists_all_replicas(self, replica: Replica) -> bool:
        return len(replica.agent.view.replicas(SERVICE)) == len(self.list_live_replicas())

    def _wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not condition() and time.monotonic() < deadline:
            time.sleep(POLL_S)

    def _make_settings(self, name: str, zone: str, region: str, engine_url: str) -> Settings:
        url = self.platform.url
        cache_mib = CACHE_COPIES * self.shape.model_mib
        return Settings(
            process=ProcessSettings(name, zone, region, ADDRESS),
            platform=PlatformSettings(url, url, url, self.platform.origin_url, "region-0"),
            upstream=UpstreamSettings(engine_url, SERVICE, AGENT_CONCURRENCY),
            links=LinkSettings(self._vm_mbit_s, self._vm_mbit_s, cache_mib),
            membership=MEMBERSHIP,
        )
