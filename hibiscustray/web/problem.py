"""Problem bodies (RFC 9457) for requests that never reached a handler."""

from __future__ import annotations

import uuid

import msgspec

PROBLEM_JSON = "application/problem+json"
UNKNOWN_OUTCOMES = (500, 502, 504)
"""Statuses after which the request may have run."""


def make_problem(status: int, reason: str) -> bytes:
    """Return a problem body; a failure after the request was taken on has an unknown outcome."""
    kind = reason.lower().replace(" ", "-")
    return msgspec.json.encode(
        {
            "type": f"urn:hibiscustray:problem:{kind}",
            "title": reason,
            "status": status,
            "detail": reason,
            "outcome": "unknown" if status in UNKNOWN_OUTCOMES else "not_run",
            "request_id": uuid.uuid4().hex,
        }
    )
