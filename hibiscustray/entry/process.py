"""The entry process: starts and stops its servers and threads in order."""

from __future__ import annotations

import logging
import time

from hibiscustray.entry.application import EntryApplication
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.peers import PeerPool, PeerServer
from hibiscustray.peers.messages import LEAVING, LEFT
from hibiscustray.reports import Sampler
from hibiscustray.web import HttpServer

log = logging.getLogger(__name__)


class EntryProcess:
    """Owns the servers and threads of an entry."""

    def __init__(
        self,
        application: EntryApplication,
        http: HttpServer,
        peer_server: PeerServer,
        exchange: Exchange,
        view: MemberView,
        peers: PeerPool,
        watchdog: Watchdog,
        sampler: Sampler,
        balancer_lag_s: float,
    ) -> None:
        self.application = application
        self.http = http
        self.view = view
        self._peer_server = peer_server
        self._exchange = exchange
        self._peers = peers
        self._watchdog = watchdog
        self._sampler = sampler
        self._balancer_lag_s = balancer_lag_s
        self._is_stopped = False

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self.http.url

    def start(self) -> None:
        """Start all servers and threads."""
        self._watchdog.start()
        self._peer_server.start()
        self._exchange.start()
        self.http.start()
        self._sampler.start()
        log.info("entry started", extra={"url": self.url})

    def drain(self, timeout_s: float) -> bool:
        """Drain before a planned stop; return whether all requests ended within the timeout.

        The health check fails first, and requests are still accepted until the load balancer has
        noticed; then the listener is closed.
        """
        deadline = time.monotonic() + timeout_s
        self.application.start_draining()
        self.view.update_own(status=LEAVING)
        self._exchange.trigger_heartbeat()
        time.sleep(min(self._balancer_lag_s, timeout_s))
        self.http.close_listener()
        return self.application.wait_until_idle(max(0.0, deadline - time.monotonic()))

    def stop(self) -> None:
        """Stop all servers and threads; a second call does nothing."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self.http.stop()
        self.view.update_own(status=LEFT)
        self._sampler.stop()
        self._exchange.stop()
        self._peer_server.stop()
        self._watchdog.stop()
        self._peers.close()
        log.info("entry stopped")
