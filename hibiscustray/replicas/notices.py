"""What replicas say of themselves in their responses, for all ways of sending to them."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from hibiscustray.clock import read_clock
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
    """The last statement of a replica; times are of `read_clock`."""

    limit_per_s: float | None = None
    named_at: float = float("-inf")
    logged_at: float = float("-inf")
    has_malformed: bool = False


class ReplicaNotices:
    """The last statements of each start of a replica; thread-safe."""

    def __init__(self, metrics: Metrics, clock: Callable[[], float] = read_clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._states: OrderedDict[str, _State] = OrderedDict()
        self._lock = threading.Lock()

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
