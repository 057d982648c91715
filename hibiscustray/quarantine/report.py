"""What one entry reports to the others, and the rows of blocked requests; ages are in seconds.

Ages are relative to the writing of a row.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import RecordInvalid

MAX_REPORTED_LOSSES = 192
MAX_REPORTED_SUCCESSES = 64
MAX_BLOCKS = 32
MAX_REPORTED_REQUEST_LOSSES = 64
MAX_REPORTED_REQUEST_SUCCESSES = 32
"""Limits of one report, which occupies at most about 30 kB however many parts callers invent."""


MAX_AGE_S = 1e6
MAX_AHEAD_S = 60.0
"""Bounds of ages, which may be somewhat negative."""

Seconds = Annotated[float, msgspec.Meta(ge=-MAX_AHEAD_S, le=MAX_AGE_S)]
Trials = Annotated[int, msgspec.Meta(ge=0, le=1000)]


@dataclass(frozen=True)
class ReportedLoss:
    """A part that was lost at a replica; `sent_s` and `lost_s` are ages in seconds."""

    part: str
    replica: str
    sent_s: Seconds
    lost_s: Seconds


@dataclass(frozen=True)
class ReportedSuccess:
    """A suspected part of a request that completed `age_s` seconds ago."""

    part: str
    age_s: Seconds


@dataclass(frozen=True)
class ReportedBlock:
    """Parts whose requests are refused if they have all of them, for `hold_s` from `age_s` ago."""

    parts: tuple[str, ...]
    hold_s: Seconds
    age_s: Seconds


@dataclass(frozen=True)
class EntryReport:
    """The losses, successes and blocks of one entry.

    Whole requests are reported apart from parts. `has_left` is set in the last report of an entry
    that has stopped.
    """

    losses: tuple[ReportedLoss, ...] = ()
    successes: tuple[ReportedSuccess, ...] = ()
    blocks: tuple[ReportedBlock, ...] = ()
    request_losses: tuple[ReportedLoss, ...] = ()
    request_successes: tuple[ReportedSuccess, ...] = ()
    has_left: bool = False


@dataclass(frozen=True)
class StoredBlock:
    """A blocked request; `trials` is the number of requests let through on trial by all entries.

    `write_id` identifies the write that counted the last one.
    """

    trials: Trials = 0
    write_id: str = ""


def encode_report(report: EntryReport) -> bytes:
    """Encode a report as the value of a row."""
    return msgspec.json.encode(report)


def decode_report(body: bytes) -> EntryReport:
    """Decode a report; raise `RecordInvalid` if it cannot be read or exceeds the limits."""
    try:
        report = msgspec.json.decode(body, type=EntryReport)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"entry report: {error}") from error
    if (
        len(report.losses) > MAX_REPORTED_LOSSES
        or len(report.successes) > MAX_REPORTED_SUCCESSES
        or len(report.blocks) > MAX_BLOCKS
        or len(report.request_losses) > MAX_REPORTED_REQUEST_LOSSES
        or len(report.request_successes) > MAX_REPORTED_REQUEST_SUCCESSES
    ):
        raise RecordInvalid("entry report: more items than an entry writes")
    return report


def encode_block(block: StoredBlock) -> bytes:
    """Encode a blocked request as the value of a row."""
    return msgspec.json.encode(block)


def decode_block(body: bytes) -> StoredBlock:
    """Decode a blocked request; raise `RecordInvalid` if it cannot be read."""
    try:
        return msgspec.json.decode(body, type=StoredBlock)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"blocked request: {error}") from error
