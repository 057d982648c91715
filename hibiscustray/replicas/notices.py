"""What replicas say of themselves in their responses, for all ways of sending to them."""

from __future__ import annotations

import logging
import random
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from hibiscustray.clock import read_clock
from hibiscustray.replicas.notice import ReplicaNotice
from hibiscustray.replicas.pacing import Pace
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

MAX_REPLICAS = 4096
"""Replicas whose statements are kept; the one that responded least recently is forgotten first."""
MIN_LOG_INTERVAL_S = 1.0
"""Time between two lines on the limits, or on the pushbacks, of one replica."""
MAX_REPORTED_PUSHBACK_S = 86400.0
"""Longest time of a pushback in the log and in the metrics, which cannot be infinite."""


@dataclass(frozen=True)
class _State:
    """The last statement of a replica; times are of `read_clock`.

    `phase` is the start of this entry's periods, and `sent_at` the time of its last request. The
    replica wants no requests from this entry until `pushback_until`.
    """

    phase: float = 0.0
    sent_at: float = float("-inf")
    limit_per_s: float | None = None
    named_at: float = float("-inf")
    logged_at: float = float("-inf")
    has_malformed: bool = False
    pushback_until: float = float("-inf")
    pushback_logged_at: float = float("-inf")
    has_malformed_pushback: bool = False
    is_draining: bool = False


class ReplicaNotices:
    """The last statements of each start of a replica, and when a request may be sent; thread-safe.

    Until an entry has a response with a limit, it sends without one. A pushback concerns this entry
    alone, and lasts until its time is over: other responses neither shorten nor end it. A replica
    that has said that it is draining does not take requests again before its next start.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Callable[[], float] = read_clock,
        draw_phase: Callable[[], float] = random.random,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._draw_phase = draw_phase
        self._entries = 1
        self._states: OrderedDict[str, _State] = OrderedDict()
        self._lock = threading.Lock()

    def share_among(self, entries: int) -> None:
        """Set the number of entries that share each limit."""
        with self._lock:
            self._entries = entries

    def find_wait(self, boot: str) -> float:
        """Return the seconds until a limit lets a request be sent to a replica, 0 for now."""
        with self._lock:
            return self._find_wait(boot, self._clock())

    def find_pushback(self, boot: str) -> float:
        """Return the seconds for which a replica wants no more requests, 0 if it takes them."""
        with self._lock:
            state = self._states.get(boot)
            return max(0.0, state.pushback_until - self._clock()) if state is not None else 0.0

    def is_draining(self, boot: str) -> bool:
        """Return whether a replica has said that it is draining."""
        with self._lock:
            state = self._states.get(boot)
            return state is not None and state.is_draining

    def take(self, boot: str) -> bool:
        """Count a request that is about to be sent; return False if it must not be sent now."""
        with self._lock:
            now = self._clock()
            if self._find_wait(boot, now) > 0:
                return False
            state = self._states.get(boot)
            if state is not None:
                self._states[boot] = replace(state, sent_at=now)
            return True

    def is_limited(self, boot: str) -> bool:
        """Return whether a replica has named a limit that has not ended."""
        with self._lock:
            state = self._states.get(boot)
            return state is not None and state.limit_per_s is not None

    def record(
        self, boot: str, notice: ReplicaNotice, sent_at: float, request_id: str = ""
    ) -> None:
        """Record the statements in the response to a request that was sent at `sent_at`.

        A limit ends with a response that names none, if its request was sent after the limit had
        been named, since responses can overtake each other. For the same reason, the latest end of
        several pushbacks counts. A value that cannot be read changes nothing.
        """
        with self._lock:
            previous = self._states.get(boot)
            if previous is None and notice == ReplicaNotice():
                return
            now = self._clock()
            state = self._apply_limit(boot, previous or _State(), notice, sent_at, now)
            state = self._apply_pushback(boot, state, notice, request_id, now)
            if notice.is_draining and not state.is_draining:
                state = replace(state, is_draining=True)
                self._metrics.count("replica_drains_total")
                log.info("replica draining", extra={"replica": boot, "request": request_id})
            self._states[boot] = state
            self._states.move_to_end(boot)
            if len(self._states) > MAX_REPLICAS:
                self._states.popitem(last=False)

    def _apply_limit(
        self, boot: str, previous: _State, notice: ReplicaNotice, sent_at: float, now: float
    ) -> _State:
        if notice.malformed:
            if not previous.has_malformed:
                _log_malformed("replica limit unreadable", boot, notice.malformed)
            return replace(previous, has_malformed=True)
        if notice.limit_per_s is not None:
            state = replace(previous, limit_per_s=notice.limit_per_s, named_at=now)
            if previous.limit_per_s is None:
                state = replace(state, phase=self._draw_phase(), sent_at=now)
        elif sent_at > previous.named_at:
            state = replace(previous, limit_per_s=None)
        else:
            return previous
        if state.limit_per_s != previous.limit_per_s:
            return self._log_change(boot, state, previous, now)
        return state

    def _apply_pushback(
        self, boot: str, previous: _State, notice: ReplicaNotice, request_id: str, now: float
    ) -> _State:
        if notice.malformed_pushback:
            if not previous.has_malformed_pushback:
                _log_malformed("replica pushback unreadable", boot, notice.malformed_pushback)
            return replace(previous, has_malformed_pushback=True)
        until = now + (notice.pushback_s or 0.0)
        if until <= max(now, previous.pushback_until):
            return previous
        state = replace(previous, pushback_until=until)
        self._metrics.count("replica_pushbacks_total")
        added_s = until - max(now, previous.pushback_until)
        self._metrics.count(
            "replica_pushback_seconds_total", amount=min(added_s, MAX_REPORTED_PUSHBACK_S)
        )
        if now - previous.pushback_logged_at < MIN_LOG_INTERVAL_S:
            return state
        left_s = min(until - now, MAX_REPORTED_PUSHBACK_S)
        log.info(
            "replica pushback",
            extra={"replica": boot, "request": request_id, "pushback_s": round(left_s, 3)},
        )
        return replace(state, pushback_logged_at=now)

    def _find_wait(self, boot: str, now: float) -> float:
        state = self._states.get(boot)
        if state is None or state.limit_per_s is None:
            return 0.0
        return Pace(state.limit_per_s, self._entries, state.phase).find_wait(now, state.sent_at)

    def _log_change(self, boot: str, state: _State, previous: _State, now: float) -> _State:
        limit = state.limit_per_s
        self._metrics.count("replica_limits_total", {"change": "ended" if limit is None else "set"})
        is_kind_changed = (limit is None) != (previous.limit_per_s is None)
        if not is_kind_changed and now - previous.logged_at < MIN_LOG_INTERVAL_S:
            return state
        log.info(
            "replica limit ended" if limit is None else "replica limit named",
            extra={"replica": boot, "limit_per_s": limit},
        )
        return replace(state, logged_at=now)


def _log_malformed(message: str, boot: str, value: str) -> None:
    log.warning(message, extra={"replica": boot, "value": value[:40]})
