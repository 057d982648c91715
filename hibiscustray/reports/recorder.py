"""Records each request once: its outcome, its latencies and whether it met its objective."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.deployments import Configuration, Service
from hibiscustray.exceptions import NoConfiguration
from hibiscustray.telemetry import Metrics

MS_PER_S = 1000.0
ANSWERED = "answered"
ABANDONED = "abandoned"
CALLER_FAULTS = frozenset(
    ("malformed", "too-large", "credential", "unknown-service", "deadline", "key-reused")
)
"""Kinds of refusal that callers bring about; they use up no error budget."""


@dataclass(frozen=True)
class ServiceLevelEvent:
    """How one request ended.

    `kind` names the failure, empty for an answer; `first_payload_s` is None without one.
    """

    service: str
    team: str
    outcome: str
    kind: str
    first_payload_s: float | None
    answer_s: float


class ServiceLevelRecorder:
    """Turns ended requests into the counters and histograms that the burn report reads."""

    def __init__(self, configuration: Configuration, metrics: Metrics) -> None:
        self._configuration = configuration
        self._metrics = metrics

    def record(self, event: ServiceLevelEvent) -> None:
        """Count one ended request."""
        who = {"service": event.service, "team": event.team}
        self._metrics.count("requests_total", who | {"outcome": event.outcome})
        if event.kind:
            self._metrics.count("failures_total", who | {"kind": event.kind})
        if event.first_payload_s is not None:
            self._metrics.observe("first_payload_seconds", event.first_payload_s, who)
        if event.outcome == ANSWERED:
            self._metrics.observe("answer_seconds", event.answer_s, who)
        service = self._find_service(event.service)
        if service is not None and counts_for_objective(event):
            result = "good" if meets_objective(event, service) else "bad"
            self._metrics.count("service_level_events_total", who | {"result": result})

    def _find_service(self, name: str) -> Service | None:
        try:
            return self._configuration.deployment.find_service(name)
        except NoConfiguration:
            return None


def counts_for_objective(event: ServiceLevelEvent) -> bool:
    """Tell whether a request counts: not those that callers left or got wrong."""
    return event.outcome != ABANDONED and event.kind not in CALLER_FAULTS


def meets_objective(event: ServiceLevelEvent, service: Service) -> bool:
    """Tell whether a request was answered within its service's latencies."""
    if event.outcome != ANSWERED or event.first_payload_s is None:
        return False
    return (
        event.first_payload_s * MS_PER_S <= service.first_token_ms
        and event.answer_s * MS_PER_S <= service.answer_ms
    )
