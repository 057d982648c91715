"""The quarantine of one entry, decided from its own observations and the others' reports."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace

from hibiscustray.clock import read_clock
from hibiscustray.quarantine.blocks import (
    MAX_HOLD_S,
    MIN_RETRY_AFTER_S,
    PROBE_TIMEOUT_S,
    Block,
    OwnBlocks,
)
from hibiscustray.quarantine.evidence import (
    REQUEST_PREFIX,
    LostPart,
    find_harmful_parts,
    find_harmful_requests,
    is_request,
)
from hibiscustray.quarantine.ledger import (
    LOSS_LIFETIME_S,
    MAX_SUCCESSES,
    REQUEST_LIMITS,
    EvidenceLedger,
    merge_successes,
)
from hibiscustray.quarantine.others import (
    OtherEntry,
    find_suspicious,
    is_current,
    read_losses,
    report_blocks,
    report_losses,
    report_successes,
)
from hibiscustray.quarantine.report import EntryReport
from hibiscustray.quarantine.requests import RequestBlocks, RowChange
from hibiscustray.telemetry import Metrics

__all__ = [
    "INITIAL_HOLD_S",
    "LOSS_LIFETIME_S",
    "MAX_HOLD_S",
    "MAX_SUCCESSES",
    "PROBE_TIMEOUT_S",
    "PartQuarantine",
]

log = logging.getLogger(__name__)

MAX_OTHER_ENTRIES = 1000
MAX_LOGGED_REPLICAS = 8
NEVER = float("-inf")
SETTLE_S = 0.4
"""Time for the other entries' successes to arrive before a part is blocked."""
MAX_LOAD_WAIT_S = 2.0
"""Wait for the table after the first question, longer than a read of it takes with retries."""
INITIAL_HOLD_S = 30.0
"""Time for which a new block holds before one request probes it."""


class PartQuarantine:
    """Decides which requests are refused for themselves or a part of their prompt; thread-safe.

    An entry that decides a block of parts owns it: it alone probes the block, and the others keep
    it until the owner's report drops it. Blocks of whole requests belong to no entry; a row for
    each holds for all. The parts of a request that all methods take include the request itself.
    `on_change` is called when something was recorded that may lead to a decision, and `revision`
    increases with each change of the own report.
    """

    def __init__(
        self,
        entry_id: str,
        metrics: Metrics,
        clock: Callable[[], float] = read_clock,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_change = on_change
        self._entry_id = entry_id
        self._metrics = metrics
        self._clock = clock
        self._ledger = EvidenceLedger()
        self._requests = EvidenceLedger(REQUEST_LIMITS)
        self._blocks = OwnBlocks(self._log)
        self._request_blocks = RequestBlocks(self._log_request)
        self._others: dict[str, OtherEntry] = {}
        self._qualified_at: dict[str, float] = {}
        self._is_loaded = False
        self._awaited_since: float | None = None
        self._lock = threading.RLock()

    @property
    def revision(self) -> int:
        """Return a number that increases with each change of the own report."""
        return self._ledger.revision + self._requests.revision + self._blocks.revision

    @property
    def is_loaded(self) -> bool:
        """Return whether the table has been read, so that all blocks are known."""
        return self._is_loaded

    def is_usable(self) -> bool:
        """Return whether requests may be sent: the table has been read, or cannot be for a while.

        Without the table an entry refuses what it knows from its own observations.
        """
        if self._is_loaded:
            return True
        with self._lock:
            now = self._clock()
            if self._awaited_since is None:
                self._awaited_since = now
            return now - self._awaited_since >= MAX_LOAD_WAIT_S

    def find_refusal(self, parts: Sequence[str], request_id: str) -> float | None:
        """Return the seconds after which to retry if a request is blocked, None if it may be sent.

        A request that is let through as a probe is identified by its id.
        """
        if not parts:
            return None
        with self._lock:
            others = [block for other in self._others.values() for block in other.blocks]
            if not self._blocks and not others and not self._request_blocks:
                return None
            present, now = frozenset(parts), self._clock()
            requests = [part for part in parts if is_request(part)]
            waits_s = [
                max(MIN_RETRY_AFTER_S, block.left_s(now))
                for block in others
                if block.parts <= present
            ]
            for request in requests:
                wait_s = self._request_blocks.find_wait(request, now)
                waits_s += [wait_s] if wait_s is not None else []
            # A probe must not pass one block only to be stopped by another.
            is_probe_possible = not waits_s
            waits_s += self._blocks.find_waits(present, request_id, now, is_probe_possible)
            return max(waits_s, default=None)

    def use_trial(self, parts: Sequence[str]) -> bool:
        """Use up the trial of a request that is about to be sent; return whether it may be."""
        with self._lock:
            requests = [part for part in parts if is_request(part)]
            return all(self._request_blocks.use_trial(request) for request in requests)

    def record_loss(self, replica: str, parts: Sequence[str], sent_at: float) -> None:
        """Record that a replica broke off a request; `replica` identifies one start of it."""
        if not parts:
            return
        with self._lock:
            now = self._clock()
            shared = [part for part in parts if not is_request(part)]
            if shared:
                self._ledger.add_losses(replica, shared, sent_at, now)
            requests = [part for part in parts if is_request(part)]
            if requests:
                self._requests.add_losses(replica, requests, sent_at, now)
            self._blocks.extend(frozenset(parts), now)
        self.on_change()

    def record_life_sign(self, replica: str) -> None:
        """Record that a replica responds, so that it has not ended."""
        # Read without the lock, as it is asked for each event of a stream.
        ledgers = [x for x in (self._ledger, self._requests) if replica in x.lost_replicas]
        if not ledgers:
            return
        with self._lock:
            for ledger in ledgers:
                ledger.withdraw_losses(replica, self._clock())
        self.on_change()

    def record_success(self, parts: Sequence[str]) -> None:
        """Record that a replica completed a request, or did not end long after it had begun it."""
        is_changed = False
        with self._lock:
            now = self._clock()
            for part in parts:
                if is_request(part):
                    is_blocked = part in self._request_blocks
                    is_changed |= self._requests.add_success(part, is_blocked, now) or is_blocked
                    self._request_blocks.end(part, now)
                else:
                    is_blocked = any(part in block.parts for block in self._list_blocks())
                    is_changed |= self._ledger.add_success(part, is_blocked, now)
            self._blocks.release(frozenset(parts))
        if is_changed:
            self.on_change()

    def record_report(self, entry_id: str, report: EntryReport, written_at: float) -> None:
        """Record the report of another entry, written at a time of `read_clock`."""
        blocks = [
            Block(frozenset(b.parts), b.hold_s, written_at - b.age_s)
            for b in report.blocks
            if b.parts
        ]
        losses = read_losses([*report.losses, *report.request_losses], written_at)
        reported = [*report.successes, *report.request_successes]
        successes = {s.part: written_at - s.age_s for s in reported}
        with self._lock:
            if entry_id == self._entry_id:
                return
            previous = self._others.get(entry_id, OtherEntry())
            has_blocks_left = False
            if report.has_left:
                if not previous.has_left:
                    self._take_over(blocks)
                has_blocks_left, blocks = bool(blocks), []
            if len(self._others) < MAX_OTHER_ENTRIES or entry_id in self._others:
                other = OtherEntry(losses, successes, blocks, report.has_left, has_blocks_left)
                self._others[entry_id] = other
            for part in successes:
                self._blocks.release(frozenset((part,)))
        self.on_change()

    def record_request_row(self, request: str, trials: int) -> None:
        """Record the row of a blocked request, with the trials that all entries took."""
        with self._lock:
            self._request_blocks.record_row(request, trials, self._clock())
        self.on_change()

    def record_request_removal(self, request: str) -> None:
        """Record that the row of a blocked request was removed, as it is harmless."""
        with self._lock:
            if self._request_blocks.record_removal(request):
                self._requests.drop(request)
                for other in self._others.values():
                    other.losses = [loss for loss in other.losses if loss.part != request]
        self.on_change()

    def record_request_table(self, requests: set[str], is_restored: bool = False) -> None:
        """Record that the whole table has been read, and which requests have a row.

        What a table that was restored from a copy may have lost is written again.
        """
        with self._lock:
            self._request_blocks.record_table(requests, is_restored)
            self._is_loaded = True
            if is_restored:
                self._ledger.revision += 1
        self.on_change()

    def list_row_changes(self) -> dict[str, RowChange]:
        """Return the changes of rows of blocked requests that are due; they count as tried."""
        with self._lock:
            now = self._clock()
            changes = self._request_blocks.list_changes(now)
            for request in changes:
                self._request_blocks.record_try(request, now)
            return changes

    def grant_trial(self, request: str, number: int) -> None:
        """Allow a trial, whose number this entry alone wrote to the store."""
        with self._lock:
            self._request_blocks.grant_trial(request, number, self._clock())

    def continue_blocks(self, report: EntryReport, written_at: float) -> None:
        """Take over what this entry reported before it restarted and still counts."""
        with self._lock:
            for block in report.blocks:
                held_at = written_at - block.age_s
                self._blocks.add(Block(frozenset(block.parts), block.hold_s, held_at))
            self._requests.restore(read_losses(report.request_losses, written_at))

    def forget_report(self, entry_id: str) -> None:
        """Forget the report of an entry whose row was removed, and take over its blocks."""
        with self._lock:
            self._take_over(self._others.pop(entry_id, OtherEntry()).blocks)
        self.on_change()

    def make_last_report(self, entry_id: str) -> EntryReport | None:
        """Return what of an entry's report outlives the entry, None if nothing does."""
        with self._lock:
            now = self._clock()
            if entry_id == self._entry_id:
                losses, blocks = list(self._requests.losses.values()), list(self._blocks)
            else:
                other = self._others.get(entry_id, OtherEntry())
                losses = [loss for loss in other.losses if is_request(loss.part)]
                blocks = other.blocks
            if not losses and not blocks:
                return None
            return EntryReport(
                blocks=report_blocks(blocks, now),
                request_losses=report_losses(losses, now),
                has_left=True,
            )

    def list_spent_reports(self) -> list[str]:
        """Return the entries that have left and whose rows hold what no longer counts there."""
        with self._lock:
            return [
                entry_id
                for entry_id, other in self._others.items()
                if other.has_left and (other.has_blocks_left or not other.losses)
            ]

    def list_reported_entries(self) -> list[str]:
        """Return the ids of the other entries with a report."""
        with self._lock:
            return list(self._others)

    def update(self) -> float:
        """Decide blocks from what is known now; return the seconds until the next decision."""
        with self._lock:
            now = self._clock()
            self._expire(now)
            self._end_refuted_blocks(now)
            successes = self._find_successes()
            self._requests.drop_void(successes)
            for other in self._others.values():
                other.losses = [x for x in other.losses if is_current(x, successes, now)]
            own = [*self._ledger.list_confirmed(now), *self._requests.list_confirmed(now)]
            losses = find_suspicious([*own, *self._list_other_losses()])
            others = merge_successes(*self._list_other_successes())
            self._ledger.update_suspects((x for x in losses if not is_request(x.part)), others, now)
            self._requests.update_suspects((x for x in losses if is_request(x.part)), others, now)
            harmful = find_harmful_parts(losses, successes, now)
            harmful_parts = frozenset().union(*harmful)
            requests = find_harmful_requests(losses, successes, harmful_parts, now)
            harmful += [frozenset((request,)) for request in requests]
            wait_s = self._decide(harmful, now)
            self._requests.blocked = frozenset(self._request_blocks)
            self._adopt_blocks(now)
            self._drop_duplicate_blocks()
            self._metrics.set_gauge("prompt_part_blocks", len(list(self._list_blocks())))
            self._metrics.set_gauge("request_blocks", len(self._request_blocks))
            confirmation_s = min(x.find_confirmation(now) for x in (self._ledger, self._requests))
            return min(wait_s, confirmation_s, self._request_blocks.find_next(now))

    def make_report(self) -> EntryReport:
        """Return this entry's report with the ages of its items as of now."""
        with self._lock:
            now = self._clock()
            return EntryReport(
                report_losses(self._ledger.list_confirmed(now), now),
                report_successes(self._ledger.reported_successes, now),
                report_blocks(self._blocks, now),
                report_losses(self._requests.list_confirmed(now), now),
                report_successes(self._requests.reported_successes, now),
            )

    def _find_successes(self) -> dict[str, float]:
        """Return the last successes of the parts and requests that anyone lost."""
        own = [loss.part for loss in self._ledger.losses.values()]
        requests = [loss.part for loss in self._requests.losses.values()]
        lost = [*self._requests.losses.values(), *self._list_other_losses()]
        others = {loss.part for loss in find_suspicious(lost)}
        return merge_successes(
            self._ledger.successes.find([*own, *others]),
            self._requests.successes.find([*requests, *others]),
            *self._list_other_successes(),
        )

    def _end_refuted_blocks(self, now: float) -> None:
        """End blocks of requests that completed after all their losses, maybe before the block."""
        if not self._request_blocks:
            return
        lost_at: dict[str, float] = {}
        for loss in [*self._requests.losses.values(), *self._list_other_losses()]:
            lost_at[loss.part] = max(lost_at.get(loss.part, NEVER), loss.lost_at)
        completed = merge_successes(
            self._requests.successes.find(self._request_blocks), *self._list_other_successes()
        )
        for request in self._request_blocks:
            if request in lost_at and completed.get(request, NEVER) > lost_at[request]:
                self._request_blocks.end(request, now)

    def _take_over(self, blocks: list[Block]) -> None:
        for block in blocks:
            if not any(b.parts <= block.parts for b in self._list_blocks()):
                self._blocks.add(block)

    def _list_blocks(self) -> Iterator[Block]:
        yield from self._blocks
        for other in self._others.values():
            yield from other.blocks

    def _list_other_losses(self) -> Iterator[LostPart]:
        for other in self._others.values():
            yield from other.losses

    def _list_other_successes(self) -> Iterator[dict[str, float]]:
        for other in self._others.values():
            yield other.successes

    def _expire(self, now: float) -> None:
        self._ledger.expire(now)
        self._ledger.record_confirmations(now)
        self._requests.expire(now)
        self._requests.record_confirmations(now)
        self._blocks.expire(now)
        self._request_blocks.expire(now)

    def _decide(self, harmful: list[frozenset[str]], now: float) -> float:
        """Block harmful parts that the other entries had time to speak for."""
        current = frozenset().union(*harmful)
        self._qualified_at = {p: self._qualified_at.get(p, now) for p in current}
        wait_s = float("inf")
        for parts in harmful:
            requests = [part for part in parts if is_request(part)]
            if any(r in self._request_blocks for r in requests):
                continue
            if any(block.parts <= parts for block in self._list_blocks()):
                continue
            left_s = min(self._qualified_at[p] for p in parts) + SETTLE_S - now
            if left_s > 0:
                wait_s = min(wait_s, left_s)
                continue
            if requests:
                is_witness = any(x.part in requests for x in self._requests.losses.values())
                self._request_blocks.hold(requests[0], is_witness, now)
                continue
            self._blocks.drop_wider(parts)
            self._blocks.add(Block(parts, INITIAL_HOLD_S, now, hit_at=now))
        return wait_s

    def _adopt_blocks(self, now: float) -> None:
        """Take over the blocks of entries that did not probe them when they were due."""
        for other in self._others.values():
            for block in list(other.blocks):
                if block.is_overdue(now):
                    other.blocks.remove(block)
                    if not any(b.parts <= block.parts for b in self._list_blocks()):
                        # Its hold is over, so the next request may probe it.
                        self._blocks.add(replace(block, held_at=now - block.hold_s, hit_at=now))

    def _drop_duplicate_blocks(self) -> None:
        """Leave a block that several entries decided at the same time to one of them."""
        for entry_id, other in self._others.items():
            if entry_id < self._entry_id:
                self._blocks.drop_duplicates(other.blocks)

    def _log(self, message: str, block: Block, **details: object) -> None:
        log.warning(
            message,
            extra={
                "parts": sorted(block.parts)[:8],
                "replicas": self._list_lost_replicas(block.parts),
                "hold_s": block.hold_s,
            }
            | details,
        )
        self._metrics.count("prompt_part_decisions_total", {"decision": message})

    def _log_request(self, message: str, request: str) -> None:
        replicas = self._list_lost_replicas(frozenset((request,)))
        digest = request.removeprefix(REQUEST_PREFIX)
        log.warning(message, extra={"digest": digest, "replicas": replicas})
        self._metrics.count("request_decisions_total", {"decision": message})

    def _list_lost_replicas(self, parts: frozenset[str]) -> list[str]:
        own = [*self._ledger.losses.values(), *self._requests.losses.values()]
        losses = [*own, *self._list_other_losses()]
        return sorted({loss.replica for loss in losses if loss.part in parts})[:MAX_LOGGED_REPLICAS]
