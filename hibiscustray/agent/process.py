"""The process of an agent, which starts and stops its servers and threads in order."""

from __future__ import annotations

import logging
from collections.abc import Callable

from hibiscustray.agent.deployer import Deployer
from hibiscustray.agent.keyed import KeyedRequests
from hibiscustray.agent.load import UpstreamLoad
from hibiscustray.agent.state import ServingState
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.peers import PeerPool, PeerServer
from hibiscustray.peers.messages import LEAVING, LEFT
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer

log = logging.getLogger(__name__)

STOP_GRACE_S = 5.0


class AgentProcess:
    """Owns the servers and threads of an agent."""

    def __init__(
        self,
        http: HttpServer,
        peer_server: PeerServer,
        exchange: Exchange,
        view: MemberView,
        peers: PeerPool,
        deployer: Deployer,
        state: ServingState,
        metrics: Metrics,
        keyed: KeyedRequests,
        load: UpstreamLoad,
    ) -> None:
        self.http = http
        self.view = view
        self.state = state
        self.metrics = metrics
        self._peer_server = peer_server
        self._exchange = exchange
        self._peers = peers
        self._deployer = deployer
        self._keyed = keyed
        self._load = load
        self._is_stopped = False

    @property
    def url(self) -> str:
        """Return the base URL of the health and metrics endpoints."""
        return self.http.url

    def start(self, on_progress: Callable[[int, int], None] | None = None) -> None:
        """Start all servers and threads."""
        self._keyed.start()
        self._peer_server.start()
        self.http.start()
        self._exchange.start()
        self._deployer.start(on_progress)
        self._load.start()
        log.info("agent started", extra={"peer_address": self._peer_server.address})

    def drain(self, timeout_s: float) -> bool:
        """Announce the planned stop, refuse new attempts and wait for running ones.

        Returns False if some still run after `timeout_s`.
        """
        self.state.leave()
        self.view.update_own(status=LEAVING)
        self._exchange.trigger_heartbeat()
        return self.state.wait_until_idle(timeout_s)

    def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stop all servers and threads; further calls do nothing.

        A grace time of zero simulates a VM failure: running calls are cancelled, outcomes are not
        written and the other members are not notified.
        """
        if self._is_stopped:
            return
        self._is_stopped = True
        self._load.stop()
        self._deployer.stop()
        self._peer_server.stop(grace_s)
        self._keyed.stop(grace_s)
        if grace_s:
            self.view.update_own(status=LEFT)
        self._exchange.stop()
        self.http.stop()
        self._peers.close()
        log.info("agent stopped")
