"""One entry: its servers and threads, started and stopped in order."""

from __future__ import annotations

import logging

from hibiscustray.entry.application import EntryApplication
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.peers import PeerPool, PeerServer
from hibiscustray.peers.messages import LEAVING, LEFT
from hibiscustray.reports import Sampler
from hibiscustray.web import HttpServer

log = logging.getLogger(__name__)


class EntryProcess:
    """Owns everything that runs in an entry."""

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
    ) -> None:
        self.application = application
        self.http = http
        self.view = view
        self._peer_server = peer_server
        self._exchange = exchange
        self._peers = peers
        self._watchdog = watchdog
        self._sampler = sampler

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return self.http.url

    def start(self) -> None:
        """Begin to serve."""
        self._watchdog.start()
        self._peer_server.start()
        self._exchange.start()
        self.http.start()
        self._sampler.start()
        log.info("entry started", extra={"url": self.url})

    def drain(self, timeout_s: float) -> bool:
        """Turn health, then wait until no request runs; tell whether that was reached."""
        self.application.leave()
        self.view.update_own(status=LEAVING)
        self._exchange.announce()
        return self.application.wait_until_idle(timeout_s)

    def stop(self) -> None:
        """End all servers and threads."""
        self.view.update_own(status=LEFT)
        self.http.stop()
        self._sampler.stop()
        self._exchange.stop()
        self._peer_server.stop()
        self._watchdog.stop()
        self._peers.close()
        log.info("entry stopped")
