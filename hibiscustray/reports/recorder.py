"""Counts each request once, with its outcome, latencies and whether it met its objective."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.deployments import Configuration, Service
from hibiscustray.exceptions import NoConfiguration
from hibiscustray.telemetry import Metrics

MS_PER_S = 1000.0
ANSWERED = "answered"
ABANDONED = "abandoned"
CALLER_ERROR_KINDS = frozenset(
    ("malformed", "too-large", "credential", "unknown-service", "deadline", "key-reused")
)
"""Kinds of failure that callers cause; they do not count against the error budget."""


@dataclass(frozen=True)
class ServiceLevelEvent:
    """How one request ended.

    `kind` is the kind of failure, empty if there was none; `first_payload_s` is None if no payload
    was sent.
    """

    service: str
    team: str
    outcome: str
    kind: str
    first_payload_s: float | None
    answer_s: float


class ServiceLevelRecorder:
    """Updates the counters and histograms from which the burn-rate report is computed."""

    def __init__(self, configuration: Configuration, metrics: Metrics) -> None:
        self._configuration = configuration
        self._metrics = metrics

    def record(self, event: ServiceLevelEvent) -> None:
        """Count a request that has ended."""
        labels = {"service": event.service, "team": event.team}
        self._metrics.count("requests_total", labels | {"outcome": event.outcome})
        if event.kind:
            self._metrics.count("failures_total", labels | {"kind": event.kind})
        if event.first_payload_s is not None:
            self._metrics.observe("first_payload_seconds", event.first_payload_s, labels)
        if event.outcome == ANSWERED:
            self._metrics.observe("answer_seconds", event.answer_s, labels)
        service = self._find_service(event.service)
        if service is not None and counts_for_objective(event):
            result = "good" if meets_objective(event, service) else "bad"
            self._metrics.count("service_level_events_total", labels | {"result": result})

    def _find_service(self, name: str) -> Service | None:
        try:
            return self._configuration.deployment.find_service(name)
        except NoConfiguration:
            return None


def counts_for_objective(event: ServiceLevelEvent) -> bool:
    """Return whether a request counts; errors and disconnections of callers do not."""
    return event.outcome != ABANDONED and event.kind not in CALLER_ERROR_KINDS


def meets_objective(event: ServiceLevelEvent, service: Service) -> bool:
    """Return whether a request was answered within the latency objectives of its service."""
    if event.outcome != ANSWERED or event.first_payload_s is None:
        return False
    return (
        event.first_payload_s * MS_PER_S <= service.first_token_ms
        and event.answer_s * MS_PER_S <= service.answer_ms
    )
