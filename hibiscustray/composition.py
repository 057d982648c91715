"""The composition root: wires the parts of each process from its settings."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.agent import AgentProcess, AttemptServer, ChunkServer, Deployer
from hibiscustray.agent.hosted import HostedAgentProcess
from hibiscustray.agent.keyed import KeyedRequests
from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.agent.outcomes import OutcomeWriter
from hibiscustray.agent.roster import AgentRoster
from hibiscustray.agent.stager import VersionManifests, WeightsStager
from hibiscustray.agent.state import ServingState
from hibiscustray.catalog import CatalogHolder, VersionBook
from hibiscustray.deployments import (
    Configuration,
    Justification,
    Revision,
    RevisionStore,
    load_operator_keys,
)
from hibiscustray.entry import Attempter, Dispatcher, EntryApplication, EntryProcess, TicketOffice
from hibiscustray.entry.application import ProcessIdentity
from hibiscustray.entry.teams import load_teams
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
from hibiscustray.membership import Exchange, MemberView, spread_revision
from hibiscustray.operator import Operator, SiteStatus, read_status
from hibiscustray.peers import MemberRecord, PeerPool, PeerServer
from hibiscustray.peers.codec import (
    ATTEMPT,
    CHUNK,
    EXCHANGE,
    HOLDINGS,
    MANIFEST,
    PROBE,
    PUSH,
    REVISION,
    STATUS,
    SYNC,
    TICKET,
)
from hibiscustray.peers.credentials import PeerCredentials, load_peer_credentials
from hibiscustray.peers.packing import NEWEST
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
from hibiscustray.protocols import EngineClient, MachineList, ObjectStore, Origin, Table
from hibiscustray.replicas import ReplicaDirectory
from hibiscustray.reports import Sampler, SampleStore, ServiceLevelRecorder
from hibiscustray.requests import ClaimStore, Ledger, TicketIssuer
from hibiscustray.rollout import Activation, FencingCounter, LeaseStore, OrderGate, Waves
from hibiscustray.routing import Admission, ReplicaChooser, RetryBudgets, make_policy
from hibiscustray.settings import HostedSettings, OperatorSettings, Settings
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer, Response, Router, make_server_context
from hibiscustray.weights import (
    ChunkCache,
    LinkBudget,
    SwarmRegistry,
    TransferEnvironment,
    TransferPace,
)

AGENT_HTTP_THREADS = 4
AGENT_BODY_KIB = 64
ENTRY_PEER_THREADS = 4
AGENT_PEER_EXTRA_THREADS = 24
EXCHANGE_CHANNELS = 16
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
HOSTED_PACE = TransferPace(
    first_timeout_s=1.5,
    least_timeout_s=1.0,
    stall_pause_s=1.0,
    watch_interval_s=0.4,
    fallback_step_s=1.0,
    corrupt_pause_s=0.3,
    workers=8,
    requests_per_peer=2,
    draws_at_once=3,
    imports_at_once=4,
)
"""Times of transfers that must end within the platform's bound of eight seconds."""
KIB = 1024
MIB = 1024 * KIB
MS_PER_S = 1000


@dataclass(frozen=True)
class Core:
    """The parts that entry and agent have in common."""

    metrics: Metrics
    table: Table
    configuration: Configuration
    peers: PeerPool
    credentials: PeerCredentials


def build_operator(settings: OperatorSettings) -> Operator:
    """Wire an operator's client."""
    platform = settings.platform
    return Operator(
        settings.operator.name,
        platform.table_url,
        platform.object_url,
        settings.key,
        platform.timeout_s,
        _build_spread(settings),
    )


def _build_spread(settings: OperatorSettings) -> Callable[[Revision], object]:
    """Wire the handing over of accepted revisions to several processes."""
    machines = MachineList(settings.platform.machines_url, settings.platform.timeout_s)
    credentials = load_peer_credentials(settings.security)
    return lambda revision: spread_revision(revision, machines, PeerPool(credentials.channel))


def build_status_reader(settings: OperatorSettings) -> Callable[[], SiteStatus]:
    """Wire the reading of a site's status."""
    operator = build_operator(settings)
    machines = MachineList(settings.platform.machines_url, settings.platform.timeout_s)
    peers = PeerPool(load_peer_credentials(settings.security).channel)
    return lambda: read_status(operator.read(), machines, peers)


def _keep(part):
    return part


@dataclass(frozen=True)
class Wrappers:
    """Functions that stand between an agent and its links, for stand-ins that shape them."""

    peers: Callable[[PeerPool], PeerPool] = _keep
    origin: Callable[[Origin], Origin] = _keep


UNSHAPED = Wrappers()


def build_entry(settings: Settings) -> EntryProcess:
    """Wire an entry."""
    core = _build_core(settings)
    exchange_slot = _ExchangeSlot()
    peer_server = PeerServer(
        settings.process.address,
        settings.process.peer_port,
        exchange_slot.handlers(),
        ENTRY_PEER_THREADS,
        core.credentials.server,
    )
    router = _LateRouter()
    http = _build_http(settings, router, settings.limits.threads, settings.limits.body_kib * KIB)
    view = MemberView(_make_record(settings, "entry", peer_server, http, _make_incarnation()))
    exchange = _build_exchange(settings, core, view)
    exchange_slot.exchange = exchange
    policy = make_policy(settings.routing)
    chooser = ReplicaChooser(view, core.configuration, policy, settings.process.id)
    admission = Admission(policy, chooser, settings.limits.threads)
    watchdog = Watchdog()
    attempter = Attempter(chooser, core.peers, watchdog)
    dispatcher = Dispatcher(chooser, admission, view, attempter, core.metrics)
    application = EntryApplication(
        core.configuration,
        dispatcher,
        load_teams(settings.security.teams),
        settings.limits,
        core.metrics,
        ServiceLevelRecorder(core.configuration, core.metrics),
        ProcessIdentity(view.own.id, view.own.incarnation),
        TicketOffice(chooser, core.peers),
    )
    sampler = Sampler(SampleStore(core.table), core.metrics, view.own.id, view.own.incarnation)
    router.target = application.router
    return EntryProcess(
        application,
        http,
        peer_server,
        exchange,
        view,
        core.peers,
        watchdog,
        sampler,
        settings.limits.balancer_lag_s,
    )


def build_agent(settings: Settings, wrappers: Wrappers = UNSHAPED) -> AgentProcess:
    """Wire an agent."""
    assert settings.upstream is not None
    core = _build_core(settings, wrappers)
    cache = ChunkCache(settings.links.cache_mib * MIB)
    state = ServingState(core.configuration.is_justified)
    swarms = SwarmRegistry()
    uplink = LinkBudget(settings.links.up_mbit_s, lambda: state.running > 0)
    gate = OrderGate()
    chunks = ChunkServer(cache, swarms, uplink, gate, core.metrics)
    engine = EngineClient(settings.upstream.url)
    incarnation = _make_incarnation()
    keyed = _build_keyed(settings, core, incarnation)
    load = UpstreamLoad(engine, lambda: state.running > 0)
    attempts = AttemptServer(
        state,
        engine,
        keyed,
        incarnation,
        settings.upstream.concurrency,
        core.metrics,
        settings.upstream.busy_means_not_run,
        load,
    )
    exchange_slot = _ExchangeSlot()
    handlers = exchange_slot.handlers() | {
        MANIFEST.name: chunks.serve_manifest,
        HOLDINGS.name: chunks.serve_holdings,
        CHUNK.name: chunks.serve_chunk,
        ATTEMPT.name: attempts.serve,
        TICKET.name: attempts.serve_ticket,
    }
    peer_server = PeerServer(
        settings.process.address,
        settings.process.peer_port,
        handlers,
        settings.upstream.concurrency + AGENT_PEER_EXTRA_THREADS,
        core.credentials.server,
    )
    router = _build_agent_router(core, chunks, state)
    http = _build_http(settings, router, AGENT_HTTP_THREADS, AGENT_BODY_KIB * KIB)
    view = MemberView(_make_record(settings, "agent", peer_server, http, incarnation))
    exchange = _build_exchange(settings, core, view)
    exchange_slot.exchange = exchange
    stopping = threading.Event()
    activation = Activation(
        engine,
        FencingCounter(view.own.incarnation, lambda: view.own.incarnation),
        gate,
        settings.process.id,
        lambda number: f"{http.url}/weights/{number}",
    )
    environment = TransferEnvironment(
        view=view,
        peers=core.peers,
        objects=ObjectStore(settings.platform.object_url, settings.platform.timeout_s),
        origin=wrappers.origin(Origin(settings.platform.origin_url)),
        cache=cache,
        swarms=swarms,
        metrics=core.metrics,
        origin_region=settings.platform.origin_region,
    )
    deployer = Deployer(
        settings.upstream.service,
        core.configuration,
        view,
        exchange,
        state,
        environment,
        activation,
        Waves(LeaseStore(core.table, settings.process.id), stopping),
        core.metrics,
        stopping,
    )
    return AgentProcess(
        http, peer_server, exchange, view, core.peers, deployer, state, core.metrics, keyed, load
    )


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
    readiness = _LateRouter()
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
        lambda: [stager.note_version() for stager in stager_slot],
    )
    cache = ChunkCache(settings.links.cache_mib * MIB)
    swarms = SwarmRegistry()
    uplink = LinkBudget(settings.links.mbit_s * LINK_MARGIN)
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
        incarnation=_make_incarnation(),
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
        manifests=VersionManifests(origin.read_manifest),
        pace=HOSTED_PACE,
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


class _ExchangeSlot:
    """Stands between the peer server and the exchange, which needs the server's port."""

    def __init__(self) -> None:
        self.exchange: Exchange | None = None

    def handlers(self):
        methods = (EXCHANGE, REVISION, SYNC, PROBE, PUSH, STATUS)
        return {method.name: self._bind(method.name) for method in methods}

    def _bind(self, name: str):
        def serve(message, context):
            assert self.exchange is not None
            return self.exchange.handlers[name](message, context)

        return serve


class _LateRouter:
    """A WSGI application that is set after its server has a port."""

    def __init__(self) -> None:
        self.target: Router | None = None

    def __call__(self, environ, start_response):
        assert self.target is not None
        return self.target(environ, start_response)


def _build_http(settings: Settings, app, threads: int, max_body_b: int) -> HttpServer:
    security = settings.security
    context = make_server_context(security.http_certificate, security.http_key)
    process = settings.process
    return HttpServer(app, process.address, process.http_port, threads, max_body_b, context)


def _build_core(settings: Settings, wrappers: Wrappers = UNSHAPED) -> Core:
    credentials = load_peer_credentials(settings.security)
    return Core(
        metrics=Metrics(settings.process.id),
        table=Table(settings.platform.table_url, settings.platform.timeout_s),
        configuration=_build_configuration(settings),
        peers=wrappers.peers(PeerPool(credentials.channel)),
        credentials=credentials,
    )


def _build_exchange(settings: Settings, core: Core, view: MemberView) -> Exchange:
    return Exchange(
        view,
        core.configuration,
        RevisionStore(core.table),
        MachineList(settings.platform.machines_url, settings.platform.timeout_s),
        PeerPool(core.credentials.channel, EXCHANGE_CHANNELS),
        settings.membership,
        core.metrics,
    )


def _build_configuration(settings: Settings) -> Configuration:
    membership = settings.membership
    return Configuration(
        load_operator_keys(settings.security.operators),
        Justification(membership.isolation_grace_s, membership.suspect_after_s),
    )


def _make_record(
    settings: Settings, role: str, peer_server: PeerServer, http: HttpServer, incarnation: int
) -> MemberRecord:
    return MemberRecord(
        id=settings.process.id,
        role=role,
        region=settings.process.region,
        availability_zone=settings.process.availability_zone,
        peer_address=peer_server.address,
        http_url=http.url,
        incarnation=incarnation,
        service=settings.upstream.service if settings.upstream else "",
        serving="-",
        codec=NEWEST,
    )


def _make_incarnation() -> int:
    return int(time.time() * MS_PER_S)


def _build_keyed(settings: Settings, core: Core, incarnation: int) -> KeyedRequests:
    claims = ClaimStore(core.table, settings.process.id, incarnation)
    return KeyedRequests(
        Ledger(),
        TicketIssuer(settings.process.id, incarnation),
        claims,
        OutcomeWriter(claims, core.metrics),
    )


def _build_agent_router(core: Core, chunks: ChunkServer, state: ServingState) -> Router:
    def serve_metrics(request) -> Response:
        body, content_type = core.metrics.render_text()
        return Response(200, body, content_type)

    def serve_health(request) -> Response:
        is_ready = state.is_ready()
        return Response.json({"ready": is_ready}, 200 if is_ready else 503)

    router = Router(lambda error: Response.json({"title": type(error).__name__}, 500))
    router.add("GET", "/health", serve_health)
    router.add("GET", "/metrics", serve_metrics)
    chunks.add_routes(router)
    return router
