"""What a replica says of itself in one response."""

from __future__ import annotations

import re
from dataclasses import dataclass

LIMIT_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
SECONDS_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?")


@dataclass(frozen=True)
class ReplicaNotice:
    """The statements in one response.

    `limit_per_s` is the number of requests per second that the replica takes from all entries
    together, None if it names no limit. `pushback_s` is the time in seconds for which it wants no
    requests from this entry, None if it names none. `is_draining` is set if it is about to stop as
    planned. `malformed` and `malformed_pushback` are the texts of a limit and of a time that cannot
    be read.
    """

    limit_per_s: float | None = None
    malformed: str = ""
    pushback_s: float | None = None
    malformed_pushback: str = ""
    is_draining: bool = False


def read_notice(
    limit: str | None, pushback: str | None, draining: str | None = None
) -> ReplicaNotice:
    """Parse the statements in a response, each None if it is absent.

    A time may be longer than any float and is infinite then. A replica is draining if it says "1".
    """
    limit_per_s = _read_decimal(limit, LIMIT_PATTERN)
    pushback_s = _read_decimal(pushback, SECONDS_PATTERN)
    return ReplicaNotice(
        limit_per_s,
        "" if limit is None or limit_per_s is not None else limit or "empty",
        pushback_s,
        "" if pushback is None or pushback_s is not None else pushback or "empty",
        draining is not None and draining.strip() == "1",
    )


def _read_decimal(text: str | None, pattern: re.Pattern[str]) -> float | None:
    if text is None or not pattern.fullmatch(text.strip()):
        return None
    return float(text)
