"""The memory of one agent incarnation of the non-idempotent requests that it started."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from cachetools import TTLCache

KEPT_S = 3600.0
KEPT_COUNT = 100_000


@dataclass(frozen=True)
class Fresh:
    """The key was not seen; it is now taken and the request may run."""


@dataclass(frozen=True)
class Running:
    """The first request with this key was started and has not finished."""


@dataclass(frozen=True)
class Repeat:
    """The first request with this key finished with this answer."""

    payloads: tuple[bytes, ...]
    status: int
    content_type: str


@dataclass(frozen=True)
class Mismatch:
    """The key was used before with another body."""


@dataclass(frozen=True)
class Record:
    """What is kept of a key."""

    body_digest: str
    outcome: Running | Repeat


class Ledger:
    """An aggregate of keys; a key once taken is given back only if its request did not run."""

    def __init__(self) -> None:
        self._records: TTLCache[str, Record] = TTLCache(KEPT_COUNT, KEPT_S)
        self._lock = threading.Lock()

    def begin(self, key: str, body_digest: str) -> Fresh | Running | Repeat | Mismatch:
        """Take a key, or tell what became of the first request that took it."""
        with self._lock:
            record = self._records.get(key)
            if record is None:
                self._records[key] = Record(body_digest, Running())
                return Fresh()
            if record.body_digest != body_digest:
                return Mismatch()
            return record.outcome

    def finish(self, key: str, answer: Repeat) -> None:
        """Keep the answer for later requests with the same key."""
        with self._lock:
            record = self._records.get(key)
            if record is not None:
                self._records[key] = Record(record.body_digest, answer)

    def give_back(self, key: str) -> None:
        """Forget a key whose request certainly did not run."""
        with self._lock:
            self._records.pop(key, None)
