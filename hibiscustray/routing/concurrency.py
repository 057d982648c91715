"""A concurrency limit per replica that adapts to measured latency (AIMD)."""

from __future__ import annotations

INITIAL_LIMIT = 4.0
MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
DECREASE_FACTOR = 0.9

COOLDOWN_S = 0.5
"""Minimum time between two decreases of the limit."""

MIN_UTILIZATION = 0.7
"""Share of the limit that must be in use for the limit to rise."""

MAX_QUEUE_SHARE = 0.25
"""Length of an upstream's queue, as a share of the limit, above which the limit falls."""

BASELINE_DRIFT = 0.002
"""Share by which the baseline rises with each sample."""

MIN_SLOW_S = 0.1
"""Latency up to which nothing counts as slow."""

FIRST_PAYLOAD_TOLERANCE = 2.5
TIME_PER_TOKEN_TOLERANCE = 1.6
"""Multiples of the baseline above which a first payload or a response counts as slow."""


class Baseline:
    """The lowest latency seen, which drifts upwards so that it adapts to a lasting change."""

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._lowest: float | None = None

    def record_latency(self, latency: float) -> bool:
        """Record a latency; return whether it exceeds the baseline times the tolerance."""
        if self._lowest is None or latency < self._lowest:
            self._lowest = latency
        self._lowest *= 1.0 + BASELINE_DRIFT
        return latency > self._lowest * self._tolerance


class ConcurrencyLimit:
    """An AIMD limit: rises by one per `limit` fast responses while in use, falls on slow ones.

    For an upstream that reports its queue, the queue length lowers the limit instead of the
    latency; a short queue is allowed because it keeps the upstream's batch full. For other
    upstreams the latency of the first payload shows queueing earliest; without it, the time per
    token is used.
    """

    def __init__(self, initial: float = INITIAL_LIMIT) -> None:
        self._limit = initial
        self._first_payload = Baseline(FIRST_PAYLOAD_TOLERANCE)
        self._time_per_token = Baseline(TIME_PER_TOKEN_TOLERANCE)
        self._decreased_at = -COOLDOWN_S
        self._reports_queue = False
        self._waiting = 0

    @property
    def value(self) -> int:
        """Return how many requests may be outstanding."""
        return round(self._limit)

    def record_response(
        self,
        response_s: float,
        expected_tokens: int,
        first_payload_s: float | None,
        outstanding: int,
        now: float,
    ) -> None:
        """Adjust the limit to a complete response; `outstanding` counts requests at its end."""
        is_slow = (
            self._time_per_token.record_latency(response_s / expected_tokens)
            and response_s > MIN_SLOW_S
        )
        if first_payload_s is not None:
            is_slow = (
                self._first_payload.record_latency(first_payload_s) and first_payload_s > MIN_SLOW_S
            )
        if is_slow and not self._reports_queue:
            self.decrease(now)
        elif self._waiting == 0 and outstanding >= MIN_UTILIZATION * self._limit:
            self._limit = min(MAX_LIMIT, self._limit + 1.0 / self._limit)

    def record_queue_length(self, waiting: int, now: float) -> None:
        """Adjust the limit to the number of requests that the upstream reports as queued."""
        self._waiting = waiting
        if waiting > 0:
            self._reports_queue = True
        if waiting > max(1.0, MAX_QUEUE_SHARE * self._limit):
            self.decrease(now)

    def decrease(self, now: float) -> None:
        """Lower the limit, at most once per cooldown, also when a replica rejects for overload."""
        if now - self._decreased_at < COOLDOWN_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
