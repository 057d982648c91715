"""Reports of other entries as an entry keeps them, and the conversion of times to ages."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hibiscustray.quarantine.blocks import Block
from hibiscustray.quarantine.evidence import LostPart, is_request
from hibiscustray.quarantine.ledger import LOSS_LIFETIME_S, NEVER, REQUEST_LOSS_LIFETIME_S
from hibiscustray.quarantine.report import ReportedBlock, ReportedLoss, ReportedSuccess


@dataclass
class OtherEntry:
    """The latest report of another entry, with times of this machine's `read_clock`."""

    losses: list[LostPart] = field(default_factory=list)
    successes: dict[str, float] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    has_left: bool = False
    has_blocks_left: bool = False


def find_suspicious(losses: list[LostPart]) -> list[LostPart]:
    """Return the losses of parts, and those of requests that were lost at several replicas."""
    first: dict[str, str] = {}
    suspicious = set()
    for loss in losses:
        if first.setdefault(loss.part, loss.replica) != loss.replica:
            suspicious.add(loss.part)
    return [loss for loss in losses if loss.part in suspicious or not is_request(loss.part)]


def is_current(loss: LostPart, successes: Mapping[str, float], now: float) -> bool:
    """Return whether a loss still counts."""
    if is_request(loss.part):
        is_void = loss.lost_at <= successes.get(loss.part, NEVER)
        return not is_void and now - loss.lost_at <= REQUEST_LOSS_LIFETIME_S
    return now - loss.lost_at <= LOSS_LIFETIME_S


def read_losses(losses: Iterable[ReportedLoss], written_at: float) -> list[LostPart]:
    """Return reported losses with times of `read_clock`."""
    return [
        LostPart(loss.part, loss.replica, written_at - loss.sent_s, written_at - loss.lost_s)
        for loss in losses
    ]


def report_losses(losses: Iterable[LostPart], now: float) -> tuple[ReportedLoss, ...]:
    """Return losses with their ages."""
    return tuple(
        ReportedLoss(x.part, x.replica, round(now - x.sent_at, 3), round(now - x.lost_at, 3))
        for x in losses
    )


def report_successes(successes: Mapping[str, float], now: float) -> tuple[ReportedSuccess, ...]:
    """Return successes with their ages."""
    return tuple(ReportedSuccess(part, round(now - at, 3)) for part, at in successes.items())


def report_blocks(blocks: Iterable[Block], now: float) -> tuple[ReportedBlock, ...]:
    """Return blocks with their ages."""
    return tuple(
        ReportedBlock(tuple(sorted(b.parts)), b.hold_s, round(now - b.held_at, 3)) for b in blocks
    )
