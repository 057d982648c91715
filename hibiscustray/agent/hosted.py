"""The process of a hosted agent, which starts and stops its servers and threads in order."""

from __future__ import annotations

import logging

from hibiscustray.agent.stager import WeightsStager
from hibiscustray.feeds import CallLimits, FeedFollower, find_call_limits
from hibiscustray.peers import PeerPool, PeerServer
from hibiscustray.settings import HostedSettings
from hibiscustray.web import HttpServer
from hibiscustray.weights import ChunkRelay

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
STOP_GRACE_S = 1.0
NOTICE_SHARE = 0.6
"""Share of the version bound within which a new version is known; a transfer takes the rest."""


class HostedAgentProcess:
    """Owns the servers and threads of a hosted agent."""

    def __init__(
        self,
        http: HttpServer,
        peer_server: PeerServer,
        peers: PeerPool,
        relay: ChunkRelay,
        followers: tuple[FeedFollower, ...],
        stager: WeightsStager,
    ) -> None:
        self._http = http
        self._peer_server = peer_server
        self._peers = peers
        self._relay = relay
        self._followers = followers
        self._stager = stager

    def start(self) -> None:
        """Start all servers and threads."""
        self._peer_server.start()
        self._http.start()
        for follower in self._followers:
            follower.start()
        self._stager.start()
        log.info("agent started", extra={"peer_address": self._peer_server.address})

    def drain(self, grace_s: float) -> bool:
        """Do nothing, since no caller requests pass through a hosted agent."""
        return True

    def reload(self, settings: HostedSettings) -> None:
        """Apply changed bounds; addresses do not change while the process runs."""
        self._stager.set_version_bound(settings.bounds.version_ms / MS_PER_S)
        for follower in self._followers:
            follower.set_limits(find_agent_call_limits(settings))

    def stop(self) -> None:
        """Stop all servers and threads."""
        self._stager.stop()
        self._relay.stop()
        for follower in self._followers:
            follower.stop()
        self._peer_server.stop(STOP_GRACE_S)
        self._http.stop()
        self._peers.close()
        log.info("agent stopped")


def find_agent_call_limits(settings: HostedSettings) -> CallLimits:
    """Return the limits with which an agent knows new versions early enough to load them in time.

    Agents pass no requests on, and there are many of them, so the contact time does not bind them.
    """
    bounds = settings.bounds
    notice_s = max(bounds.contact_ms, NOTICE_SHARE * bounds.version_ms) / MS_PER_S
    return find_call_limits(notice_s, settings.store.wait_s)
