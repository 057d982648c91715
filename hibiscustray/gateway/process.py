"""The gateway entry process: starts, drains and stops its servers and threads."""

from __future__ import annotations

import logging
import time

from hibiscustray.catalog import Catalog, CatalogHolder
from hibiscustray.clock import read_clock
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.feeds import CallLimits, FeedFollower, find_call_limits, limit_pause
from hibiscustray.gateway.attempts import VersionLimits
from hibiscustray.gateway.drain import DrainWindow
from hibiscustray.gateway.forwarder import RequestForwarder
from hibiscustray.quarantine import ReportPublisher
from hibiscustray.replicas import PresenceVerifier, ReplicaDirectory
from hibiscustray.routing import RetryBudgets
from hibiscustray.settings import HostedBounds, HostedSettings
from hibiscustray.web import HttpServer

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
BALANCER_LAG_S = 2.6
"""Time until the load balancer stops connecting: two failed readiness checks, 1 s apart."""
KEEP_ALIVE_DRAIN_S = 0.4
"""Time after `BALANCER_LAG_S` in which callers may still reuse idle connections, and requests are
taken whatever their deadline."""
RETRY_BUDGET_SHARE = 0.75
"""Share of the platform's bound on retries that is used, as entries do not count them together."""
RETRY_SLACK_ENTRIES = 12
"""Number of entries among which the retry slack is divided."""
IDLE_MARGIN_S = 5.0
"""Time for which the server keeps an idle connection beyond the idle timeout for callers."""


class GatewayProcess:
    """Owns the servers, feed followers and watchdog of a gateway entry."""

    def __init__(
        self,
        caller_server: HttpServer,
        readiness: HttpServer,
        metrics: HttpServer,
        followers: tuple[FeedFollower, ...],
        publisher: ReportPublisher,
        catalogs: CatalogHolder,
        directory: ReplicaDirectory,
        verifier: PresenceVerifier,
        forwarder: RequestForwarder,
        budgets: RetryBudgets,
        watchdog: Watchdog,
    ) -> None:
        self._caller_server = caller_server
        self._readiness = readiness
        self._metrics = metrics
        self._followers = followers
        self._publisher = publisher
        self._catalogs = catalogs
        self._directory = directory
        self._verifier = verifier
        self._forwarder = forwarder
        self._budgets = budgets
        self._watchdog = watchdog
        self._is_draining = False
        self._is_stopped = False
        catalogs.add_listener(self._apply_limits)

    def is_ready(self) -> bool:
        """Return whether the entry accepts new connections; load has no influence on readiness."""
        has_catalog = self._catalogs.current is not None
        is_initialized = has_catalog and self._directory.is_loaded
        return is_initialized and self._publisher.is_quarantine_usable and not self._is_draining

    def start(self) -> None:
        """Start the watchdog, the followers and the servers."""
        self._watchdog.start()
        self._verifier.start()
        for follower in self._followers:
            follower.start()
        self._publisher.start()
        for server in (self._readiness, self._metrics, self._caller_server):
            server.start()
        log.info("entry started", extra={"callers": self._caller_server.url})

    def drain(self, grace_s: float) -> bool:
        """Report not ready, serve until the load balancer has noticed, then wait for open requests.

        Those that still run shortly before the end of the grace period are ended, and their callers
        get error responses. Returns whether there were none.
        """
        begun_at = read_clock()
        window = DrainWindow.begin(begun_at, grace_s, BALANCER_LAG_S + KEEP_ALIVE_DRAIN_S)
        self._is_draining = True
        self._forwarder.drain(window)
        self._caller_server.disable_keep_alive()
        log.info("entry draining", extra={"running": self._forwarder.running})
        _sleep_until(min(begun_at + BALANCER_LAG_S, window.ends_at))
        self._caller_server.close_listener()
        _sleep_until(min(begun_at + BALANCER_LAG_S + KEEP_ALIVE_DRAIN_S, window.ends_at))
        self._caller_server.close_idle_connections()
        if self._caller_server.wait_until_closed(window.ends_at - read_clock()):
            return True
        running = self._forwarder.running
        if running:
            log.info("entry ends requests", extra={"running": running})
        self._caller_server.wait_until_closed(window.response_deadline - read_clock())
        return not running

    def reload(self, settings: HostedSettings) -> None:
        """Apply changed bounds; addresses do not change while the process runs."""
        self._forwarder.set_limits(VersionLimits(settings.bounds.version_ms / MS_PER_S))
        self._budgets.set_limits(*find_retry_limits(settings.bounds))
        for follower in self._followers:
            follower.set_limits(find_entry_call_limits(settings))

    def stop(self) -> None:
        """Stop all servers and threads; a second call does nothing."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._caller_server.stop()
        for follower in self._followers:
            follower.stop()
        self._verifier.stop()
        self._forwarder.stop()
        self._publisher.stop()
        self._readiness.stop()
        self._metrics.stop()
        self._watchdog.stop()
        log.info("entry stopped", extra={"running": self._forwarder.running})

    def _apply_limits(self, catalog: Catalog) -> None:
        limits = catalog.limits
        self._caller_server.set_limits(
            limits.idle_timeout_s + IDLE_MARGIN_S, limits.header_timeout_s, limits.body_b
        )


def find_entry_call_limits(settings: HostedSettings) -> CallLimits:
    """Return the limits with which an entry knows all changes within its contact time.

    It knows of replicas that leave within their drain time.
    """
    limits = find_call_limits(settings.bounds.contact_ms / MS_PER_S, settings.store.wait_s)
    return limit_pause(limits, settings.bounds.drain_ms / MS_PER_S)


def find_retry_limits(bounds: HostedBounds) -> tuple[float, float]:
    """Return the share and the capacity of an entry's retry budgets."""
    share, slack = bounds.retry_share, bounds.retry_slack
    return share * RETRY_BUDGET_SHARE, slack * RETRY_BUDGET_SHARE / RETRY_SLACK_ENTRIES


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - read_clock()))
