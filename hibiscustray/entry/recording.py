"""Records the outcome of each request exactly once."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Generator, Iterator

from hibiscustray.entry.problems import Problem
from hibiscustray.peers import End
from hibiscustray.reports import ServiceLevelEvent, ServiceLevelRecorder
from hibiscustray.reports.recorder import ABANDONED, ANSWERED
from hibiscustray.telemetry import Metrics

CALLER_LEFT = "caller-left"


class RequestRecord:
    """The service-level record of a running request; only the first recorded end counts."""

    def __init__(
        self, recorder: ServiceLevelRecorder, metrics: Metrics, on_end: Callable[[], None]
    ) -> None:
        self.team = "unknown"
        self.service = "unknown"
        self._recorder = recorder
        self._metrics = metrics
        self._on_end = on_end
        self._started = time.monotonic()
        self._cpu_started = time.thread_time()
        self._first_payload_s: float | None = None
        self._is_ended = False
        self._lock = threading.Lock()

    def fail(self, problem: Problem) -> None:
        """Record that the request ended with a problem."""
        self._end(problem.outcome, problem.type.rsplit(":", 1)[1])

    def abandon(self) -> None:
        """Record that the caller has disconnected."""
        self._end(ABANDONED, CALLER_LEFT)

    def track(self, response: Iterator[bytes | End]) -> Generator[bytes | End, None, None]:
        """Yield the items of a response and record its first payload and its end."""
        for item in response:
            if isinstance(item, End):
                self._end(ANSWERED, "")
            elif self._first_payload_s is None:
                self._first_payload_s = time.monotonic() - self._started
            yield item

    def _end(self, outcome: str, kind: str) -> None:
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
        cpu_s = time.thread_time() - self._cpu_started
        self._metrics.count("request_cpu_seconds_total", amount=cpu_s)
        self._recorder.record(
            ServiceLevelEvent(
                self.service,
                self.team,
                outcome,
                kind,
                self._first_payload_s,
                time.monotonic() - self._started,
            )
        )
        self._on_end()


class RecordedBody:
    """A streamed body, which the server closes also if the caller has disconnected."""

    def __init__(
        self,
        parts: Generator[bytes, None, None],
        response: Generator[bytes | End, None, None],
        record: RequestRecord,
    ) -> None:
        self._parts = parts
        self._response = response
        self._record = record

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator over the body's parts."""
        return self._parts

    def close(self) -> None:
        """Close the body; a response that has not ended by then is recorded as abandoned."""
        self._parts.close()
        self._response.close()
        self._record.abandon()
