"""Counts each request's outcome exactly once, however its answer ends."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Generator, Iterator

from hibiscustray.peers import End
from hibiscustray.telemetry import Metrics

ABANDONED = "abandoned"
ANSWERED = "answered"


class RequestRecord:
    """The metrics of one request; the first outcome that is told stands."""

    def __init__(self, metrics: Metrics, on_end: Callable[[], None]) -> None:
        self.team = "unknown"
        self.service = "unknown"
        self._metrics = metrics
        self._on_end = on_end
        self._started = time.monotonic()
        self._is_finished = False
        self._lock = threading.Lock()

    def finish(self, outcome: str) -> None:
        """Count an outcome unless one was counted before."""
        with self._lock:
            if self._is_finished:
                return
            self._is_finished = True
        labels = {"team": self.team, "service": self.service}
        self._metrics.count("requests_total", labels | {"outcome": outcome})
        self._metrics.observe("answer_seconds", time.monotonic() - self._started, labels)
        self._on_end()

    def follow(self, answer: Iterator[bytes | End]) -> Generator[bytes | End, None, None]:
        """Pass an answer on, noting its first payload and its end."""
        is_first = True
        for item in answer:
            if isinstance(item, End):
                self.finish(ANSWERED)
            elif is_first:
                is_first = False
                labels = {"team": self.team, "service": self.service}
                elapsed = time.monotonic() - self._started
                self._metrics.observe("first_payload_seconds", elapsed, labels)
            yield item


class RecordedBody:
    """A streamed body that the server closes also when its caller has left."""

    def __init__(
        self,
        parts: Generator[bytes, None, None],
        answer: Generator[bytes | End, None, None],
        record: RequestRecord,
    ) -> None:
        self._parts = parts
        self._answer = answer
        self._record = record

    def __iter__(self) -> Iterator[bytes]:
        """Return the parts."""
        return self._parts

    def close(self) -> None:
        """End the parts; an answer that did not end by itself was abandoned."""
        self._parts.close()
        self._answer.close()
        self._record.finish(ABANDONED)
