"""The blocked requests, which all entries share by one row each, and their trials."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import Enum

MAX_REQUEST_BLOCKS = 256
"""Blocked requests; the one that was not sent for longest is let go first."""
MAX_TRIALS = 2
"""Requests that all entries together let through on trial while a block lasts."""
TRIAL_DELAYS_S = (30.0, 480.0)
"""Time from the block, and from the first trial, to the next trial."""
HIT_LIFETIME_S = 30.0
"""Age up to which a refused request makes its entry ask for a trial."""
WRITE_INTERVAL_S = 5.0
"""Time after which a change of a row that does not show in the table is tried again."""
WITNESS_LEAD_S = 1.0
"""Time in which entries that saw a loss write the row before others do."""
RENEWAL_INTERVAL_S = 6 * 3600.0
IDLE_LIFETIME_S = 24 * 3600.0
"""Time without a matching request after which a block is let go."""
MIN_RETRY_AFTER_S = 1.0
NEVER = float("-inf")


class RowChange(Enum):
    """A change of the row of a blocked request."""

    ADD = "add"
    TAKE_TRIAL = "take trial"
    RENEW = "renew"
    REMOVE = "remove"


@dataclass(frozen=True)
class RequestBlock:
    """A blocked request; all times are of `read_clock`.

    `trials` are those taken by any entry, the last one at `trial_at`. `is_granted` is set while
    this entry may let one request through. `is_listed` is set once the row was read; `changed_at`
    is when it was last read with a change.
    """

    held_at: float
    trials: int = 0
    trial_at: float = NEVER
    is_granted: bool = False
    is_listed: bool = False
    changed_at: float = NEVER
    hit_at: float = NEVER
    tried_at: float = NEVER

    def left_s(self, now: float) -> float:
        """Return the seconds until the next trial, infinite if there is none left."""
        if self.trials >= MAX_TRIALS:
            return float("inf")
        return max(self.held_at, self.trial_at) + TRIAL_DELAYS_S[self.trials] - now


class RequestBlocks:
    """The blocked requests as this entry knows them; not thread-safe.

    A block belongs to no entry: its row in the table is what counts, and it outlives all entries.
    `on_decision` is called with a message and a request.
    """

    def __init__(self, on_decision: Callable[[str, str], None]) -> None:
        self._on_decision = on_decision
        self._blocks: dict[str, RequestBlock] = {}
        self._ended: dict[str, float] = {}

    def __contains__(self, request: str) -> bool:
        return request in self._blocks

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._blocks))

    def __len__(self) -> int:
        return len(self._blocks)

    def hold(self, request: str, is_witness: bool, now: float) -> None:
        """Block a request by a decision of this entry, which may have seen none of its losses."""
        while len(self._blocks) >= MAX_REQUEST_BLOCKS:
            blocks = self._blocks
            self.end(min(blocks, key=lambda r: max(blocks[r].hit_at, blocks[r].held_at)), now)
        self._ended.pop(request, None)
        # All entries decide at the same moment; those that saw a loss write the row.
        tried_at = NEVER if is_witness else now + WITNESS_LEAD_S - WRITE_INTERVAL_S
        self._blocks[request] = RequestBlock(now, tried_at=tried_at)
        self._on_decision("request blocked", request)

    def record_row(self, request: str, trials: int, now: float) -> None:
        """Record a row as read; a block that is new to this entry holds from now on."""
        if request in self._ended:
            return
        block = self._blocks.get(request)
        if block is None:
            block = RequestBlock(now)
            self._on_decision("request blocked", request)
        is_more = trials > block.trials
        self._blocks[request] = replace(
            block,
            trials=max(trials, block.trials),
            trial_at=now if is_more else block.trial_at,
            is_listed=True,
            changed_at=now,
        )

    def record_removal(self, request: str) -> bool:
        """Record that a row was removed; return whether the request was blocked until now."""
        is_ended = self._ended.pop(request, None) is not None
        if self._blocks.pop(request, None) is None:
            return is_ended
        self._on_decision("request released", request)
        return True

    def record_table(self, requests: set[str], is_restored: bool = False) -> None:
        """Record all rows of the table; blocks whose rows were removed meanwhile end.

        A table that was restored from a copy may have lost rows, which are written again.
        """
        for request, block in list(self._blocks.items()):
            if not block.is_listed or request in requests:
                continue
            if is_restored:
                self._blocks[request] = replace(block, is_listed=False, tried_at=NEVER)
            else:
                self.record_removal(request)
        self._ended = {r: at for r, at in self._ended.items() if r in requests}

    def end(self, request: str, now: float) -> None:
        """End a block for all entries."""
        if self._blocks.pop(request, None) is not None:
            self._ended[request] = NEVER
            self._on_decision("request released", request)

    def expire(self, now: float) -> None:
        """End blocks of requests that were not sent for long."""
        for request, block in list(self._blocks.items()):
            if now - max(block.hit_at, block.held_at, block.changed_at) > IDLE_LIFETIME_S:
                self.end(request, now)

    def find_wait(self, request: str, now: float) -> float | None:
        """Return the seconds after which to retry if a request is blocked, else None."""
        block = self._blocks.get(request)
        if block is None:
            return None
        self._blocks[request] = block = replace(block, hit_at=now)
        if block.is_granted:
            return None
        return min(max(MIN_RETRY_AFTER_S, block.left_s(now)), TRIAL_DELAYS_S[-1])

    def use_trial(self, request: str) -> bool:
        """Use up a granted trial as a request is sent; return whether it may be."""
        block = self._blocks.get(request)
        if block is None:
            return True
        if not block.is_granted:
            return False
        self._blocks[request] = replace(block, is_granted=False)
        self._on_decision("request on trial", request)
        return True

    def list_changes(self, now: float) -> dict[str, RowChange]:
        """Return the changes of rows that are due."""
        changes = {
            request: RowChange.REMOVE
            for request, tried_at in self._ended.items()
            if now - tried_at > WRITE_INTERVAL_S
        }
        for request, block in self._blocks.items():
            change = _find_change(block, now)
            if change is not None and now - block.tried_at > WRITE_INTERVAL_S:
                changes[request] = change
        return changes

    def record_try(self, request: str, now: float) -> None:
        """Record that a change of a row is tried now."""
        if request in self._ended:
            self._ended[request] = now
        elif request in self._blocks:
            self._blocks[request] = replace(self._blocks[request], tried_at=now)

    def grant_trial(self, request: str, number: int, now: float) -> None:
        """Allow the trial of this number, from 1, which no other entry has been granted."""
        block = self._blocks.get(request)
        if block is not None:
            trials = max(block.trials, number)
            self._blocks[request] = replace(block, is_granted=True, trials=trials, trial_at=now)

    def find_next(self, now: float) -> float:
        """Return the seconds until a change of a row may be due."""
        if not self._blocks and not self._ended:
            return float("inf")
        due_s = [block.left_s(now) for block in self._blocks.values()]
        return min([WRITE_INTERVAL_S, *(s for s in due_s if s > 0)])


def _find_change(block: RequestBlock, now: float) -> RowChange | None:
    if not block.is_listed:
        return RowChange.ADD
    if block.left_s(now) <= 0 and not block.is_granted and now - block.hit_at <= HIT_LIFETIME_S:
        return RowChange.TAKE_TRIAL
    if block.hit_at - block.changed_at > RENEWAL_INTERVAL_S:
        return RowChange.RENEW
    return None
