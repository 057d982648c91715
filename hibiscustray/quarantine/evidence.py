"""Finds the parts of prompts and the requests under which replicas end, from all losses.

A replica that ends breaks off the requests of every entry, so each loss names parts and requests
that may be harmless. A harmful part is told apart by two facts: none of its requests completes, and
replicas end one after the other under requests sent after the previous replica had ended. Replicas
that are killed together do not form such a sequence, however popular a part is.

A whole request is a key that starts with `REQUEST_PREFIX`. It is rarely at many replicas unless it
is sent there again, so three ends suffice without a sequence, unless it had just been sound.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

REQUEST_PREFIX = "request/"
MIN_REQUEST_REPLICAS = 3
"""Replicas that must have ended under a whole request."""
MIN_SEQUENCE = 3
"""Replicas that must have ended one after the other under a part."""
MIN_REPLICAS = 5
MIN_SEQUENCE_OF_MANY = 2
"""The shorter sequence that suffices if this number of replicas ended under a part."""
MIN_SEQUENCE_AFTER_SUCCESS = 6
"""The sequence that is needed if a request with the part completed recently."""
SUCCESS_LIFETIME_S = 60.0
"""Age up to which a completed request speaks for the parts of its prompt."""
CLOCK_TOLERANCE_S = 0.05
"""Error of times that other entries report."""


@dataclass(frozen=True)
class LostPart:
    """A part of a request, or a whole one, that was at a replica when it broke off its responses.

    `replica` identifies one start of a replica. `sent_at` and `lost_at` are times of `read_clock`.
    """

    part: str
    replica: str
    sent_at: float
    lost_at: float


def is_request(part: str) -> bool:
    """Return whether a key is that of a whole request."""
    return part.startswith(REQUEST_PREFIX)


def find_harmful_requests(
    losses: Iterable[LostPart],
    successes: Mapping[str, float],
    harmful_parts: Iterable[str],
    now: float,
) -> frozenset[str]:
    """Return the whole requests under which replicas end.

    Each is judged by itself: one that is lost wherever another one is does not excuse it. A request
    that was sound is excused by harmful parts, as requests that differ in their prompts only count
    as one.
    """
    harmful = frozenset(harmful_parts)
    by_part = _group_losses(losses, successes)
    explained = {replica for part in harmful for replica in by_part.get(part, ())}
    found = set()
    for part, replicas in by_part.items():
        if is_request(part):
            unexplained = [x for replica, x in replicas.items() if replica not in explained]
            lost, success_at = list(replicas.values()), successes.get(part)
            relevant = unexplained if _was_sound(lost, success_at) else lost
            if _is_harmful_request(relevant, success_at, now):
                found.add(part)
    return frozenset(found)


def find_harmful_parts(
    losses: Iterable[LostPart], successes: Mapping[str, float], now: float
) -> list[frozenset[str]]:
    """Return sets of parts; each set holds the parts that cannot be told apart as the harmful one.

    `successes` has the time of the last completed request with each part. Losses that one set
    explains do not count for the parts of other sets. Parts that cannot be told apart from a whole
    request are left out, as the request is blocked without them, unless it had just been sound.
    """
    by_part = _group_losses(losses, successes)
    found: list[frozenset[str]] = []
    while by_part:
        by_part = {
            part: replicas
            for part, replicas in by_part.items()
            if _is_harmful(part, list(replicas.values()), successes.get(part), now)
        }
        if not by_part:
            break
        worst = max(by_part.values(), key=len)
        alike = frozenset(p for p, replicas in by_part.items() if replicas.keys() == worst.keys())
        if not any(is_request(part) for part in alike):
            found.append(alike)
        by_part = {
            part: {key: loss for key, loss in replicas.items() if key not in worst}
            for part, replicas in by_part.items()
            if part not in alike
        }
    return found


def _group_losses(
    losses: Iterable[LostPart], successes: Mapping[str, float]
) -> dict[str, dict[str, LostPart]]:
    """Return the latest loss of each part at each replica, if it did not complete since."""
    by_part: dict[str, dict[str, LostPart]] = {}
    for loss in losses:
        if loss.lost_at > successes.get(loss.part, float("-inf")):
            replicas = by_part.setdefault(loss.part, {})
            previous = replicas.get(loss.replica)
            if previous is None or loss.sent_at > previous.sent_at:
                replicas[loss.replica] = loss
    return by_part


def _is_harmful(part: str, losses: list[LostPart], success_at: float | None, now: float) -> bool:
    if is_request(part):
        return not _was_sound(losses, success_at) and len(losses) >= MIN_REQUEST_REPLICAS
    sequence = _find_sequence(losses)
    if success_at is not None and now - success_at <= SUCCESS_LIFETIME_S:
        return sequence >= MIN_SEQUENCE_AFTER_SUCCESS
    if len(losses) >= MIN_REPLICAS:
        return sequence >= MIN_SEQUENCE_OF_MANY
    return sequence >= MIN_SEQUENCE


def _is_harmful_request(losses: list[LostPart], success_at: float | None, now: float) -> bool:
    if _was_sound(losses, success_at):
        recent = [loss for loss in losses if now - loss.lost_at <= SUCCESS_LIFETIME_S]
        return _find_sequence(recent) >= MIN_SEQUENCE_AFTER_SUCCESS
    return len(losses) >= MIN_REQUEST_REPLICAS


def _was_sound(losses: list[LostPart], success_at: float | None) -> bool:
    """Return whether a request had completed shortly before its first loss."""
    if success_at is None or not losses:
        return False
    return min(loss.lost_at for loss in losses) - success_at <= SUCCESS_LIFETIME_S


def _find_sequence(losses: list[LostPart]) -> int:
    """Return the most replicas that ended one after the other, each under a later request."""
    length, last_lost_at = 0, float("-inf")
    for loss in sorted(losses, key=lambda loss: loss.lost_at):
        if loss.sent_at >= last_lost_at - CLOCK_TOLERANCE_S:
            length += 1
            last_lost_at = loss.lost_at
    return length
