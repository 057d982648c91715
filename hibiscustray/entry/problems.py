"""Error responses as problem+json (RFC 9457) with the request's outcome."""

from __future__ import annotations

import logging
import math

import msgspec

from hibiscustray.exceptions import (
    CallerLeft,
    NoConfiguration,
    NotRun,
    OutcomeUnknown,
    RequestError,
)
from hibiscustray.web import Response

log = logging.getLogger(__name__)

PROBLEM_JSON = "application/problem+json"


class Problem(msgspec.Struct, frozen=True):
    """The body of an error response."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    request_id: str
    retry_after_s: float | None = None


def describe_problem(error: Exception, request_id: str) -> Problem:
    """Convert an error to a problem, with the outcome `not_run` only for a `NotRun`."""
    match error:
        case NoConfiguration():
            error = NotRun(str(error), 1.0)
        case RequestError():
            pass
        case _:
            log.error("unexpected error in a request", exc_info=error)
            error = OutcomeUnknown("internal failure")
    return Problem(
        type=f"urn:hibiscustray:problem:{error.kind}",
        title=error.kind.replace("-", " "),
        status=error.status,
        detail=error.detail,
        outcome=_read_outcome(error),
        request_id=request_id,
        retry_after_s=error.retry_after_s,
    )


def _read_outcome(error: RequestError) -> str:
    match error:
        case NotRun():
            return "not_run"
        case CallerLeft():
            return "abandoned"
    return "unknown"


def make_problem_response(error: Exception, request_id: str) -> Response:
    """Return the HTTP response for an error."""
    problem = describe_problem(error, request_id)
    headers = [("Hibiscustray-Request-Id", request_id)]
    if problem.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(problem.retry_after_s))))
    body = msgspec.json.encode(problem)
    return Response(problem.status, body, PROBLEM_JSON, tuple(headers))
