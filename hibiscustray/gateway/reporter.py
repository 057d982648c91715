"""Answers that the gateway makes itself, and the log line and metrics of each request's end."""

from __future__ import annotations

import logging
import time

from hibiscustray.gateway.context import Job
from hibiscustray.gateway.interface import Headers, InboundRequest, InboundResponse
from hibiscustray.placement import Refusal, RefusalReason
from hibiscustray.telemetry import Metrics
from hibiscustray.web.problem import PROBLEM_JSON, make_problem

log = logging.getLogger(__name__)

PROBLEM_HEADERS: Headers = (("Content-Type", PROBLEM_JSON),)
CALLER_LEFT = 499
"""Status of an answer that nobody reads."""
AGE_LOGGED_MOST_S = 99.0


class RequestReporter:
    """Ends requests; each call writes one line that holds what decided it."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def reject(
        self,
        inbound: InboundRequest,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        revision: int = 0,
    ) -> InboundResponse:
        """Answer a request that no route or team allows."""
        log.info(
            "request rejected",
            extra={
                "request": inbound.id,
                "status": status,
                "reason": reason,
                "revision": revision,
                "host": inbound.host,
            },
        )
        self._metrics.count("requests_total", {"outcome": "rejected", "reason": reason})
        return _make_answer(status, reason, retry_after_s)

    def refuse(
        self, job: Job, reason: str, retry_after_s: float, refusal: Refusal | None = None
    ) -> InboundResponse:
        """Answer that the request did not run and will not, with the time to come back."""
        details: dict[str, object] = {}
        if refusal is not None:
            details["predicted_s"] = round(refusal.predicted_s, 3)
            details["candidates"] = refusal.candidates
        self._log(job, "refused", reason=reason, retry_after_s=round(retry_after_s, 3), **details)
        self._count(job, "refused")
        status = 429 if reason == RefusalReason.FULL.value else 503
        return _make_answer(status, reason, retry_after_s)

    def fail(self, job: Job, status: int, reason: str) -> InboundResponse:
        """Answer that the request may have run."""
        self._log(job, "failed", reason=reason, status=status)
        self._count(job, "failed")
        return _make_answer(status, reason)

    def note_answered(self, job: Job, status: int, events: int = 0) -> None:
        """Note that a replica's answer was passed on whole."""
        self._log(job, "answered", status=status, events=events)
        self._count(job, "answered" if status < 500 else "upstream-failure")

    def note_cut(self, job: Job, events: int, reason: str) -> None:
        """Note that a stream was broken off after it had begun."""
        self._log(job, "cut", events=events, reason=reason)
        self._count(job, "cut")

    def note_resumed(self, job: Job) -> None:
        """Note that a broken stream goes on at another replica."""
        log.info("stream resumed", extra={"request": job.inbound.id, "trail": list(job.trail)})
        self._metrics.count("streams_resumed_total", {"service": job.service.name})

    def note_left(self, job: Job, events: int = 0) -> InboundResponse:
        """Note that the caller has left."""
        self._log(job, "caller-left", events=events)
        self._count(job, "caller-left")
        return InboundResponse(CALLER_LEFT, (), b"")

    def note_lost(self, job: Job, detail: str) -> None:
        """Note that an attempt's answer was lost."""
        log.info("attempt lost", extra={"request": job.inbound.id, "reason": detail[:200]})
        self._metrics.count("attempts_lost_total", {"service": job.service.name})

    def _count(self, job: Job, outcome: str) -> None:
        labels = {"outcome": outcome, "service": job.service.name}
        taken_s = time.monotonic() - job.inbound.received_at
        self._metrics.count("requests_total", labels)
        self._metrics.observe("request_seconds", taken_s, labels)

    def _log(self, job: Job, outcome: str, **details: object) -> None:
        placed = job.last_placed
        if placed is not None:
            in_flight = placed.in_flight
            details.setdefault("predicted_s", round(in_flight.predicted_s, 3))
            if in_flight.response_started_at is not None:
                details["first_s"] = round(in_flight.response_started_at - in_flight.started_at, 3)
            details["outstanding"] = round(placed.outstanding, 1)
            details["load_age_s"] = round(min(placed.load_report_age_s, AGE_LOGGED_MOST_S), 2)
        log.info(
            "request ended",
            extra={
                "request": job.inbound.id,
                "outcome": outcome,
                "route": job.route.name,
                "service": job.service.name,
                "revision": job.catalog.revision,
                "age_s": round(job.demand.age_s, 3),
                "took_s": round(time.monotonic() - job.inbound.received_at, 3),
                "trail": list(job.trail),
                **details,
            },
        )


def _make_answer(status: int, reason: str, retry_after_s: float | None = None) -> InboundResponse:
    headers = PROBLEM_HEADERS
    if retry_after_s is not None:
        headers = (*headers, ("Retry-After", f"{retry_after_s:.2f}"))
    return InboundResponse(status, headers, make_problem(status, reason))
