"""A complete site in one process over loopback: stand-ins, agents and entries."""

from __future__ import annotations

import hashlib
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from hibiscustray.agent import AgentProcess
from hibiscustray.composition import build_agent, build_entry
from hibiscustray.entry import EntryProcess
from hibiscustray.operator import Operator
from hibiscustray.settings import (
    LimitSettings,
    LinkSettings,
    MembershipSettings,
    PlatformSettings,
    ProcessSettings,
    RoutingSettings,
    SecuritySettings,
    Settings,
    UpstreamSettings,
)
from hibiscustray.standins.batching import EngineTuning
from hibiscustray.standins.engine import EngineStandIn
from hibiscustray.standins.platform import PlatformStandIn
from hibiscustray.standins.service import ServiceStandIn

ADDRESS = "127.0.0.1"
POLL_INTERVAL_S = 0.02
TEAM = "hosts"
TEAM_KEY = "hosts-key"


@dataclass(frozen=True)
class SiteShape:
    """Sizes and settings of a site; `zones` are pairs of availability zone and region."""

    entries: int = 2
    model_service: str = "guide-llm"
    model_replicas: int = 6
    plain_service: str = "booking"
    plain_replicas: int = 3
    zones: tuple[tuple[str, str], ...] = (("akl-a", "akl"), ("wlg-a", "wlg"), ("chc-a", "chc"))
    origin_mbit_s: float = 1600.0
    link_mbit_s: float = 800.0
    membership: MembershipSettings = MembershipSettings(heartbeat_s=0.25, poll_interval_s=0.25)
    limits: LimitSettings = LimitSettings()
    routing: RoutingSettings = RoutingSettings()
    engine_tuning: EngineTuning = EngineTuning()
    teams: tuple[str, ...] = (TEAM,)


@dataclass
class ModelReplica:
    """A replica of the model service: an agent and its stand-in engine."""

    agent: AgentProcess
    engine: EngineStandIn


@dataclass
class PlainReplica:
    """A replica of the plain service: an agent and its stand-in service."""

    agent: AgentProcess
    service: ServiceStandIn


class Site:
    """Builds, starts and stops the processes of a site and their stand-ins."""

    def __init__(self, shape: SiteShape) -> None:
        self.shape = shape
        self._folder = tempfile.TemporaryDirectory(prefix="hibiscustray-")
        self._teams = Path(self._folder.name) / "teams.ini"
        self._teams.write_text(_make_teams_text(shape.teams))
        self.platform = PlatformStandIn(ADDRESS, 0, 0, shape.origin_mbit_s, {})
        self.operator = Operator("demo", self.platform.url, self.platform.url)
        self.models = [self._build_model(i) for i in range(shape.model_replicas)]
        self.plains = [self._build_plain(i) for i in range(shape.plain_replicas)]
        self.entries = [self._build_entry(i) for i in range(shape.entries)]

    def start(self, on_progress: Callable[[str, int, int], None] | None = None) -> None:
        """Start all parts; `on_progress` gets replica, chunks held and number of chunks."""
        self.platform.start()
        for model in self.models:
            model.engine.start()
            model.agent.start(_bind_progress(on_progress, model.agent.view.own.id))
        for plain in self.plains:
            plain.service.start()
            plain.agent.start()
        for entry in self.entries:
            entry.start()

    def stop(self) -> None:
        """Stop all parts, the entries first and the platform last."""
        for entry in self.entries:
            entry.stop()
        for model in self.models:
            model.agent.stop()
            model.engine.stop()
        for plain in self.plains:
            plain.agent.stop()
            plain.service.stop()
        self.platform.stop()
        self._folder.cleanup()

    def count_serving(self, digest: str) -> int:
        """Return how many model replicas serve a digest according to both agent and engine."""
        return sum(
            1
            for model in self.models
            if model.agent.state.digest == digest and model.engine.weights.digest == digest
        )

    def wait_until_serving(self, digest: str, timeout_s: float) -> float | None:
        """Wait until all model replicas serve a digest; return the seconds, or None on timeout."""
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            if self.count_serving(digest) == len(self.models):
                return time.monotonic() - started
            time.sleep(POLL_INTERVAL_S)
        return None

    def wait_until_routable(self, timeout_s: float) -> bool:
        """Wait until every entry's view shows every replica as serving; return False on timeout."""
        expected = len(self.models) + len(self.plains)
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(_count_routable(entry) == expected for entry in self.entries):
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def _build_model(self, index: int) -> ModelReplica:
        engine = EngineStandIn(ADDRESS, 0, self.shape.engine_tuning)
        agent = self._build_agent(f"{self.shape.model_service}-{index}", index, engine.url)
        return ModelReplica(agent, engine)

    def _build_plain(self, index: int) -> PlainReplica:
        service = ServiceStandIn(ADDRESS, 0)
        agent = self._build_agent(f"{self.shape.plain_service}-{index}", index, service.url)
        return PlainReplica(agent, service)

    def _build_agent(self, name: str, index: int, url: str) -> AgentProcess:
        upstream = UpstreamSettings(url, name.rsplit("-", 1)[0])
        agent = build_agent(self._make_settings(name, index, upstream))
        own = agent.view.own
        self.platform.add_vm(name, own.availability_zone, own.peer_address)
        return agent

    def _build_entry(self, index: int) -> EntryProcess:
        entry = build_entry(self._make_settings(f"entry-{index}", index, None))
        own = entry.view.own
        self.platform.add_vm(own.id, own.availability_zone, own.peer_address)
        return entry

    def _make_settings(self, name: str, index: int, upstream: UpstreamSettings | None) -> Settings:
        zone, region = self.shape.zones[index % len(self.shape.zones)]
        url = self.platform.url
        return Settings(
            process=ProcessSettings(name, zone, region, ADDRESS),
            platform=PlatformSettings(url, url, url, self.platform.origin_url),
            upstream=upstream,
            links=LinkSettings(self.shape.link_mbit_s, self.shape.link_mbit_s),
            membership=self.shape.membership,
            limits=self.shape.limits,
            routing=self.shape.routing,
            security=SecuritySettings(teams=str(self._teams)),
        )


def make_team_key(team: str) -> str:
    """Return the bearer key of a team of the site."""
    return f"{team}-key"


def _make_teams_text(teams: tuple[str, ...]) -> str:
    lines = ["[teams]"]
    for team in teams:
        lines.append(f"{team} = {hashlib.sha256(make_team_key(team).encode()).hexdigest()}")
    return "\n".join(lines) + "\n"


def _bind_progress(on_progress, name: str):
    if on_progress is None:
        return None
    return lambda held, count: on_progress(name, held, count)


def _count_routable(entry: EntryProcess) -> int:
    return sum(
        1 for m in entry.view.members() if m.role == "agent" and m.serving not in ("-", None)
    )
