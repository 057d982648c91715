"""Builds the processes of a deployment that operators run themselves."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.agent import AgentProcess, AttemptServer, ChunkServer, Deployer
from hibiscustray.agent.keyed import KeyedRequests
from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.agent.outcomes import OutcomeWriter
from hibiscustray.agent.state import ServingState
from hibiscustray.composition.parts import KIB, MIB, DeferredApplication, make_incarnation
from hibiscustray.deployments import (
    Configuration,
    Justification,
    Revision,
    RevisionStore,
    load_operator_keys,
)
from hibiscustray.entry import (
    AttemptRunner,
    Dispatcher,
    EntryApplication,
    EntryProcess,
    TicketClient,
)
from hibiscustray.entry.application import ProcessIdentity
from hibiscustray.entry.teams import load_teams
from hibiscustray.entry.watchdog import Watchdog
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
from hibiscustray.peers.packing import NEWEST_VERSION
from hibiscustray.protocols import EngineClient, ObjectStore, Origin, Table, VmList
from hibiscustray.reports import Sampler, SampleStore, ServiceLevelRecorder
from hibiscustray.requests import ClaimStore, Ledger, TicketIssuer
from hibiscustray.rollout import (
    Activation,
    FencingCounter,
    LeaseStore,
    OrderGate,
    WaveSlotAllocator,
)
from hibiscustray.routing import AdmissionController, ReplicaChooser, make_policy
from hibiscustray.settings import OperatorSettings, Settings
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer, Response, Router, make_server_context
from hibiscustray.weights import (
    ChunkCache,
    LinkRateLimiter,
    SwarmRegistry,
    TransferEnvironment,
)

AGENT_HTTP_THREADS = 4
AGENT_BODY_KIB = 64
ENTRY_PEER_THREADS = 4
AGENT_PEER_EXTRA_THREADS = 24
"""Threads of an agent's peer server besides one for each concurrent attempt."""
EXCHANGE_CHANNELS = 16
"""Limit of peer connections that the exchange keeps open."""


@dataclass(frozen=True)
class SharedComponents:
    """Components that both an entry and an agent have."""

    metrics: Metrics
    table: Table
    configuration: Configuration
    peers: PeerPool
    credentials: PeerCredentials


def build_operator(settings: OperatorSettings) -> Operator:
    """Build an operator's client."""
    platform = settings.platform
    return Operator(
        settings.operator.name,
        platform.table_url,
        platform.object_url,
        settings.key,
        platform.timeout_s,
        _build_revision_spreader(settings),
    )


def _build_revision_spreader(settings: OperatorSettings) -> Callable[[Revision], object]:
    """Return a function that sends an accepted revision to several processes."""
    vm_list = VmList(settings.platform.machines_url, settings.platform.timeout_s)
    credentials = load_peer_credentials(settings.security)
    return lambda revision: spread_revision(revision, vm_list, PeerPool(credentials.channel))


def build_status_reader(settings: OperatorSettings) -> Callable[[], SiteStatus]:
    """Return a function that reads the status of all processes on the platform's list."""
    operator = build_operator(settings)
    vm_list = VmList(settings.platform.machines_url, settings.platform.timeout_s)
    peers = PeerPool(load_peer_credentials(settings.security).channel)
    return lambda: read_status(operator.read(), vm_list, peers)


def _return_unchanged(part):
    return part


@dataclass(frozen=True)
class LinkWrappers:
    """Functions that replace an agent's links by wrapped ones, to simulate delays and bandwidth."""

    peers: Callable[[PeerPool], PeerPool] = _return_unchanged
    origin: Callable[[Origin], Origin] = _return_unchanged


NO_WRAPPERS = LinkWrappers()


def build_entry(settings: Settings) -> EntryProcess:
    """Build an entry."""
    shared = _build_shared_components(settings)
    deferred_exchange = _DeferredExchange()
    peer_server = PeerServer(
        settings.process.address,
        settings.process.peer_port,
        deferred_exchange.make_handlers(),
        ENTRY_PEER_THREADS,
        shared.credentials.server,
    )
    router = DeferredApplication()
    http = _build_http(settings, router, settings.limits.threads, settings.limits.body_kib * KIB)
    view = MemberView(_make_record(settings, "entry", peer_server, http, make_incarnation()))
    exchange = _build_exchange(settings, shared, view)
    deferred_exchange.exchange = exchange
    policy = make_policy(settings.routing)
    chooser = ReplicaChooser(view, shared.configuration, policy, settings.process.id)
    admission = AdmissionController(policy, chooser, settings.limits.threads)
    watchdog = Watchdog()
    attempt_runner = AttemptRunner(chooser, shared.peers, watchdog)
    dispatcher = Dispatcher(chooser, admission, view, attempt_runner, shared.metrics)
    application = EntryApplication(
        shared.configuration,
        dispatcher,
        load_teams(settings.security.teams),
        settings.limits,
        shared.metrics,
        ServiceLevelRecorder(shared.configuration, shared.metrics),
        ProcessIdentity(view.own.id, view.own.incarnation),
        TicketClient(chooser, shared.peers),
    )
    sampler = Sampler(SampleStore(shared.table), shared.metrics, view.own.id, view.own.incarnation)
    router.target = application.router
    return EntryProcess(
        application,
        http,
        peer_server,
        exchange,
        view,
        shared.peers,
        watchdog,
        sampler,
        settings.limits.balancer_lag_s,
    )


def build_agent(settings: Settings, wrappers: LinkWrappers = NO_WRAPPERS) -> AgentProcess:
    """Build an agent."""
    assert settings.upstream is not None
    shared = _build_shared_components(settings, wrappers)
    cache = ChunkCache(settings.links.cache_mib * MIB)
    state = ServingState(shared.configuration.is_justified)
    swarms = SwarmRegistry()
    uplink = LinkRateLimiter(settings.links.up_mbit_s, lambda: state.running > 0)
    gate = OrderGate()
    chunks = ChunkServer(cache, swarms, uplink, gate, shared.metrics)
    engine = EngineClient(settings.upstream.url)
    incarnation = make_incarnation()
    keyed = _build_keyed_requests(settings, shared, incarnation)
    load = UpstreamLoad(engine, lambda: state.running > 0)
    attempts = AttemptServer(
        state,
        engine,
        keyed,
        incarnation,
        settings.upstream.concurrency,
        shared.metrics,
        settings.upstream.busy_means_not_run,
        load,
    )
    deferred_exchange = _DeferredExchange()
    handlers = deferred_exchange.make_handlers() | {
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
        shared.credentials.server,
    )
    router = _build_agent_router(shared, chunks, state)
    http = _build_http(settings, router, AGENT_HTTP_THREADS, AGENT_BODY_KIB * KIB)
    view = MemberView(_make_record(settings, "agent", peer_server, http, incarnation))
    exchange = _build_exchange(settings, shared, view)
    deferred_exchange.exchange = exchange
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
        peers=shared.peers,
        objects=ObjectStore(settings.platform.object_url, settings.platform.timeout_s),
        origin=wrappers.origin(Origin(settings.platform.origin_url)),
        cache=cache,
        swarms=swarms,
        metrics=shared.metrics,
        origin_region=settings.platform.origin_region,
    )
    deployer = Deployer(
        settings.upstream.service,
        shared.configuration,
        view,
        exchange,
        state,
        environment,
        activation,
        WaveSlotAllocator(LeaseStore(shared.table, settings.process.id), stopping),
        shared.metrics,
        stopping,
    )
    return AgentProcess(
        http,
        peer_server,
        exchange,
        view,
        shared.peers,
        deployer,
        state,
        shared.metrics,
        keyed,
        load,
    )


class _DeferredExchange:
    """Forwards peer calls to the exchange, which is built after the server as it needs the port."""

    def __init__(self) -> None:
        self.exchange: Exchange | None = None

    def make_handlers(self):
        methods = (EXCHANGE, REVISION, SYNC, PROBE, PUSH, STATUS)
        return {method.name: self._make_handler(method.name) for method in methods}

    def _make_handler(self, name: str):
        def serve(message, context):
            assert self.exchange is not None
            return self.exchange.handlers[name](message, context)

        return serve


def _build_http(settings: Settings, app, threads: int, max_body_b: int) -> HttpServer:
    security = settings.security
    context = make_server_context(security.http_certificate, security.http_key)
    process = settings.process
    return HttpServer(app, process.address, process.http_port, threads, max_body_b, context)


def _build_shared_components(
    settings: Settings, wrappers: LinkWrappers = NO_WRAPPERS
) -> SharedComponents:
    credentials = load_peer_credentials(settings.security)
    return SharedComponents(
        metrics=Metrics(settings.process.id),
        table=Table(settings.platform.table_url, settings.platform.timeout_s),
        configuration=_build_configuration(settings),
        peers=wrappers.peers(PeerPool(credentials.channel)),
        credentials=credentials,
    )


def _build_exchange(settings: Settings, shared: SharedComponents, view: MemberView) -> Exchange:
    return Exchange(
        view,
        shared.configuration,
        RevisionStore(shared.table),
        VmList(settings.platform.machines_url, settings.platform.timeout_s),
        PeerPool(shared.credentials.channel, EXCHANGE_CHANNELS),
        settings.membership,
        shared.metrics,
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
        codec=NEWEST_VERSION,
    )


def _build_keyed_requests(
    settings: Settings, shared: SharedComponents, incarnation: int
) -> KeyedRequests:
    claims = ClaimStore(shared.table, settings.process.id, incarnation)
    return KeyedRequests(
        Ledger(),
        TicketIssuer(settings.process.id, incarnation),
        claims,
        OutcomeWriter(claims, shared.metrics),
    )


def _build_agent_router(
    shared: SharedComponents, chunks: ChunkServer, state: ServingState
) -> Router:
    def serve_metrics(request) -> Response:
        body, content_type = shared.metrics.render_text()
        return Response(200, body, content_type)

    def serve_health(request) -> Response:
        is_ready = state.is_ready()
        return Response.json({"ready": is_ready}, 200 if is_ready else 503)

    router = Router(lambda error: Response.json({"title": type(error).__name__}, 500))
    router.add("GET", "/health", serve_health)
    router.add("GET", "/metrics", serve_metrics)
    chunks.add_routes(router)
    return router
