"""Metrics of one process, rendered in the Prometheus text format."""

from __future__ import annotations

import threading
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.98, 2.0, 5.0, 10.0, 30.0)


class Metrics:
    """The counters, gauges and histograms of one process, created on first use."""

    def __init__(self, process_id: str) -> None:
        self._labels = {"process": process_id}
        self._registry = Registry()
        self._collectors: dict[str, Counter | Gauge | Histogram] = {}
        self._lock = threading.Lock()

    def count(self, name: str, labels: Mapping[str, str] | None = None, amount: float = 1) -> None:
        """Increase a counter by an amount."""
        with self._lock:
            self._get_collector(Counter, name).add(dict(labels or {}), amount)

    def set_gauge(self, name: str, value: float, labels: Mapping[str, str] | None = None) -> None:
        """Set a gauge."""
        with self._lock:
            self._get_collector(Gauge, name).set(dict(labels or {}), value)

    def observe(self, name: str, value: float, labels: Mapping[str, str] | None = None) -> None:
        """Record a duration in seconds in a histogram."""
        with self._lock:
            self._get_collector(Histogram, name).observe(dict(labels or {}), value)

    def read(self, name: str, labels: Mapping[str, str] | None = None) -> float:
        """Return the value of a counter or gauge, or zero if none was recorded."""
        with self._lock:
            collector = self._collectors.get(name)
            if collector is None:
                return 0.0
            return collector.values.get(dict(labels or {})) or 0.0

    def read_total(self, name: str) -> float:
        """Return the sum of a counter over all label sets."""
        with self._lock:
            collector = self._collectors.get(name)
            return sum(collector.values.values()) if collector is not None else 0.0

    def render_text(self) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format and their content type."""
        with self._lock:
            body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]

    def _get_collector(self, collector_type, name: str):
        if name not in self._collectors:
            options = {"const_labels": self._labels, "registry": self._registry}
            if collector_type is Histogram:
                options["buckets"] = list(LATENCY_BUCKETS_S)
            self._collectors[name] = collector_type(
                f"hibiscustray_{name}", name.replace("_", " "), **options
            )
        return self._collectors[name]
