"""Builds the processes that run on the users' platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from hibiscustray.agent import ChunkServer
from hibiscustray.agent.hosted import HostedAgentProcess, find_agent_call_limits
from hibiscustray.agent.roster import AgentRoster
from hibiscustray.agent.stager import OriginManifests, WeightsStager
from hibiscustray.catalog import CatalogHolder, TargetVersions
from hibiscustray.clock import read_clock
from hibiscustray.composition.parts import MIB, MS_PER_S, DeferredApplication, make_incarnation
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.feeds import (
    LIKELY,
    CallLimits,
    EntryListener,
    FeedFollower,
    OperatorListener,
    RelayReader,
    RelayReaderTuning,
    RelayWriter,
    RelayWriterTuning,
    ReplicaListener,
)
from hibiscustray.gateway import (
    AttemptController,
    GatewayProcess,
    RequestForwarder,
    RequestReporter,
    VersionLimits,
    find_entry_call_limits,
    find_retry_limits,
)
from hibiscustray.membership import MemberView
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.peers import MemberRecord, PeerPool, PeerServer
from hibiscustray.peers.codec import (
    CHUNK,
    HOLDINGS,
    MANIFEST,
    PASS_CHUNK,
)
from hibiscustray.placement import Placer
from hibiscustray.platform import (
    READY_PATH,
    EntryFeed,
    GatewayApplication,
    OperatorFeed,
    PlatformEngine,
    PlatformOrigin,
    PlatformReplicaClient,
    PlatformStore,
    RelayedOperatorFeed,
    ReplicaFeed,
)
from hibiscustray.quarantine import PartQuarantine, ReportPublisher
from hibiscustray.replicas import (
    HealthReport,
    PresenceVerifier,
    ReplicaDirectory,
    ReplicaNotices,
    ReplicaRecord,
)
from hibiscustray.rollout import OrderGate
from hibiscustray.routing import RetryBudgets
from hibiscustray.settings import HostedSettings
from hibiscustray.telemetry import Metrics, PauseDetector
from hibiscustray.web import BodyBudget, HttpServer
from hibiscustray.web.status import StatusApplication
from hibiscustray.weights import (
    ChunkCache,
    ChunkRelay,
    LinkRateLimiter,
    SwarmRegistry,
    TransferEnvironment,
    TransferTuning,
)

HOSTED_STATUS_THREADS = 2
"""Threads of each server for readiness or metrics."""
HOSTED_PEER_THREADS = 12
HOSTED_WATCHDOG_INTERVAL_S = 0.05
"""Interval between checks for disconnected callers and passed deadlines."""
REPORT_PAUSE_S = 0.3
"""Pause between reads of the entries' reports, so that one read carries those of one event."""
UPLINK_SHARE = 0.85
"""Share of a VM's upload rate that transfers of weights may use."""
ENTRY_RELAY_TUNING = RelayWriterTuning(large_b=48 * 1024, near_mbit_s=16.0, check_interval_s=1.8)
"""A configuration of 1,900 routes occupies an 11.5 Mbit/s link between regions for 0.36 s for each
entry, one of about a hundred routes for 30 ms. Checks every 1.8 s leave one second of the bound of
three seconds for a configuration to become active."""
BYTES_PER_MB = 1e6
BODY_MEMORY_SHARE = 0.3
"""Share of an entry's memory for the bodies of requests, each of which is held twice for a moment
while it is handed over."""
HEALTH_CHECK_TIMEOUT_S = 1.0
"""Timeout of a health check, which waits for a slot like a request."""
DEFAULT_HEALTH_PATH = "/health"
"""Path of health checks at replicas of a service whose configuration names none."""
MIN_CHECK_INTERVAL_S = 6.0
"""Shortest interval at which an agent asks the operator's table itself."""
AGENT_READ_DELAYS_S = (4.0, 10.0)
"""Shortest and longest delay of an agent's read of a configuration, which spread the reads of a
region over time, because the entries need the shared link first."""
AGENT_READ_INTERVAL_S = 120.0
"""Time after which an agent reads the configuration although none was announced."""
ANNOUNCERS = 3
"""Entries that announce a small configuration. If all of them are away, agents read it late, which
they bear: they need of it the origin and their service's models."""
HOSTED_TRANSFER_TUNING = TransferTuning(
    initial_timeout_s=1.5,
    min_timeout_s=1.0,
    stall_pause_s=1.0,
    holdings_poll_interval_s=0.4,
    fallback_step_s=0.6,
    corrupt_pause_s=0.3,
    workers=5,
    requests_per_peer=2,
    max_origin_fetches=1,
    max_imports=4,
    pull_delay_s=4.0,
    idle_s=0.5,
)
"""Timeouts and parallelism of transfers, which must finish within the platform's bound of eight
seconds."""


@dataclass(frozen=True)
class _FeedState:
    """State that is updated from the platform's store, and the followers that update it."""

    catalogs: CatalogHolder
    versions: TargetVersions
    directory: ReplicaDirectory
    followers: tuple[FeedFollower, ...]


def build_hosted_entry(settings: HostedSettings, metrics: Metrics) -> GatewayProcess:
    """Build an entry that runs on the platform."""
    assert settings.entry is not None
    limits = find_entry_call_limits(settings)
    zone = settings.process.availability_zone
    notices = ReplicaNotices(metrics)
    # The id stays the same across restarts, so the number of rows stays bounded.
    entry_id = settings.process.id
    roster = EntryRoster(entry_id, notices.share_among)
    feed_state = _build_feed_state(
        settings,
        limits,
        metrics,
        partial(_build_relay_writer, is_announcer=partial(_is_announcer, roster)),
        has_verifier=True,
    )
    client = PlatformReplicaClient()
    check = partial(_check_health, feed_state.catalogs, client)
    verifier = PresenceVerifier(feed_state.directory, notices, check, metrics)
    placer = Placer(feed_state.directory, notices, zone, settings.regions, settings.process.id)
    bounds = settings.bounds
    budgets = RetryBudgets(*find_retry_limits(bounds))
    pauses = PauseDetector(metrics, HOSTED_WATCHDOG_INTERVAL_S)
    watchdog = Watchdog(HOSTED_WATCHDOG_INTERVAL_S, pauses.check, read_clock)
    reporter = RequestReporter(metrics)
    quarantine = PartQuarantine(entry_id, metrics)
    reports = EntryFeed(PlatformStore(settings.store.address, limits.call_s))
    entries = FeedFollower(
        reports,
        EntryListener(quarantine, roster, entry_id),
        limits.wait_s,
        metrics,
        REPORT_PAUSE_S,
        LIKELY,
    )
    attempts = AttemptController(
        feed_state.versions,
        placer,
        quarantine,
        notices,
        client,
        budgets,
        watchdog,
        reporter,
        metrics,
        VersionLimits(bounds.version_ms / MS_PER_S),
        settings.entry.threads,
    )
    forwarder = RequestForwarder(feed_state.catalogs, attempts, reporter, budgets)
    readiness = DeferredApplication()
    entry = settings.entry
    process = GatewayProcess(
        _build_hosted_http(
            entry.callers,
            GatewayApplication(forwarder),
            entry.threads,
            BodyBudget(entry.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE),
        ),
        _build_hosted_http(entry.readiness, readiness, HOSTED_STATUS_THREADS),
        _build_hosted_metrics(settings, metrics),
        (*feed_state.followers, entries),
        ReportPublisher(entry_id, quarantine, roster, reports),
        feed_state.catalogs,
        feed_state.directory,
        verifier,
        forwarder,
        budgets,
        watchdog,
    )
    readiness.target = StatusApplication(READY_PATH, process.is_ready, metrics.render_text)
    return process


def build_hosted_agent(settings: HostedSettings, metrics: Metrics) -> HostedAgentProcess:
    """Build an agent that runs on the platform, on the VM of its upstream."""
    assert settings.upstream is not None
    process, service = settings.process, settings.upstream.service
    # Filled below: the stager is built after the feeds that notify it of new target versions.
    stager_holder: list[WeightsStager] = []
    feed_state = _build_feed_state(
        settings,
        find_agent_call_limits(settings),
        metrics,
        partial(_build_relay_reader, version_bound_s=settings.bounds.version_ms / MS_PER_S),
        lambda: [stager.cancel_outdated_transfer() for stager in stager_holder],
    )
    cache = ChunkCache(settings.links.cache_mib * MIB)
    swarms = SwarmRegistry()
    uplink = LinkRateLimiter(settings.links.mbit_s * UPLINK_SHARE)
    peers = PeerPool()
    relay = ChunkRelay(peers, cache, swarms, uplink, metrics)
    chunks = ChunkServer(cache, swarms, uplink, OrderGate(), metrics, relay)
    handlers = {
        MANIFEST.name: chunks.serve_manifest,
        HOLDINGS.name: chunks.serve_holdings,
        CHUNK.name: chunks.serve_chunk,
        PASS_CHUNK.name: chunks.accept_chunk,
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
    AgentRoster(view, feed_state.directory, service, process.peer_port, settings.regions)
    origin = PlatformOrigin(lambda: _find_origin_address(feed_state.catalogs))
    environment = TransferEnvironment(
        view=view,
        peers=peers,
        objects=None,
        origin=origin,
        cache=cache,
        swarms=swarms,
        metrics=metrics,
        # Without an origin region, all regions fetch from the origin in turn and use more links.
        origin_region="",
        manifests=OriginManifests(origin.read_manifest),
        tuning=HOSTED_TRANSFER_TUNING,
        relay=relay,
    )
    stager = WeightsStager(
        service,
        feed_state.catalogs,
        feed_state.versions,
        PlatformEngine(settings.upstream.address),
        environment,
        metrics,
        settings.bounds.version_ms / MS_PER_S,
    )
    stager_holder.append(stager)
    return HostedAgentProcess(
        _build_hosted_metrics(settings, metrics),
        peer_server,
        peers,
        relay,
        feed_state.followers,
        stager,
    )


def _build_feed_state(
    settings: HostedSettings,
    limits: CallLimits,
    metrics: Metrics,
    build_operator: Callable[..., FeedFollower],
    on_version: Callable[[], object] = lambda: None,
    has_verifier: bool = False,
) -> _FeedState:
    catalogs, versions = CatalogHolder(), TargetVersions()
    directory = ReplicaDirectory(has_verifier)
    store = PlatformStore(settings.store.address, limits.call_s)
    operator = build_operator(
        store, OperatorListener(catalogs, versions, on_version), limits.wait_s, metrics
    )
    replicas = FeedFollower(
        ReplicaFeed(store),
        ReplicaListener(directory, _list_entry_addresses(settings)),
        limits.wait_s,
        metrics,
        settings.store.list_pause_s,
        LIKELY,
    )
    replicas.set_limits(limits)
    return _FeedState(catalogs, versions, directory, (operator, replicas))


def _check_health(
    catalogs: CatalogHolder, client: PlatformReplicaClient, replica: ReplicaRecord
) -> HealthReport:
    services = catalogs.current.services if catalogs.current is not None else {}
    service = services.get(replica.service)
    path = service.health_path if service is not None else ""
    return client.check(replica, path or DEFAULT_HEALTH_PATH, HEALTH_CHECK_TIMEOUT_S)


def _list_entry_addresses(settings: HostedSettings) -> frozenset[str]:
    """Return the addresses of an entry's servers; an agent sends nothing to those of replicas."""
    entry, process = settings.entry, settings.process
    if entry is None:
        return frozenset()
    ports = [address.rpartition(":")[2] for address in (entry.callers, entry.readiness)]
    on_host = {f"{process.address}:{port}" for port in (*ports, process.metrics_port)}
    return frozenset(on_host | {entry.callers, entry.readiness})


def _is_announcer(roster: EntryRoster, key: str) -> bool:
    return roster.is_among_first(key, ANNOUNCERS)


def _build_relay_writer(
    store: PlatformStore,
    listener: OperatorListener,
    wait_s: float,
    metrics: Metrics,
    is_announcer: Callable[[str], bool],
) -> FeedFollower:
    source = OperatorFeed(store)
    relayed = RelayedOperatorFeed(store)
    return RelayWriter(
        source, listener, wait_s, metrics, source, relayed, ENTRY_RELAY_TUNING, is_announcer
    )


def _build_relay_reader(
    store: PlatformStore,
    listener: OperatorListener,
    wait_s: float,
    metrics: Metrics,
    version_bound_s: float,
) -> FeedFollower:
    # The table itself is asked for versions within their bound, in case no entry announces them.
    check_interval_s = max(version_bound_s, MIN_CHECK_INTERVAL_S)
    tuning = RelayReaderTuning(check_interval_s, *AGENT_READ_DELAYS_S, AGENT_READ_INTERVAL_S)
    return RelayReader(RelayedOperatorFeed(store), listener, wait_s, metrics, tuning)


def _find_origin_address(catalogs: CatalogHolder) -> str | None:
    origin = catalogs.current.find_origin() if catalogs.current is not None else None
    return origin.address if origin is not None else None


def _build_hosted_http(
    address: str, app, threads: int, bodies: BodyBudget | None = None
) -> HttpServer:
    host, _, port = address.rpartition(":")
    return HttpServer(app, host, int(port), threads, bodies=bodies)


def _build_hosted_metrics(settings: HostedSettings, metrics: Metrics) -> HttpServer:
    process = settings.process
    app = StatusApplication(READY_PATH, lambda: True, metrics.render_text)
    return HttpServer(app, process.address, process.metrics_port, HOSTED_STATUS_THREADS)
