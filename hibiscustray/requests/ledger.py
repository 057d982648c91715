"""An in-memory record of the non-idempotent requests that one agent incarnation started."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cachetools import TTLCache

RECORD_TTL_S = 900.0
LEDGER_CAPACITY_B = 16 * 1024 * 1024

RECORD_OVERHEAD_B = 512
"""Estimated size of a record without its response."""

MAX_RESPONSE_B = 64 * 1024
"""Largest response that is stored for repeats."""


@dataclass(frozen=True)
class NewKey:
    """The key was unknown; it is now in the ledger and its request may run."""


@dataclass(frozen=True)
class InProgress:
    """The first request with this key has started and not finished."""


@dataclass(frozen=True)
class RecordedResponse:
    """The complete response to the first request with this key."""

    payloads: tuple[bytes, ...]
    status: int
    content_type: str

    @property
    def size(self) -> int:
        """Return the size of the response in bytes."""
        return sum(map(len, self.payloads))


@dataclass(frozen=True)
class Uncertain:
    """The first request with this key may have run, and its response is unknown."""

    detail: str


@dataclass(frozen=True)
class BodyMismatch:
    """The key was already used with another request body."""


@dataclass(frozen=True)
class LedgerFull:
    """The ledger has no space for another key."""


Outcome = InProgress | RecordedResponse | Uncertain


@dataclass(frozen=True)
class Record:
    """A key's request body digest and outcome."""

    body_digest: str
    outcome: Outcome


class Ledger:
    """A bounded store of keys; a key is only released if its request did not run.

    No record is evicted before `RECORD_TTL_S` after its request finished: when the ledger is full,
    new keys are refused.
    """

    def __init__(
        self, timer: Callable[[], float] = time.monotonic, capacity_b: int = LEDGER_CAPACITY_B
    ) -> None:
        self._records: TTLCache[str, Record] = TTLCache(
            capacity_b, RECORD_TTL_S, timer, _measure_record
        )
        # Body digests of running requests, which have no end of life.
        self._running: dict[str, str] = {}
        self._changed = threading.Condition()

    def begin(self, key: str, body_digest: str) -> NewKey | Outcome | BodyMismatch | LedgerFull:
        """Add a key, or return the outcome of the first request with it."""
        with self._changed:
            record = self._find(key)
            if record is None:
                return self._add_key(key, body_digest)
            if record.body_digest != body_digest:
                return BodyMismatch()
            return record.outcome

    def finish(self, key: str, outcome: RecordedResponse | Uncertain) -> None:
        """Store the outcome of a request for repeats with the same key."""
        with self._changed:
            body_digest = self._running.pop(key, None)
            if body_digest is None:
                return
            self._records[key] = Record(body_digest, self._limit_size(outcome))
            self._changed.notify_all()

    def release(self, key: str) -> None:
        """Remove a key whose request certainly did not run."""
        with self._changed:
            self._running.pop(key, None)
            self._records.pop(key, None)
            self._changed.notify_all()

    def wait(self, key: str, timeout_s: float) -> Outcome | None:
        """Wait for the first request to finish and return its outcome, None if it did not run."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_running(key), timeout_s)
            record = self._find(key)
            return record.outcome if record else None

    def list_finished(self) -> list[tuple[str, Record]]:
        """Return the records of finished requests."""
        with self._changed:
            return list(self._records.items())

    def _find(self, key: str) -> Record | None:
        if key in self._running:
            return Record(self._running[key], InProgress())
        return self._records.get(key)

    def _is_running(self, key: str) -> bool:
        return key in self._running

    def _add_key(self, key: str, body_digest: str) -> NewKey | LedgerFull:
        self._records.expire()
        if self._measure() + RECORD_OVERHEAD_B > self._records.maxsize:
            return LedgerFull()
        self._running[key] = body_digest
        return NewKey()

    def _measure(self) -> int:
        return self._records.currsize + len(self._running) * RECORD_OVERHEAD_B

    def _limit_size(self, outcome: RecordedResponse | Uncertain) -> RecordedResponse | Uncertain:
        if isinstance(outcome, Uncertain):
            return outcome
        is_small = outcome.size <= MAX_RESPONSE_B
        if is_small and self._measure() + RECORD_OVERHEAD_B + outcome.size <= self._records.maxsize:
            return outcome
        return Uncertain("the request ran, but its response is too large to be stored")


def _measure_record(record: Record) -> int:
    if isinstance(record.outcome, RecordedResponse):
        return RECORD_OVERHEAD_B + record.outcome.size
    return RECORD_OVERHEAD_B
