"""Measures streams through a running entry: CPU time per token and latencies of tokens."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from hibiscustray.benchmarks.processes import read_cpu_s, read_rss_mib
from hibiscustray.exceptions import HibiscustrayError
from hibiscustray.web import HttpClient

US_PER_S = 1_000_000
MS_PER_S = 1000.0
MAX_LATENCY_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 3
TIMEOUT_S = 60.0
DEADLINE_MS = 60_000
EVENT_PREFIX = b"data: {"
RETRY_DELAY_S = 0.2
P95 = 95.0


@dataclass(frozen=True)
class StreamOptions:
    """Options of a run; the entry and the agent are processes running on this machine."""

    url: str
    key: str
    service: str
    entry_pid: int
    agent_pid: int
    streams: int
    tokens: int
    seconds: float


@dataclass(frozen=True)
class StreamReport:
    """Result of a run; gaps are the times between consecutive tokens of a stream."""

    streams: int
    seconds: float
    answered: int
    refused: int
    tokens: int
    tokens_per_second: float
    entry_cpu_us_per_token: float
    agent_cpu_us_per_token: float
    entry_rss_mib: float
    agent_rss_mib: float
    first_token_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float


class StreamRun:
    """Reads streams in parallel threads, each one stream after another until the time is over."""

    def __init__(self, options: StreamOptions) -> None:
        self._options = options
        self._client = HttpClient(options.url, TIMEOUT_S)
        self._first_token = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._gaps = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._lock = threading.Lock()
        self._answered = 0
        self._refused = 0
        self._tokens = 0

    def measure(self) -> StreamReport:
        """Run the streams and return the report; raise `ProcessMissing`."""
        options = self._options
        entry_cpu_s = read_cpu_s(options.entry_pid)
        agent_cpu_s = read_cpu_s(options.agent_pid)
        started = time.monotonic()
        with ThreadPoolExecutor(options.streams, thread_name_prefix="stream") as pool:
            for future in [pool.submit(self._read_streams, i) for i in range(options.streams)]:
                future.result()
        seconds = time.monotonic() - started
        entry_cpu_s = read_cpu_s(options.entry_pid) - entry_cpu_s
        agent_cpu_s = read_cpu_s(options.agent_pid) - agent_cpu_s
        tokens = max(1, self._tokens)
        return StreamReport(
            streams=options.streams,
            seconds=round(seconds, 2),
            answered=self._answered,
            refused=self._refused,
            tokens=self._tokens,
            tokens_per_second=round(self._tokens / seconds, 1),
            entry_cpu_us_per_token=round(entry_cpu_s / tokens * US_PER_S, 1),
            agent_cpu_us_per_token=round(agent_cpu_s / tokens * US_PER_S, 1),
            entry_rss_mib=read_rss_mib(options.entry_pid),
            agent_rss_mib=read_rss_mib(options.agent_pid),
            first_token_p95_ms=self._first_token.get_value_at_percentile(P95) / MS_PER_S,
            gap_p50_ms=self._gaps.get_value_at_percentile(50.0) / MS_PER_S,
            gap_p95_ms=self._gaps.get_value_at_percentile(P95) / MS_PER_S,
        )

    def _read_streams(self, index: int) -> None:
        deadline = time.monotonic() + self._options.seconds
        for number in itertools.count():
            if time.monotonic() > deadline:
                return
            try:
                self._read_stream(f"stream {index} request {number}")
            except HibiscustrayError:
                self._record_refused()

    def _read_stream(self, prompt: str) -> None:
        started = time.monotonic()
        body = {
            "model": self._options.service,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": self._options.tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {self._options.key}",
            "Hibiscustray-Deadline-Ms": str(DEADLINE_MS),
        }
        stream = self._client.open(
            "POST", "/v1/chat/completions", msgspec.json.encode(body), headers
        )
        try:
            if stream.status != 200:
                self._record_refused()
                return
            received_times = [
                time.monotonic() for line in stream.read_lines() if line.startswith(EVENT_PREFIX)
            ]
        finally:
            stream.close()
        self._record_answered(started, received_times)

    def _record_refused(self) -> None:
        """Count a stream that was refused or failed, and wait before the next one."""
        with self._lock:
            self._refused += 1
        time.sleep(RETRY_DELAY_S)

    def _record_answered(self, started: float, received_times: list[float]) -> None:
        with self._lock:
            self._answered += 1
            self._tokens += len(received_times)
            for previous_at, received_at in zip(
                [started, *received_times[:-1]], received_times, strict=True
            ):
                histogram = self._first_token if previous_at == started else self._gaps
                histogram.record_value(max(1, int((received_at - previous_at) * US_PER_S)))
