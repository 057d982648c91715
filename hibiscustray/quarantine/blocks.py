"""The blocks that an entry owns: how long they hold, which request probes them, when they end."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from hibiscustray.quarantine.report import MAX_BLOCKS

MAX_HOLD_S = 480.0
"""Longest time for which a block holds before one request probes it; doubles after each probe."""
PROBE_TIMEOUT_S = 10.0
"""Time after which another request may probe if the outcome of a probe is not known."""
ADOPTION_FACTOR = 2.0
"""Multiple of its hold after which another entry's block is taken over, as that entry is gone."""
IDLE_BLOCK_LIFETIME_S = 900.0
"""Time without a matching request after which a block is forgotten."""
MIN_RETRY_AFTER_S = 1.0
NEVER = float("-inf")


@dataclass(frozen=True)
class Block:
    """Requests that have all `parts` are refused from `held_at` for `hold_s` seconds.

    After that, one request at a time may pass as a probe; `probe_id` is its id.
    """

    parts: frozenset[str]
    hold_s: float
    held_at: float
    probe_id: str = ""
    probe_at: float = NEVER
    hit_at: float = NEVER

    def left_s(self, now: float) -> float:
        """Return the seconds until the block may be probed, negative after that time."""
        return self.held_at + self.hold_s - now

    def is_overdue(self, now: float) -> bool:
        """Return whether the owner of the block should have probed it long ago."""
        return now - self.held_at > ADOPTION_FACTOR * self.hold_s + PROBE_TIMEOUT_S


class OwnBlocks:
    """The blocks that this entry decided or took over; not thread-safe.

    `on_decision` is called with a message, a block and details. `revision` increases with each
    change of what the entry reports.
    """

    def __init__(self, on_decision: Callable[..., None]) -> None:
        self.revision = 0
        self._on_decision = on_decision
        self._blocks: list[Block] = []

    def __iter__(self):
        return iter(self._blocks)

    def __bool__(self) -> bool:
        return bool(self._blocks)

    def add(self, block: Block) -> None:
        """Add a block; if there are too many, forget the one that was last asked for."""
        if len(self._blocks) >= MAX_BLOCKS:
            self._blocks.remove(min(self._blocks, key=lambda b: max(b.hit_at, b.held_at)))
        self._blocks.append(block)
        self.revision += 1
        self._on_decision("prompt part blocked", block)

    def find_waits(
        self, present: frozenset[str], request_id: str, now: float, is_probe_possible: bool
    ) -> list[float]:
        """Return the seconds after which to retry for each block that refuses a request."""
        waits_s: list[float] = []
        for index, block in enumerate(self._blocks):
            if not block.parts <= present:
                continue
            self._blocks[index] = block = replace(block, hit_at=now)
            if block.left_s(now) > 0:
                waits_s.append(block.left_s(now))
            elif is_probe_possible and _may_probe(block, request_id, now):
                self._blocks[index] = replace(block, probe_id=request_id, probe_at=now)
            else:
                waits_s.append(MIN_RETRY_AFTER_S)
        return waits_s

    def extend(self, present: frozenset[str], now: float) -> None:
        """Hold blocks longer whose probe was lost with these parts."""
        for index, block in enumerate(self._blocks):
            if block.probe_id and block.parts <= present:
                hold_s = min(MAX_HOLD_S, 2 * block.hold_s)
                self._blocks[index] = Block(block.parts, hold_s, now, hit_at=now)
                self.revision += 1
                self._on_decision("prompt part block extended", self._blocks[index])

    def release(self, parts: frozenset[str]) -> None:
        """Remove parts that are known to be harmless from the blocks."""
        for index, block in reversed(list(enumerate(self._blocks))):
            if block.parts & parts:
                left = block.parts - parts
                if left:
                    self._blocks[index] = replace(block, parts=left)
                else:
                    del self._blocks[index]
                self.revision += 1
                released = sorted(block.parts & parts)
                self._on_decision("prompt part released", block, released=released)

    def drop_wider(self, parts: frozenset[str]) -> None:
        """Forget blocks of more parts than these, which are to be blocked."""
        self._keep(lambda block: not parts < block.parts)

    def drop_duplicates(self, others: Iterable[Block]) -> None:
        """Forget blocks that another entry owns."""
        theirs = {block.parts for block in others}
        self._keep(lambda block: block.parts not in theirs)

    def expire(self, now: float) -> None:
        """Forget blocks for which no request asked for a long time."""
        self._keep(
            lambda block: now - max(block.hit_at, block.held_at + block.hold_s)
            <= IDLE_BLOCK_LIFETIME_S
        )

    def _keep(self, is_kept: Callable[[Block], bool]) -> None:
        kept = [block for block in self._blocks if is_kept(block)]
        if len(kept) < len(self._blocks):
            self._blocks = kept
            self.revision += 1


def _may_probe(block: Block, request_id: str, now: float) -> bool:
    return block.probe_id in ("", request_id) or now - block.probe_at > PROBE_TIMEOUT_S
