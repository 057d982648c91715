"""What replicas say of themselves in their responses, for all ways of sending to them."""

from __future__ import annotations

import logging
import random
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from hibiscustray.clock import read_clock
from hibiscustray.replicas.pacing import Pace
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

MAX_REPLICAS = 4096
"""Replicas whose statements are kept; the one that responded least recently is forgotten first."""
MIN_LOG_INTERVAL_S = 1.0
"""Time between two lines on the limits of one replica."""


@dataclass(frozen=True)
class ReplicaNotice:
    """The statements in one response.

    `limit_per_s` is the number of requests per second that the replica takes from all entries
    together, None if it names no limit. `malformed` is the text of a limit that cannot be read.
    """

    limit_per_s: float | None = None
    malformed: str = ""


@dataclass(frozen=True)
class _State:
    """The last statement of a replica; times are of `read_clock`.

    `phase` is the start of this entry's periods, and `sent_at` the time of its last request.
    """

    phase: float = 0.0
    sent_at: float = float("-inf")
    limit_per_s: float | None = None
    named_at: float = float("-inf")
    logged_at: float = float("-inf")
    has_malformed: bool = False


class ReplicaNotices:
    """The last statements of each start of a replica, and when a request may be sent; thread-safe.

    Until an entry has a response with a limit, it sends without one.
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
        """Return the seconds until a request may be sent to a replica, 0 for now."""
        with self._lock:
            return self._find_wait(boot, self._clock())

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

    def record(self, boot: str, notice: ReplicaNotice, sent_at: float) -> None:
        """Record the statements in the response to a request that was sent at `sent_at`.

        A limit ends with a response that names none, if its request was sent after the limit had
        been named, since responses can overtake each other. One that cannot be read changes
        nothing.
        """
        with self._lock:
            state = self._states.get(boot)
            if state is None and notice == ReplicaNotice():
                return
            now = self._clock()
            previous = state or _State()
            if notice.malformed:
                state = replace(previous, has_malformed=True)
                if not previous.has_malformed:
                    log.warning(
                        "replica limit unreadable",
                        extra={"replica": boot, "value": notice.malformed[:40]},
                    )
            elif notice.limit_per_s is not None:
                state = replace(previous, limit_per_s=notice.limit_per_s, named_at=now)
                if previous.limit_per_s is None:
                    state = replace(state, phase=self._draw_phase(), sent_at=now)
            elif sent_at > previous.named_at:
                state = replace(previous, limit_per_s=None)
            else:
                return
            if state.limit_per_s != previous.limit_per_s:
                state = self._log_change(boot, state, previous, now)
            self._states[boot] = state
            self._states.move_to_end(boot)
            if len(self._states) > MAX_REPLICAS:
                self._states.popitem(last=False)

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
