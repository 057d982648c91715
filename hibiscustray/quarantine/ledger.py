"""What one entry observed of the parts of requests: losses, successes and who is suspected."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from hibiscustray.quarantine.evidence import SUCCESS_LIFETIME_S, LostPart
from hibiscustray.quarantine.report import (
    MAX_REPORTED_LOSSES,
    MAX_REPORTED_REQUEST_LOSSES,
    MAX_REPORTED_REQUEST_SUCCESSES,
    MAX_REPORTED_SUCCESSES,
)

LOSS_LIFETIME_S = 60.0
REQUEST_LOSS_LIFETIME_S = 6 * 3600.0
"""Time for which the loss of a whole request counts, which may come again after minutes."""
MAX_PARTS_PER_LOSS = 32
MAX_SUCCESSES = 4096
"""Parts whose last success an entry remembers; the least recent one is forgotten first."""
MIN_REPORT_INTERVAL_S = 1.0
"""Time after which a further success with the same part is reported."""
MIN_SUSPECT_REPLICAS = 2
"""Replicas lost under a part before other entries report their successes with it."""
CONFIRM_S = 0.3
"""Time without a sign of life after which a lost response counts as the end of its replica."""
MIN_LIFE_SIGN_S = 0.1
"""Time in which data may still be read that a replica sent before it ended."""
NEVER = float("-inf")


@dataclass(frozen=True)
class LedgerLimits:
    """How much a ledger holds; `loss_lifetime_s` is in seconds.

    Of `losses`, at most `suspected_losses` are kept although newer ones arrive.
    """

    loss_lifetime_s: float
    losses: int
    suspected_losses: int
    reported_successes: int


PART_LIMITS = LedgerLimits(
    LOSS_LIFETIME_S, MAX_REPORTED_LOSSES, MAX_REPORTED_LOSSES, MAX_REPORTED_SUCCESSES
)
REQUEST_LIMITS = LedgerLimits(
    REQUEST_LOSS_LIFETIME_S,
    MAX_REPORTED_REQUEST_LOSSES,
    MAX_REPORTED_REQUEST_LOSSES // 2,
    MAX_REPORTED_REQUEST_SUCCESSES,
)


class SuccessMemory:
    """The times of the last successes; what succeeded once is forgotten before what did again."""

    def __init__(self) -> None:
        self._once: OrderedDict[str, float] = OrderedDict()
        self._again: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._once) + len(self._again)

    def add(self, part: str, at: float) -> None:
        """Add a success."""
        is_again = self._once.pop(part, None) is not None or part in self._again
        memory = self._again if is_again else self._once
        memory[part] = at
        memory.move_to_end(part)
        if len(memory) > MAX_SUCCESSES // 2:
            memory.popitem(last=False)

    def get(self, part: str) -> float:
        """Return the time of the last success, minus infinity if none is known."""
        return max(self._once.get(part, NEVER), self._again.get(part, NEVER))

    def find(self, parts: Iterable[str]) -> dict[str, float]:
        """Return the times of those parts that are known."""
        return {part: self.get(part) for part in parts if self.get(part) > NEVER}


class EvidenceLedger:
    """The own losses and successes, in bounded memory; not thread-safe.

    `revision` increases with each change of what the entry reports, and `lost_replicas` has the
    replicas with a loss. The losses of parts in `blocked` are not needed any more.
    """

    def __init__(self, limits: LedgerLimits = PART_LIMITS) -> None:
        self.revision = 0
        self._limits = limits
        self.losses: OrderedDict[tuple[str, str], LostPart] = OrderedDict()
        self.successes = SuccessMemory()
        self.reported_successes: dict[str, float] = {}
        self.suspects: dict[str, int] = {}
        self.blocked: frozenset[str] = frozenset()
        self.lost_replicas: frozenset[str] = frozenset()
        self._newest_confirmed_at = NEVER

    def add_losses(self, replica: str, parts: Sequence[str], sent_at: float, now: float) -> None:
        """Add the loss of a request with these parts, suspected parts first."""
        by_suspicion = sorted(dict.fromkeys(parts), key=lambda p: -self.suspects.get(p, 0))
        for part in by_suspicion[:MAX_PARTS_PER_LOSS]:
            self.losses[replica, part] = LostPart(part, replica, sent_at, now)
        self._drop_excess_losses()
        self._record_change()

    def withdraw_losses(self, replica: str, now: float) -> None:
        """Withdraw the losses at a replica that responds, so that it has not ended."""
        newest_at = now - MIN_LIFE_SIGN_S
        for key in [k for k, v in self.losses.items() if k[0] == replica]:
            if self.losses[key].lost_at <= newest_at:
                del self.losses[key]
        self._record_change()

    def add_success(self, part: str, is_blocked: bool, now: float) -> bool:
        """Add a success with a part; return whether it is to be reported."""
        self.successes.add(part, now)
        is_suspect = self.suspects.get(part, 0) >= MIN_SUSPECT_REPLICAS
        reported_at = self.reported_successes.get(part, NEVER)
        if not (is_blocked or is_suspect) or now - reported_at <= MIN_REPORT_INTERVAL_S:
            return False
        self.reported_successes[part] = now
        self.revision += 1
        return True

    def record_confirmations(self, now: float) -> None:
        """Count losses that are confirmed by now as a change of what the entry reports."""
        newest_at = max((loss.lost_at for loss in self.list_confirmed(now)), default=NEVER)
        if newest_at > self._newest_confirmed_at:
            self._newest_confirmed_at = newest_at
            self.revision += 1

    def list_confirmed(self, now: float) -> list[LostPart]:
        """Return the losses at replicas that showed no sign of life for long enough."""
        return [loss for loss in self.losses.values() if now - loss.lost_at >= CONFIRM_S]

    def find_confirmation(self, now: float) -> float:
        """Return the seconds until the next loss is confirmed, infinite if all are."""
        unconfirmed = [v.lost_at for v in self.losses.values() if now - v.lost_at < CONFIRM_S]
        return min(unconfirmed) + CONFIRM_S - now if unconfirmed else float("inf")

    def update_suspects(
        self, losses: Iterable[LostPart], others: Mapping[str, float], now: float
    ) -> None:
        """Find parts lost at several replicas and report the own successes with them.

        `losses` are those of all entries, and `others` the successes that other entries reported.
        """
        known = merge_successes(self.reported_successes, others)
        replicas: dict[str, set[str]] = {}
        for loss in losses:
            if loss.lost_at > known.get(loss.part, NEVER):
                replicas.setdefault(loss.part, set()).add(loss.replica)
        self.suspects = {part: len(lost) for part, lost in replicas.items()}
        for part, count in self.suspects.items():
            at = self.successes.get(part)
            is_news = at > known.get(part, NEVER) and now - at <= SUCCESS_LIFETIME_S
            if count >= MIN_SUSPECT_REPLICAS and is_news:
                self.reported_successes[part] = at
                self.revision += 1
        while len(self.reported_successes) > self._limits.reported_successes:
            oldest = min(self.reported_successes, key=self.reported_successes.__getitem__)
            del self.reported_successes[oldest]

    def restore(self, losses: Iterable[LostPart]) -> None:
        """Take over losses that this entry had reported before it restarted."""
        self.losses = OrderedDict(((x.replica, x.part), x) for x in losses) | self.losses
        self._record_change()

    def drop_void(self, successes: Mapping[str, float]) -> None:
        """Forget the losses of parts that completed since."""
        self._drop(lambda loss: loss.lost_at <= successes.get(loss.part, NEVER))

    def drop(self, part: str) -> None:
        """Forget the losses of a part that is known to be harmless."""
        self._drop(lambda loss: loss.part == part)

    def expire(self, now: float) -> None:
        """Forget what is too old; a success is reported for as long as the part is suspected."""
        self._drop(lambda loss: now - loss.lost_at > self._limits.loss_lifetime_s)
        for part, at in list(self.reported_successes.items()):
            is_needed = self._limits is REQUEST_LIMITS and part in self.suspects
            if now - at > SUCCESS_LIFETIME_S and not is_needed:
                del self.reported_successes[part]
                self.revision += 1

    def _drop(self, is_dropped: Callable[[LostPart], bool]) -> None:
        dropped = [key for key, loss in self.losses.items() if is_dropped(loss)]
        for key in dropped:
            del self.losses[key]
        if dropped:
            self._record_change()

    def _record_change(self) -> None:
        self.revision += 1
        self.lost_replicas = frozenset(replica for replica, _ in self.losses)

    def _drop_excess_losses(self) -> None:
        """Drop the losses of blocked parts, then those least suspected, the oldest first."""
        excess = len(self.losses) - self._limits.losses
        if excess <= 0:
            return
        suspected = [key for key in self.losses if self._get_suspicion(key) > 1]
        kept = frozenset(suspected[-self._limits.suspected_losses :])
        suspicions = {key: self._get_suspicion(key) for key in self.losses}
        ranks = {key: s if key in kept else min(s, 0) for key, s in suspicions.items()}
        for key in sorted(self.losses, key=ranks.__getitem__)[:excess]:
            del self.losses[key]

    def _get_suspicion(self, key: tuple[str, str]) -> int:
        return -1 if key[1] in self.blocked else self.suspects.get(key[1], 0)


def merge_successes(*sources: Mapping[str, float]) -> dict[str, float]:
    """Return the time of the last success with each part."""
    merged: dict[str, float] = {}
    for source in sources:
        for part, at in source.items():
            merged[part] = max(merged.get(part, NEVER), at)
    return merged
