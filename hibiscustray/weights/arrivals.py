"""Record of where the chunks of one version came from, and when."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

PROGRESS_SHARES = (0.0, 0.25, 0.5, 0.75, 0.9, 1.0)


class ChunkSource(StrEnum):
    """How a chunk reached this agent."""

    ORIGIN = "origin"
    PASSED_ON = "passed_on"
    REQUESTED = "requested"
    IMPORTED = "imported"


@dataclass(frozen=True)
class ArrivalSummary:
    """Chunks by source, and the seconds from the start to the shares in `PROGRESS_SHARES`.

    `requests_s` sums up, by source, the seconds that the requests for chunks took; `sent` counts
    the chunks passed on, which took `sent_s` after they had been queued for `queued_s`.
    """

    sources: dict[str, int]
    progress_s: tuple[float, ...]
    sent: int
    sent_s: float
    queued_s: float
    requests_s: dict[str, float]
    failures: dict[str, int]


class ArrivalLog:
    """Records the arrivals of the chunks of one version since its transfer began."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._last_at = self._passed_at = self._started_at
        self._times: list[float] = []
        self._sources: Counter[str] = Counter()
        self._requests_s: Counter[str] = Counter()
        self._failures: Counter[str] = Counter()
        self._sent = 0
        self._sent_s = 0.0
        self._queued_s = 0.0
        self._lock = threading.Lock()

    @property
    def idle_s(self) -> float:
        """Return the seconds since the last new chunk, or since the start."""
        return time.monotonic() - self._last_at

    @property
    def unprompted_idle_s(self) -> float:
        """Return the seconds since the last new chunk that was not imported, or since the start."""
        return time.monotonic() - self._passed_at

    def record(self, source: ChunkSource, took_s: float = 0.0) -> None:
        """Record a chunk that is new here, and how long the request for it took in seconds."""
        with self._lock:
            self._last_at = time.monotonic()
            if source is not ChunkSource.IMPORTED:
                self._passed_at = self._last_at
            self._times.append(self._last_at - self._started_at)
            self._sources[source] += 1
            self._requests_s[source] += took_s

    def record_sent(self, queued_s: float, took_s: float) -> None:
        """Record a chunk that was passed on."""
        with self._lock:
            self._sent += 1
            self._queued_s += queued_s
            self._sent_s += took_s

    def record_failure(self, kind: str) -> None:
        """Record a request that brought no chunk."""
        with self._lock:
            self._failures[kind] += 1

    def summarize(self) -> ArrivalSummary:
        """Return the counts and times so far."""
        with self._lock:
            last = len(self._times) - 1
            progress = [self._times[round(s * last)] for s in PROGRESS_SHARES] if last >= 0 else []
            return ArrivalSummary(
                {str(source): count for source, count in self._sources.items()},
                tuple(round(at, 2) for at in progress),
                self._sent,
                round(self._sent_s, 2),
                round(self._queued_s, 2),
                {str(source): round(took, 2) for source, took in self._requests_s.items()},
                dict(self._failures),
            )
