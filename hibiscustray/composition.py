"""The composition root: wires the parts of each process from its settings."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

from hibiscustray.agent import AgentProcess, AttemptServer, ChunkServer, Deployer
from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.agent.state import ServingState
from hibiscustray.deployments import Configuration, RevisionStore
from hibiscustray.entry import Dispatcher, EntryApplication, EntryProcess
from hibiscustray.entry.teams import load_teams
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.peers import MemberRecord, PeerPool, PeerServer, RevisionReply
from hibiscustray.peers.codec import ATTEMPT, CHUNK, EXCHANGE, HOLDINGS, MANIFEST, REVISION
from hibiscustray.platform import EngineClient, MachineList, ObjectStore, Origin, Table
from hibiscustray.requests import Ledger
from hibiscustray.rollout import Activation, FencingCounter, LeaseStore
from hibiscustray.routing import Admission, ReplicaChooser, make_policy
from hibiscustray.settings import Settings
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer, Response, Router
from hibiscustray.weights import ChunkCache, LinkBudget, TransferEnvironment

AGENT_HTTP_THREADS = 4
ENTRY_PEER_THREADS = 4
AGENT_PEER_EXTRA_THREADS = 24
MIB = 1024 * 1024
MS_PER_S = 1000


@dataclass(frozen=True)
class Core:
    """The parts that entry and agent have in common."""

    metrics: Metrics
    table: Table
    configuration: Configuration
    peers: PeerPool


def build_entry(settings: Settings) -> EntryProcess:
    """Wire an entry."""
    core = _build_core(settings)
    exchange_slot = _ExchangeSlot(core.configuration)
    peer_server = PeerServer(
        settings.process.address,
        settings.process.peer_port,
        exchange_slot.handlers(),
        ENTRY_PEER_THREADS,
    )
    router = _LateRouter()
    http = HttpServer(
        router, settings.process.address, settings.process.http_port, settings.limits.threads
    )
    view = MemberView(_make_record(settings, "entry", peer_server, http))
    exchange = _build_exchange(settings, core, view)
    exchange_slot.exchange = exchange
    policy = make_policy(settings.routing)
    chooser = ReplicaChooser(view, core.configuration, policy, settings.process.id)
    admission = Admission(policy, chooser, settings.limits.threads)
    watchdog = Watchdog()
    dispatcher = Dispatcher(
        core.configuration, chooser, admission, core.peers, watchdog, core.metrics
    )
    application = EntryApplication(
        core.configuration,
        dispatcher,
        load_teams(settings.security.teams),
        settings.limits,
        core.metrics,
    )
    router.target = application.router
    return EntryProcess(application, http, peer_server, exchange, view, core.peers, watchdog)


def build_agent(settings: Settings) -> AgentProcess:
    """Wire an agent."""
    assert settings.upstream is not None
    core = _build_core(settings)
    cache = ChunkCache(settings.links.cache_mib * MIB)
    chunks = ChunkServer(cache, LinkBudget(settings.links.up_mbit_s), core.metrics)
    state = ServingState()
    engine = EngineClient(settings.upstream.url)
    load = UpstreamLoad(engine)
    attempts = AttemptServer(
        state, engine, Ledger(), settings.upstream.concurrency, load, core.metrics
    )
    exchange_slot = _ExchangeSlot(core.configuration)
    handlers = exchange_slot.handlers() | {
        MANIFEST.name: chunks.serve_manifest,
        HOLDINGS.name: chunks.serve_holdings,
        CHUNK.name: chunks.serve_chunk,
        ATTEMPT.name: attempts.serve,
    }
    peer_server = PeerServer(
        settings.process.address,
        settings.process.peer_port,
        handlers,
        settings.upstream.concurrency + AGENT_PEER_EXTRA_THREADS,
    )
    router = _build_agent_router(core, chunks, state)
    http = HttpServer(
        router, settings.process.address, settings.process.http_port, AGENT_HTTP_THREADS
    )
    view = MemberView(_make_record(settings, "agent", peer_server, http))
    exchange = _build_exchange(settings, core, view)
    exchange_slot.exchange = exchange
    stopping = threading.Event()
    activation = Activation(
        engine,
        LeaseStore(core.table, settings.process.id),
        FencingCounter(view.own.incarnation),
        settings.process.id,
        lambda digest: f"{http.url}/weights/{digest}",
        stopping,
    )
    environment = TransferEnvironment(
        view=view,
        peers=core.peers,
        objects=ObjectStore(settings.platform.object_url, settings.platform.timeout_s),
        origin=Origin(settings.platform.origin_url),
        cache=cache,
        metrics=core.metrics,
    )
    deployer = Deployer(
        settings.upstream.service,
        core.configuration,
        view,
        exchange,
        state,
        environment,
        activation,
        cache,
        core.metrics,
        stopping,
    )
    return AgentProcess(
        http, peer_server, exchange, view, core.peers, deployer, state, load, core.metrics
    )


class _ExchangeSlot:
    """Stands between the peer server and the exchange, which needs the server's port."""

    def __init__(self, configuration: Configuration) -> None:
        self.exchange: Exchange | None = None
        self._configuration = configuration

    def handlers(self):
        return {EXCHANGE.name: self._serve_exchange, REVISION.name: self._serve_revision}

    def _serve_exchange(self, message, context):
        assert self.exchange is not None
        return self.exchange.serve(message)

    def _serve_revision(self, message, context) -> RevisionReply:
        held = self._configuration.number > 0
        return RevisionReply(self._configuration.revision if held else None)


class _LateRouter:
    """A WSGI application that is set after its server has a port."""

    def __init__(self) -> None:
        self.target: Router | None = None

    def __call__(self, environ, start_response):
        assert self.target is not None
        return self.target(environ, start_response)


def _build_core(settings: Settings) -> Core:
    return Core(
        metrics=Metrics(settings.process.id),
        table=Table(settings.platform.table_url, settings.platform.timeout_s),
        configuration=Configuration(),
        peers=PeerPool(),
    )


def _build_exchange(settings: Settings, core: Core, view: MemberView) -> Exchange:
    return Exchange(
        view,
        core.configuration,
        RevisionStore(core.table),
        MachineList(settings.platform.machines_url, settings.platform.timeout_s),
        core.peers,
        settings.membership,
        core.metrics,
    )


def _make_record(
    settings: Settings, role: str, peer_server: PeerServer, http: HttpServer
) -> MemberRecord:
    return MemberRecord(
        id=settings.process.id,
        role=role,
        region=settings.process.region,
        availability_zone=settings.process.availability_zone,
        peer_address=peer_server.address,
        http_url=http.url,
        incarnation=int(time.time() * MS_PER_S),
        service=settings.upstream.service if settings.upstream else "",
        serving="-",
    )


def _build_agent_router(core: Core, chunks: ChunkServer, state: ServingState) -> Router:
    def serve_metrics(request) -> Response:
        body, content_type = core.metrics.render_text()
        return Response(200, body, content_type)

    def serve_health(request) -> Response:
        is_ready = state.digest is not None and not state.is_leaving
        return Response.json({"ready": is_ready}, 200 if is_ready else 503)

    router = Router(lambda error: Response.json({"title": type(error).__name__}, 500))
    router.add("GET", "/health", serve_health)
    router.add("GET", "/metrics", serve_metrics)
    chunks.add_routes(router)
    return router
