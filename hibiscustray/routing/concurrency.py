"""A concurrency limit per replica that adapts to measured latency (AIMD)."""

from __future__ import annotations

INITIAL_LIMIT = 4.0
MIN_LIMIT = 2.0
MAX_LIMIT = 256.0
DECREASE_FACTOR = 0.9
COOLDOWN_S = 0.5
MIN_UTILIZATION = 0.7
MAX_QUEUE_SHARE = 0.25
BASELINE_DRIFT = 0.002
MIN_SLOW_S = 0.1
FIRST_PAYLOAD_TOLERANCE = 2.5
TIME_PER_TOKEN_TOLERANCE = 1.6


class Baseline:
    """The lowest latency seen of one kind, drifting up so that a lasting change is learnt."""

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._lowest: float | None = None

    def record_latency(self, latency: float) -> bool:
        """Take in a latency; tell whether it is over the baseline by more than tolerated."""
        if self._lowest is None or latency < self._lowest:
            self._lowest = latency
        self._lowest *= 1.0 + BASELINE_DRIFT
        return latency > self._lowest * self._tolerance


class ConcurrencyLimit:
    """Rises by one per limit's worth of answers in time while full, falls when they slow down.

    An upstream that reports its queue is judged by that: a short one keeps its batch full. Of the
    others the first payload tells soonest that they queue, and whole answers where it is absent.
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
        """Return the number of requests that may be outstanding."""
        return round(self._limit)

    def record_response(
        self,
        response_s: float,
        expected_tokens: int,
        first_payload_s: float | None,
        outstanding: int,
        now: float,
    ) -> None:
        """Take in a whole answer: its times, its tokens and the requests outstanding then."""
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
        """Take in how many requests the upstream reports as queued."""
        self._waiting = waiting
        if waiting > 0:
            self._reports_queue = True
        if waiting > max(1.0, MAX_QUEUE_SHARE * self._limit):
            self.decrease(now)

    def decrease(self, now: float) -> None:
        """Cut the limit, at most once per cooldown, as when a replica refuses for load."""
        if now - self._decreased_at < COOLDOWN_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
