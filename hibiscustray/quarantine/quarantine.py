"""The blocks of one entry, decided from its own observations and the other entries' reports."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace

from hibiscustray.clock import read_clock
from hibiscustray.quarantine.evidence import SUCCESS_LIFETIME_S, LostPart, find_harmful_parts
from hibiscustray.quarantine.report import (
    MAX_BLOCKS,
    MAX_REPORTED_LOSSES,
    MAX_REPORTED_SUCCESSES,
    EntryReport,
    ReportedBlock,
    ReportedLoss,
    ReportedSuccess,
)
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

LOSS_LIFETIME_S = 60.0
MAX_PARTS_PER_LOSS = 32
MAX_SUCCESSES = 4096
"""Parts whose last success an entry remembers; the least recent one is forgotten first."""
MAX_OTHER_ENTRIES = 1000
MIN_REPORT_INTERVAL_S = 1.0
"""Time after which a further success with the same part is reported."""
MIN_SUSPECT_REPLICAS = 2
"""Replicas lost under a part before other entries report their successes with it."""
CONFIRM_S = 0.3
"""Time without a sign of life after which a lost response counts as the end of its replica."""
MIN_LIFE_SIGN_S = 0.1
"""Time in which data may still be read that a replica sent before it ended."""
SETTLE_S = 0.4
"""Time for the other entries' successes to arrive before a part is blocked."""
INITIAL_HOLD_S = 30.0
MAX_HOLD_S = 480.0
"""Time for which a block holds before one request probes it; doubles with each failed probe."""
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


@dataclass
class OtherEntry:
    """The latest report of another entry, with times of this machine's `read_clock`."""

    losses: list[LostPart] = field(default_factory=list)
    successes: dict[str, float] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)


class PartQuarantine:
    """Decides which requests are refused because of a part of their prompt; thread-safe.

    An entry that decides a block owns it: it alone probes the block, and the others keep it until
    the owner's report drops it. `on_change` is called when something was recorded that may lead to
    a decision, and `revision` increases with each change of the own report.
    """

    def __init__(
        self,
        entry_id: str,
        metrics: Metrics,
        clock: Callable[[], float] = read_clock,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_change = on_change
        self.revision = 0
        self._entry_id = entry_id
        self._metrics = metrics
        self._clock = clock
        self._losses: OrderedDict[tuple[str, str], LostPart] = OrderedDict()
        self._successes: OrderedDict[str, float] = OrderedDict()
        self._reported_successes: dict[str, float] = {}
        self._blocks: list[Block] = []
        self._others: dict[str, OtherEntry] = {}
        self._suspects: dict[str, int] = {}
        self._qualified_at: dict[str, float] = {}
        # Read without the lock, as it is asked for each event of a stream.
        self._lost_replicas: frozenset[str] = frozenset()
        self._lock = threading.RLock()

    def find_refusal(self, parts: Sequence[str], request_id: str) -> float | None:
        """Return the seconds after which to retry if a request is blocked, None if it may be sent.

        A request that is let through as a probe is identified by its id.
        """
        if not parts:
            return None
        with self._lock:
            if not self._blocks and not any(other.blocks for other in self._others.values()):
                return None
            present, now = frozenset(parts), self._clock()
            waits_s = [
                max(MIN_RETRY_AFTER_S, block.left_s(now))
                for other in self._others.values()
                for block in other.blocks
                if block.parts <= present
            ]
            # A probe must not pass one block only to be stopped by another.
            is_probe_possible = not waits_s
            for index, block in enumerate(self._blocks):
                if not block.parts <= present:
                    continue
                self._blocks[index] = block = replace(block, hit_at=now)
                if block.left_s(now) > 0:
                    waits_s.append(block.left_s(now))
                elif is_probe_possible and self._may_probe(block, request_id, now):
                    self._blocks[index] = replace(block, probe_id=request_id, probe_at=now)
                else:
                    waits_s.append(MIN_RETRY_AFTER_S)
            return max(waits_s, default=None)

    def record_loss(self, replica: str, parts: Sequence[str], sent_at: float) -> None:
        """Record that a replica broke off a request; `replica` identifies one start of it."""
        if not parts:
            return
        with self._lock:
            now = self._clock()
            by_suspicion = sorted(dict.fromkeys(parts), key=lambda p: -self._suspects.get(p, 0))
            for part in by_suspicion[:MAX_PARTS_PER_LOSS]:
                self._losses[replica, part] = LostPart(part, replica, sent_at, now)
            self._drop_excess_losses()
            self._change_losses()
            present = frozenset(parts)
            for index, block in enumerate(self._blocks):
                if block.probe_id and block.parts <= present:
                    hold_s = min(MAX_HOLD_S, 2 * block.hold_s)
                    self._blocks[index] = Block(block.parts, hold_s, now, hit_at=now)
                    self.revision += 1
                    self._log("prompt part block extended", self._blocks[index])
        self.on_change()

    def record_life_sign(self, replica: str) -> None:
        """Record that a replica responds, so that it has not ended."""
        if replica not in self._lost_replicas:
            return
        with self._lock:
            newest_at = self._clock() - MIN_LIFE_SIGN_S
            for key in [k for k, v in self._losses.items() if k[0] == replica]:
                if self._losses[key].lost_at <= newest_at:
                    del self._losses[key]
            self._change_losses()
        self.on_change()

    def record_success(self, parts: Sequence[str]) -> None:
        """Record that a replica completed a request, or did not end long after it had begun it."""
        is_changed = False
        with self._lock:
            now = self._clock()
            for part in parts:
                self._successes[part] = now
                self._successes.move_to_end(part)
                is_blocked = any(part in block.parts for block in self._list_blocks())
                is_suspect = self._suspects.get(part, 0) >= MIN_SUSPECT_REPLICAS
                reported_at = self._reported_successes.get(part, NEVER)
                if (is_blocked or is_suspect) and now - reported_at > MIN_REPORT_INTERVAL_S:
                    self._reported_successes[part] = now
                    self.revision += 1
                    is_changed = True
            while len(self._successes) > MAX_SUCCESSES:
                self._successes.popitem(last=False)
            self._release(frozenset(parts))
        if is_changed:
            self.on_change()

    def record_report(self, entry_id: str, report: EntryReport, written_at: float) -> None:
        """Record the report of another entry, written at a time of `read_clock`."""
        blocks = [
            Block(frozenset(b.parts), b.hold_s, written_at - b.age_s)
            for b in report.blocks
            if b.parts
        ]
        losses = [
            LostPart(loss.part, loss.replica, written_at - loss.sent_s, written_at - loss.lost_s)
            for loss in report.losses
        ]
        successes = {s.part: written_at - s.age_s for s in report.successes}
        with self._lock:
            if entry_id == self._entry_id:
                return
            if len(self._others) < MAX_OTHER_ENTRIES or entry_id in self._others:
                self._others[entry_id] = OtherEntry(losses, successes, blocks)
            for part in successes:
                self._release(frozenset((part,)))
        self.on_change()

    def continue_blocks(self, report: EntryReport, written_at: float) -> None:
        """Take over the blocks that this entry reported before it restarted."""
        with self._lock:
            for block in report.blocks:
                held_at = written_at - block.age_s
                self._add_block(Block(frozenset(block.parts), block.hold_s, held_at))

    def forget_report(self, entry_id: str) -> None:
        """Forget the report of an entry whose row was removed, and take over its blocks."""
        with self._lock:
            other = self._others.pop(entry_id, OtherEntry())
            for block in other.blocks:
                if not any(b.parts <= block.parts for b in self._list_blocks()):
                    self._add_block(block)
        self.on_change()

    def list_reported_entries(self) -> list[str]:
        """Return the ids of the other entries with a report."""
        with self._lock:
            return list(self._others)

    def update(self) -> float:
        """Decide blocks from what is known now; return the seconds until the next decision."""
        with self._lock:
            now = self._clock()
            self._expire(now)
            losses = [*self._list_confirmed_losses(now), *self._list_other_losses()]
            successes = self._merge_successes()
            self._find_suspects(losses, now)
            harmful = find_harmful_parts(losses, successes, now)
            wait_s = self._decide(harmful, now)
            self._adopt_blocks(now)
            self._drop_duplicate_blocks()
            self._metrics.set_gauge("prompt_part_blocks", len(list(self._list_blocks())))
            unconfirmed = [v.lost_at for v in self._losses.values() if now - v.lost_at < CONFIRM_S]
            if unconfirmed:
                wait_s = min(wait_s, min(unconfirmed) + CONFIRM_S - now)
            return wait_s

    def make_report(self) -> EntryReport:
        """Return this entry's report with the ages of its items as of now."""
        with self._lock:
            now = self._clock()
            return EntryReport(
                tuple(
                    ReportedLoss(
                        loss.part,
                        loss.replica,
                        round(now - loss.sent_at, 3),
                        round(now - loss.lost_at, 3),
                    )
                    for loss in self._list_confirmed_losses(now)
                ),
                tuple(
                    ReportedSuccess(part, round(now - at, 3))
                    for part, at in self._reported_successes.items()
                ),
                tuple(
                    ReportedBlock(tuple(sorted(b.parts)), b.hold_s, round(now - b.held_at, 3))
                    for b in self._blocks
                ),
            )

    def _list_confirmed_losses(self, now: float) -> list[LostPart]:
        return [loss for loss in self._losses.values() if now - loss.lost_at >= CONFIRM_S]

    def _change_losses(self) -> None:
        self.revision += 1
        self._lost_replicas = frozenset(replica for replica, _ in self._losses)

    def _list_blocks(self) -> Iterator[Block]:
        yield from self._blocks
        for other in self._others.values():
            yield from other.blocks

    def _list_other_losses(self) -> Iterator[LostPart]:
        for other in self._others.values():
            yield from other.losses

    def _may_probe(self, block: Block, request_id: str, now: float) -> bool:
        return block.probe_id in ("", request_id) or now - block.probe_at > PROBE_TIMEOUT_S

    def _release(self, parts: frozenset[str]) -> None:
        """Remove parts that are known to be harmless from the own blocks."""
        for index, block in reversed(list(enumerate(self._blocks))):
            if block.parts & parts:
                left = block.parts - parts
                if left:
                    self._blocks[index] = replace(block, parts=left)
                else:
                    del self._blocks[index]
                self.revision += 1
                self._log("prompt part released", block, released=sorted(block.parts & parts))

    def _drop_excess_losses(self) -> None:
        excess = len(self._losses) - MAX_REPORTED_LOSSES
        if excess > 0:
            by_suspicion = sorted(self._losses, key=lambda key: self._suspects.get(key[1], 0))
            for key in by_suspicion[:excess]:
                del self._losses[key]

    def _expire(self, now: float) -> None:
        expired = [k for k, v in self._losses.items() if now - v.lost_at > LOSS_LIFETIME_S]
        for key in expired:
            del self._losses[key]
        if expired:
            self._change_losses()
        for part, at in list(self._reported_successes.items()):
            if now - at > SUCCESS_LIFETIME_S:
                del self._reported_successes[part]
                self.revision += 1
        for other in self._others.values():
            other.losses = [x for x in other.losses if now - x.lost_at <= LOSS_LIFETIME_S]
        self._keep_blocks(
            lambda block: now - max(block.hit_at, block.held_at + block.hold_s)
            <= IDLE_BLOCK_LIFETIME_S
        )

    def _merge_successes(self) -> dict[str, float]:
        merged = dict(self._successes)
        for other in self._others.values():
            for part, at in other.successes.items():
                merged[part] = max(merged.get(part, NEVER), at)
        return merged

    def _find_suspects(self, losses: list[LostPart], now: float) -> None:
        """Find parts lost at several replicas and report the own successes with them."""
        known: dict[str, float] = dict(self._reported_successes)
        for other in self._others.values():
            for part, at in other.successes.items():
                known[part] = max(known.get(part, NEVER), at)
        replicas: dict[str, set[str]] = {}
        for loss in losses:
            if loss.lost_at > known.get(loss.part, NEVER):
                replicas.setdefault(loss.part, set()).add(loss.replica)
        self._suspects = {part: len(lost) for part, lost in replicas.items()}
        for part, count in self._suspects.items():
            at = self._successes.get(part, NEVER)
            is_news = at > known.get(part, NEVER) and now - at <= SUCCESS_LIFETIME_S
            if count >= MIN_SUSPECT_REPLICAS and is_news:
                self._reported_successes[part] = at
                self.revision += 1
        while len(self._reported_successes) > MAX_REPORTED_SUCCESSES:
            oldest = min(self._reported_successes, key=self._reported_successes.__getitem__)
            del self._reported_successes[oldest]

    def _decide(self, harmful: list[frozenset[str]], now: float) -> float:
        """Block harmful parts that the other entries had time to speak for."""
        current = frozenset().union(*harmful)
        self._qualified_at = {p: self._qualified_at.get(p, now) for p in current}
        wait_s = float("inf")
        for parts in harmful:
            if any(block.parts <= parts for block in self._list_blocks()):
                continue
            left_s = min(self._qualified_at[p] for p in parts) + SETTLE_S - now
            if left_s > 0:
                wait_s = min(wait_s, left_s)
                continue
            self._keep_blocks(lambda block, parts=parts: not parts < block.parts)
            self._add_block(Block(parts, INITIAL_HOLD_S, now, hit_at=now))
        return wait_s

    def _add_block(self, block: Block) -> None:
        if len(self._blocks) >= MAX_BLOCKS:
            self._blocks.remove(min(self._blocks, key=lambda b: max(b.hit_at, b.held_at)))
        self._blocks.append(block)
        self.revision += 1
        self._log("prompt part blocked", block)

    def _adopt_blocks(self, now: float) -> None:
        """Take over the blocks of entries that did not probe them when they were due."""
        for other in self._others.values():
            for block in list(other.blocks):
                if now - block.held_at > ADOPTION_FACTOR * block.hold_s + PROBE_TIMEOUT_S:
                    other.blocks.remove(block)
                    if not any(b.parts <= block.parts for b in self._list_blocks()):
                        # Its hold is over, so the next request may probe it.
                        self._add_block(replace(block, held_at=now - block.hold_s, hit_at=now))

    def _drop_duplicate_blocks(self) -> None:
        """Leave a block that several entries decided at the same time to one of them."""
        for entry_id, other in self._others.items():
            if entry_id < self._entry_id:
                theirs = {block.parts for block in other.blocks}
                self._keep_blocks(lambda block, theirs=theirs: block.parts not in theirs)

    def _keep_blocks(self, is_kept: Callable[[Block], bool]) -> None:
        kept = [block for block in self._blocks if is_kept(block)]
        if len(kept) < len(self._blocks):
            self._blocks = kept
            self.revision += 1

    def _log(self, message: str, block: Block, **details: object) -> None:
        parts = sorted(block.parts)
        replicas = sorted(
            {x.replica for x in self._losses.values() if x.part in block.parts}
            | {x.replica for x in self._list_other_losses() if x.part in block.parts}
        )
        log.warning(
            message,
            extra={"parts": parts[:8], "replicas": replicas[:8], "hold_s": block.hold_s} | details,
        )
        self._metrics.count("prompt_part_decisions_total", {"decision": message})
