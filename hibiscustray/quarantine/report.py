"""What one entry reports to the others about parts of prompts; ages are relative to the writing."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from hibiscustray.exceptions import RecordInvalid

MAX_REPORTED_LOSSES = 192
MAX_REPORTED_SUCCESSES = 64
MAX_BLOCKS = 32
"""Limits of one report, which occupies at most about 20 kB however many parts callers invent."""


@dataclass(frozen=True)
class ReportedLoss:
    """A part that was lost at a replica; `sent_s` and `lost_s` are ages in seconds."""

    part: str
    replica: str
    sent_s: float
    lost_s: float


@dataclass(frozen=True)
class ReportedSuccess:
    """A suspected part of a request that completed `age_s` seconds ago."""

    part: str
    age_s: float


@dataclass(frozen=True)
class ReportedBlock:
    """Parts whose requests are refused if they have all of them, for `hold_s` from `age_s` ago."""

    parts: tuple[str, ...]
    hold_s: float
    age_s: float


@dataclass(frozen=True)
class EntryReport:
    """The losses, successes and blocks of one entry."""

    losses: tuple[ReportedLoss, ...] = ()
    successes: tuple[ReportedSuccess, ...] = ()
    blocks: tuple[ReportedBlock, ...] = ()


def encode_report(report: EntryReport) -> bytes:
    """Encode a report as the value of a row."""
    return msgspec.json.encode(report)


def decode_report(body: bytes) -> EntryReport:
    """Decode a report; raise `RecordInvalid` if it cannot be read or exceeds the limits."""
    try:
        report = msgspec.json.decode(body, type=EntryReport)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordInvalid(f"entry report: {error}") from error
    if (
        len(report.losses) > MAX_REPORTED_LOSSES
        or len(report.successes) > MAX_REPORTED_SUCCESSES
        or len(report.blocks) > MAX_BLOCKS
    ):
        raise RecordInvalid("entry report: more items than an entry writes")
    return report
