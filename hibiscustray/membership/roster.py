"""The entries that share the limits of replicas, by their rows in a table that all follow."""

from __future__ import annotations

import heapq
import threading
from collections.abc import Callable, Iterable

from xxhash import xxh64_intdigest

from hibiscustray.clock import read_clock

ROW_LIFETIME_S = 900.0
"""Time without a change after which a row's entry counts as gone; entries renew their rows."""
DEFAULT_ENTRIES = 12
"""Entries assumed until the table has been read."""


class EntryRoster:
    """Counts the entries; thread-safe. `on_count` is called with each new count.

    An entry that is gone counts until its row is removed, so that the others' shares are too small
    rather than too large.
    """

    def __init__(
        self,
        own_id: str,
        on_count: Callable[[int], None],
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._own_id = own_id
        self._on_count = on_count
        self._clock = clock
        self._changed_at: dict[str, float] = {}
        self._is_loaded = False
        self._lock = threading.Lock()
        on_count(DEFAULT_ENTRIES)

    @property
    def is_listed(self) -> bool:
        """Return whether this entry's row is in the table."""
        return self._own_id in self._changed_at

    @property
    def is_first(self) -> bool:
        """Return whether this entry's row is the first one of the table."""
        with self._lock:
            return min(self._changed_at, default="") == self._own_id

    def is_among_first(self, key: str, count: int) -> bool:
        """Return whether this entry is one of `count` that a key selects among all entries."""
        with self._lock:
            ids = {*self._changed_at, self._own_id}
        ranks = {entry_id: xxh64_intdigest(f"{key}/{entry_id}".encode()) for entry_id in ids}
        return self._own_id in heapq.nsmallest(count, ids, key=ranks.__getitem__)

    def replace(self, entry_ids: Iterable[str], is_restored: bool = False) -> None:
        """Record all rows of the table.

        A table that was restored from a copy may lack rows, which their entries write again.
        """
        with self._lock:
            now = self._clock()
            kept = set(self._changed_at) - {self._own_id} if is_restored else set()
            self._changed_at = {e: self._changed_at.get(e, now) for e in {*entry_ids, *kept}}
            self._is_loaded = True
        self._notify()

    def record(self, entry_id: str) -> None:
        """Record that a row was written."""
        with self._lock:
            self._changed_at[entry_id] = self._clock()
        self._notify()

    def remove(self, entry_id: str) -> None:
        """Record that a row was removed."""
        with self._lock:
            self._changed_at.pop(entry_id, None)
        self._notify()

    def list_gone(self) -> list[str]:
        """Return the other entries whose rows have not changed for too long."""
        with self._lock:
            oldest_at = self._clock() - ROW_LIFETIME_S
            return [e for e, at in self._changed_at.items() if at < oldest_at and e != self._own_id]

    def _notify(self) -> None:
        with self._lock:
            count = len({*self._changed_at, self._own_id})
            is_loaded = self._is_loaded
        if is_loaded:
            self._on_count(count)
