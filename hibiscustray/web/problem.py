"""Problem details (RFC 9457) for errors that no request handler reports itself."""

from __future__ import annotations

import uuid

import msgspec

PROBLEM_JSON = "application/problem+json"
UNKNOWN_OUTCOME_STATUSES = (500, 502, 504)
"""HTTP statuses after which the request may have run."""


def make_problem(status: int, reason: str) -> bytes:
    """Return a problem body; its outcome is unknown if the request may have run."""
    kind = reason.lower().replace(" ", "-")
    return msgspec.json.encode(
        {
            "type": f"urn:hibiscustray:problem:{kind}",
            "title": reason,
            "status": status,
            "detail": reason,
            "outcome": "unknown" if status in UNKNOWN_OUTCOME_STATUSES else "not_run",
            "request_id": uuid.uuid4().hex,
        }
    )
