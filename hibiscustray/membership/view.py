"""The members that this process knows; newer words of a member replace older ones."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from hibiscustray.peers.messages import DEAD, LEAVING, LEFT, LIVE, SUSPECT, MemberRecord

STATUS_RANK = {LIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3, LEFT: 4}
RETRANSMIT_FACTOR = 3
CHANGES_PER_MESSAGE = 8


class MemberView:
    """An aggregate of member records, one per process id.

    A record of a higher incarnation or sequence replaces a lower one; at equal ones the graver
    status wins, so that only the member itself can take back a suspicion.
    """

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._members: dict[str, MemberRecord] = {own.id: own}
        self._sends_left: dict[str, int] = {}
        self._lock = threading.RLock()
        self._listeners: list[Callable[[MemberRecord], None]] = []

    @property
    def own(self) -> MemberRecord:
        """Return this process's own record."""
        return self._own

    def add_listener(self, listener: Callable[[MemberRecord], None]) -> None:
        """Call a function with each record that changed."""
        self._listeners.append(listener)

    def update_own(self, **changes) -> MemberRecord:
        """Change this process's own record and spread the change."""
        with self._lock:
            sequence = self._own.sequence + 1
            self._own = msgspec.structs.replace(self._own, sequence=sequence, **changes)
            self._store(self._own)
            return self._own

    def merge(self, records: Iterable[MemberRecord]) -> None:
        """Take in what others say."""
        for record in records:
            self._merge_one(record)

    def accuse(self, member_id: str, status: str) -> None:
        """Spread that a member does not answer, as suspect or dead."""
        with self._lock:
            known = self._members.get(member_id)
        if known is not None and known.id != self._own.id:
            self._merge_one(msgspec.structs.replace(known, status=status))

    def get(self, member_id: str) -> MemberRecord | None:
        """Return the record of a member."""
        return self._members.get(member_id)

    def members(self) -> list[MemberRecord]:
        """Return all records that are not dead or left, own one included."""
        with self._lock:
            return [m for m in self._members.values() if m.status not in (DEAD, LEFT)]

    def replicas(self, service: str) -> list[MemberRecord]:
        """Return the agents of a service that may get new work."""
        return [
            m
            for m in self.members()
            if m.role == "agent" and m.service == service and m.status == LIVE
        ]

    def neighbours(self, count: int) -> list[MemberRecord]:
        """Return the next members on a hash ring, the same until the membership changes."""
        ring = sorted(self.members(), key=lambda m: _ring_position(m.id))
        own = next((i for i, m in enumerate(ring) if m.id == self._own.id), 0)
        after = ring[own + 1 :] + ring[:own]
        return after[:count]

    def take_changes(self) -> tuple[MemberRecord, ...]:
        """Return recent changes to piggyback, each given out a bounded number of times."""
        with self._lock:
            ids = sorted(self._sends_left, key=self._sends_left.__getitem__, reverse=True)
            chosen = ids[:CHANGES_PER_MESSAGE]
            for member_id in chosen:
                self._sends_left[member_id] -= 1
                if self._sends_left[member_id] <= 0:
                    del self._sends_left[member_id]
            return tuple(self._members[member_id] for member_id in chosen)

    def _merge_one(self, record: MemberRecord) -> None:
        with self._lock:
            if record.id == self._own.id:
                self._refute(record)
                return
            known = self._members.get(record.id)
            if known is not None and _age_key(record) <= _age_key(known):
                return
            self._store(record)
        for listener in self._listeners:
            listener(record)

    def _refute(self, record: MemberRecord) -> None:
        if _age_key(record) > _age_key(self._own):
            incarnation = max(record.incarnation, self._own.incarnation)
            self._own = msgspec.structs.replace(
                self._own, incarnation=incarnation, sequence=record.sequence + 1
            )
            self._store(self._own)

    def _store(self, record: MemberRecord) -> None:
        self._members[record.id] = record
        self._sends_left[record.id] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._members) + 1)
        )


def _age_key(record: MemberRecord) -> tuple[int, int, int]:
    return (record.incarnation, record.sequence, STATUS_RANK.get(record.status, 0))


def _ring_position(member_id: str) -> int:
    return xxhash.xxh64_intdigest(member_id.encode())
