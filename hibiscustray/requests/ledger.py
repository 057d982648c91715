"""The memory of one agent incarnation of the non-idempotent requests that it started."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from cachetools import TTLCache

RECORD_TTL_S = 900.0
LEDGER_CAPACITY_B = 16 * 1024 * 1024
RECORD_OVERHEAD_B = 512
MAX_RESPONSE_B = 64 * 1024


@dataclass(frozen=True)
class NewKey:
    """The key was not seen; it is now taken and the request may run."""


@dataclass(frozen=True)
class InProgress:
    """The first request with this key was started and has not finished."""


@dataclass(frozen=True)
class RecordedResponse:
    """The first request with this key finished with this answer."""

    payloads: tuple[bytes, ...]
    status: int
    content_type: str

    @property
    def size(self) -> int:
        """Return the bytes of the answer."""
        return sum(map(len, self.payloads))


@dataclass(frozen=True)
class Uncertain:
    """The first request with this key was started and its answer is not known."""

    detail: str


@dataclass(frozen=True)
class BodyMismatch:
    """The key was used before with another body."""


@dataclass(frozen=True)
class LedgerFull:
    """There is no room to remember another key."""


Outcome = InProgress | RecordedResponse | Uncertain


@dataclass(frozen=True)
class Record:
    """What is kept of a key."""

    body_digest: str
    outcome: Outcome


class Ledger:
    """An aggregate of keys; a key once taken is given back only if its request did not run.

    A record is never dropped before `RECORD_TTL_S`: when the memory is full, new keys are refused.
    """

    def __init__(
        self, timer: Callable[[], float] = time.monotonic, capacity_b: int = LEDGER_CAPACITY_B
    ) -> None:
        self._records: TTLCache[str, Record] = TTLCache(
            capacity_b, RECORD_TTL_S, timer, _measure_record
        )
        self._changed = threading.Condition()

    def begin(self, key: str, body_digest: str) -> NewKey | Outcome | BodyMismatch | LedgerFull:
        """Take a key, or tell what became of the first request that took it."""
        with self._changed:
            record = self._records.get(key)
            if record is None:
                return self._add_key(key, body_digest)
            if record.body_digest != body_digest:
                return BodyMismatch()
            return record.outcome

    def finish(self, key: str, outcome: RecordedResponse | Uncertain) -> None:
        """Keep what became of the request for later ones with the same key."""
        with self._changed:
            record = self._records.get(key)
            if record is None:
                return
            self._records[key] = Record(record.body_digest, self._limit_size(outcome))
            self._changed.notify_all()

    def release(self, key: str) -> None:
        """Forget a key whose request certainly did not run."""
        with self._changed:
            self._records.pop(key, None)
            self._changed.notify_all()

    def wait(self, key: str, timeout_s: float) -> Outcome | None:
        """Wait while the first request runs; None when its key was given back."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_running(key), timeout_s)
            record = self._records.get(key)
            return record.outcome if record else None

    def list_finished(self) -> list[tuple[str, Record]]:
        """Return the records of requests that are over."""
        with self._changed:
            return [
                (key, record)
                for key, record in self._records.items()
                if not isinstance(record.outcome, InProgress)
            ]

    def _is_running(self, key: str) -> bool:
        record = self._records.get(key)
        return record is not None and isinstance(record.outcome, InProgress)

    def _add_key(self, key: str, body_digest: str) -> NewKey | LedgerFull:
        self._records.expire()
        if self._records.currsize + RECORD_OVERHEAD_B > self._records.maxsize:
            return LedgerFull()
        self._records[key] = Record(body_digest, InProgress())
        return NewKey()

    def _limit_size(self, outcome: RecordedResponse | Uncertain) -> RecordedResponse | Uncertain:
        if isinstance(outcome, Uncertain):
            return outcome
        is_small = outcome.size <= MAX_RESPONSE_B
        if is_small and self._records.currsize + outcome.size <= self._records.maxsize:
            return outcome
        return Uncertain("the request ran, but its answer is too large to be kept")


def _measure_record(record: Record) -> int:
    if isinstance(record.outcome, RecordedResponse):
        return RECORD_OVERHEAD_B + record.outcome.size
    return RECORD_OVERHEAD_B
