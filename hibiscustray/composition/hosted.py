"""Wiring of the programs that a platform hosts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.agent import ChunkServer
from hibiscustray.agent.hosted import HostedAgentProcess
from hibiscustray.agent.roster import AgentRoster
from hibiscustray.agent.stager import OriginManifests, WeightsStager
from hibiscustray.catalog import CatalogHolder, VersionBook
from hibiscustray.composition.parts import MIB, MS_PER_S, LateRouter, make_incarnation
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.feeds import (
    FeedFollower,
    OperatorListener,
    RelayedFollower,
    RelayedRule,
    RelayingFollower,
    RelayRule,
    ReplicaListener,
)
from hibiscustray.gateway import Attempts, Endings, GatewayProcess, Relay, RelayLimits
from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord, PeerPool, PeerServer
from hibiscustray.peers.codec import (
    CHUNK,
    HOLDINGS,
    MANIFEST,
)
from hibiscustray.placement import Placer
from hibiscustray.platform import (
    FrontApplication,
    OperatorFeed,
    PlatformEngine,
    PlatformOrigin,
    PlatformReplicaCaller,
    PlatformStore,
    ReadinessApplication,
    RelayedOperatorFeed,
    ReplicaFeed,
)
from hibiscustray.replicas import ReplicaDirectory
from hibiscustray.rollout import OrderGate
from hibiscustray.routing import RetryBudgets
from hibiscustray.settings import HostedSettings
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer
from hibiscustray.weights import (
    ChunkCache,
    LinkRateLimiter,
    SwarmRegistry,
    TransferEnvironment,
    TransferTuning,
)

HOSTED_SMALL_THREADS = 2
HOSTED_PEER_THREADS = 12
HOSTED_WATCH_TICK_S = 0.05
"""Interval at which left callers and passed deadlines are noticed."""
RETRY_MARGIN = 0.75
"""Part of the platform's bound on retries that is used, since entries do not count together."""
RETRY_ENTRIES = 12
"""Entries among which the slack of retries is divided."""
LINK_MARGIN = 0.9
"""Part of a VM's link that weights may take upwards."""
ENTRY_RELAY = RelayRule(large_b=48 * 1024, near_mbit_s=16.0, check_s=1.8)
"""A configuration of 1,900 routes takes 0.36 s of a link of 11.5 Mbit/s between regions for each
entry, of some hundred 30 ms. The checks leave a second of the bound of three."""
AGENT_RELAY = RelayedRule(check_s=6.0, least_delay_s=4.0, most_delay_s=10.0)
"""The named versions are checked within the bound of eight seconds; the delays spread the reads of
a region's agents over a link that the entries need first."""
HOSTED_PACE = TransferTuning(
    first_timeout_s=1.5,
    min_timeout_s=1.0,
    stall_pause_s=1.0,
    watch_interval_s=0.4,
    fallback_step_s=1.0,
    corrupt_pause_s=0.3,
    workers=8,
    requests_per_peer=2,
    max_origin_fetches=3,
    max_imports=4,
)
"""Times of transfers that must end within the platform's bound of eight seconds."""


@dataclass(frozen=True)
class _Followed:
    """What hosted processes follow on the platform's store."""

    catalogs: CatalogHolder
    versions: VersionBook
    directory: ReplicaDirectory
    followers: tuple[FeedFollower, ...]


def build_hosted_entry(settings: HostedSettings, metrics: Metrics) -> GatewayProcess:
    """Wire an entry that a platform hosts."""
    assert settings.entry is not None
    followed = _follow(settings, metrics, _build_relaying)
    zone = settings.process.availability_zone
    placer = Placer(followed.directory, zone, settings.regions, settings.process.id)
    bounds = settings.bounds
    budgets = RetryBudgets(
        bounds.retry_share * RETRY_MARGIN, bounds.retry_slack * RETRY_MARGIN / RETRY_ENTRIES
    )
    watchdog = Watchdog(HOSTED_WATCH_TICK_S)
    endings = Endings(metrics)
    attempts = Attempts(
        followed.versions,
        placer,
        PlatformReplicaCaller(),
        budgets,
        watchdog,
        endings,
        metrics,
        RelayLimits(bounds.version_ms / MS_PER_S),
    )
    relay = Relay(followed.catalogs, attempts, endings, budgets)
    readiness = LateRouter()
    entry = settings.entry
    process = GatewayProcess(
        _build_hosted_http(entry.callers, FrontApplication(relay), entry.threads),
        _build_hosted_http(entry.readiness, readiness, HOSTED_SMALL_THREADS),
        _build_hosted_metrics(settings, metrics),
        followed.followers,
        followed.catalogs,
        followed.directory,
        relay,
        watchdog,
    )
    readiness.target = ReadinessApplication(process.is_ready, metrics.render_text)
    return process


def build_hosted_agent(settings: HostedSettings, metrics: Metrics) -> HostedAgentProcess:
    """Wire an agent that a platform hosts beside an upstream."""
    assert settings.upstream is not None
    process, service = settings.process, settings.upstream.service
    stager_slot: list[WeightsStager] = []
    followed = _follow(
        settings,
        metrics,
        _build_relayed,
        lambda: [stager.cancel_outdated_transfer() for stager in stager_slot],
    )
    cache = ChunkCache(settings.links.cache_mib * MIB)
    swarms = SwarmRegistry()
    uplink = LinkRateLimiter(settings.links.mbit_s * LINK_MARGIN)
    chunks = ChunkServer(cache, swarms, uplink, OrderGate(), metrics)
    handlers = {
        MANIFEST.name: chunks.serve_manifest,
        HOLDINGS.name: chunks.serve_holdings,
        CHUNK.name: chunks.serve_chunk,
    }
    peer_server = PeerServer(process.address, process.peer_port, handlers, HOSTED_PEER_THREADS)
    own = MemberRecord(
        id=process.address,
        role="agent",
        region=process.region,
        availability_zone=process.availability_zone,
        peer_address=f"{process.address}:{process.peer_port}",
        http_url="",
        incarnation=make_incarnation(),
        service=service,
    )
    view = MemberView(own)
    AgentRoster(view, followed.directory, service, process.peer_port, settings.regions)
    peers = PeerPool()
    origin = PlatformOrigin(lambda: _find_origin_address(followed.catalogs))
    environment = TransferEnvironment(
        view=view,
        peers=peers,
        objects=None,
        origin=origin,
        cache=cache,
        swarms=swarms,
        metrics=metrics,
        # Without a region of the origin all regions draw from it in turn, which fills more links.
        origin_region="",
        manifests=OriginManifests(origin.read_manifest),
        tuning=HOSTED_PACE,
    )
    stager = WeightsStager(
        service,
        followed.catalogs,
        followed.versions,
        PlatformEngine(settings.upstream.address),
        environment,
        metrics,
    )
    stager_slot.append(stager)
    return HostedAgentProcess(
        _build_hosted_metrics(settings, metrics), peer_server, peers, followed.followers, stager
    )


def _follow(
    settings: HostedSettings,
    metrics: Metrics,
    build_operator: Callable[..., FeedFollower],
    on_version: Callable[[], object] = lambda: None,
) -> _Followed:
    catalogs, versions, directory = CatalogHolder(), VersionBook(), ReplicaDirectory()
    store = PlatformStore(settings.store.address)
    wait_s, pause_s = settings.store.wait_s, settings.store.list_pause_s
    operator = build_operator(
        store, OperatorListener(catalogs, versions, on_version), wait_s, metrics
    )
    replicas = FeedFollower(
        ReplicaFeed(store), ReplicaListener(directory), wait_s, metrics, pause_s
    )
    return _Followed(catalogs, versions, directory, (operator, replicas))


def _build_relaying(
    store: PlatformStore, listener: OperatorListener, wait_s: float, metrics: Metrics
) -> FeedFollower:
    source = OperatorFeed(store)
    relayed = RelayedOperatorFeed(store)
    return RelayingFollower(source, listener, wait_s, metrics, source, relayed, ENTRY_RELAY)


def _build_relayed(
    store: PlatformStore, listener: OperatorListener, wait_s: float, metrics: Metrics
) -> FeedFollower:
    return RelayedFollower(RelayedOperatorFeed(store), listener, wait_s, metrics, AGENT_RELAY)


def _find_origin_address(catalogs: CatalogHolder) -> str | None:
    origin = catalogs.current.find_origin() if catalogs.current is not None else None
    return origin.address if origin is not None else None


def _build_hosted_http(address: str, app, threads: int) -> HttpServer:
    host, _, port = address.rpartition(":")
    return HttpServer(app, host, int(port), threads)


def _build_hosted_metrics(settings: HostedSettings, metrics: Metrics) -> HttpServer:
    process = settings.process
    app = ReadinessApplication(lambda: True, metrics.render_text)
    return HttpServer(app, process.address, process.metrics_port, HOSTED_SMALL_THREADS)
