"""Finds the parts of prompts under which replicas end, from the losses of all entries.

A replica that ends breaks off the requests of every entry, so each loss names parts that may be
harmless. A harmful part is told apart by two facts: none of its requests completes, and replicas
end one after the other under requests sent after the previous replica had ended. Replicas that are
killed together do not form such a sequence, however popular a part is.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

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
    """A part of a request that was at a replica when the replica broke its responses off.

    `replica` identifies one start of a replica. `sent_at` and `lost_at` are times of `read_clock`.
    """

    part: str
    replica: str
    sent_at: float
    lost_at: float


def find_harmful_parts(
    losses: Iterable[LostPart], successes: Mapping[str, float], now: float
) -> list[frozenset[str]]:
    """Return sets of parts; each set holds the parts that cannot be told apart as the harmful one.

    `successes` has the time of the last completed request with each part. Losses that one set
    explains do not count for the parts of other sets.
    """
    by_part: dict[str, dict[str, LostPart]] = {}
    for loss in losses:
        if loss.lost_at > successes.get(loss.part, float("-inf")):
            replicas = by_part.setdefault(loss.part, {})
            previous = replicas.get(loss.replica)
            if previous is None or loss.sent_at > previous.sent_at:
                replicas[loss.replica] = loss
    found: list[frozenset[str]] = []
    while by_part:
        by_part = {
            part: replicas
            for part, replicas in by_part.items()
            if _is_harmful(list(replicas.values()), successes.get(part), now)
        }
        if not by_part:
            break
        worst = max(by_part.values(), key=len)
        alike = frozenset(p for p, replicas in by_part.items() if replicas.keys() == worst.keys())
        found.append(alike)
        by_part = {
            part: {key: loss for key, loss in replicas.items() if key not in worst}
            for part, replicas in by_part.items()
            if part not in alike
        }
    return found


def _is_harmful(losses: list[LostPart], success_at: float | None, now: float) -> bool:
    sequence = _find_sequence(losses)
    if success_at is not None and now - success_at <= SUCCESS_LIFETIME_S:
        return sequence >= MIN_SEQUENCE_AFTER_SUCCESS
    if len(losses) >= MIN_REPLICAS:
        return sequence >= MIN_SEQUENCE_OF_MANY
    return sequence >= MIN_SEQUENCE


def _find_sequence(losses: list[LostPart]) -> int:
    """Return the most replicas that ended one after the other, each under a later request."""
    length, last_lost_at = 0, float("-inf")
    for loss in sorted(losses, key=lambda loss: loss.lost_at):
        if loss.sent_at >= last_lost_at - CLOCK_TOLERANCE_S:
            length += 1
            last_lost_at = loss.lost_at
    return length
