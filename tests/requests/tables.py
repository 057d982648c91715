"""An in-memory table that can be unavailable, lose responses or delay writes."""

from __future__ import annotations

from hibiscustray.exceptions import PreconditionFailed, StoreAnswerLost, StoreUnavailable


class FakeTable:
    """Implements `Table`.

    `mode` is one of up, down (unavailable), lossy (writes take effect, their responses are lost)
    and late (writes are delayed until `apply_late_write`).
    """

    def __init__(self) -> None:
        self.mode = "up"
        self.rows = {}
        self.delayed_writes = []
        self.writes = 0
        self._change_ids = set()

    def get(self, partition, sort):
        if self.mode == "down":
            raise StoreUnavailable("down")
        return self.rows.get((partition, sort))

    def transact(self, change_id, writes):
        if self.mode == "down":
            raise StoreUnavailable("down")
        self.writes += 1
        if self.mode == "late":
            self.delayed_writes.append((change_id, writes))
            raise StoreAnswerLost("late")
        if not self._commit(change_id, writes):
            raise PreconditionFailed("changed")
        if self.mode == "lossy":
            raise StoreAnswerLost("lost")

    def apply_late_write(self, index=0):
        """Apply a delayed write if its condition still holds."""
        if self.delayed_writes:
            self._commit(*self.delayed_writes.pop(index % len(self.delayed_writes)))

    def _commit(self, change_id, writes):
        if change_id in self._change_ids:
            return True
        for write in writes:
            stored = self.rows.get((write.row.partition, write.row.sort))
            if write.expected != (stored.version if stored else 0):
                return False
        for write in writes:
            self.rows[(write.row.partition, write.row.sort)] = write.row
        self._change_ids.add(change_id)
        return True
