"""The members known to this process and the rules by which their records are merged."""

from __future__ import annotations

import logging
import math
import random
import threading
import time
from bisect import bisect_right
from collections.abc import Callable, Iterable

import msgspec

from hibiscustray.membership.hashes import ViewHash, hash_id
from hibiscustray.peers.messages import DEAD, LEAVING, LEFT, LIVE, SUSPECT, MemberRecord

log = logging.getLogger(__name__)

STATUS_RANK = {LIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3, LEFT: 4}
DEPARTED = (DEAD, LEFT)
CHANGES_PER_MESSAGE = 8
DEPARTED_RETENTION_S = 300.0
JOIN_PERIOD_S = 60.0


class MemberView:
    """Holds one record per process id.

    A record with a higher incarnation or sequence replaces a lower one. If both are equal, the
    status of higher rank wins, so that only the member itself can clear a suspicion.
    """

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._members: dict[str, MemberRecord] = {}
        self._departed_since: dict[str, float] = {}
        self._sends_left: dict[str, int] = {}
        self._hash = ViewHash()
        self._active: tuple[MemberRecord, ...] | None = None
        self._ring: list[tuple[int, str]] | None = None
        self._replicas: dict[str, list[MemberRecord]] = {}
        self._lock = threading.RLock()
        self._listeners: list[Callable[[MemberRecord], None]] = []
        self._started_at = time.monotonic()
        self.false_suspicions = 0
        self.is_replaced = False
        self._store(own)

    @property
    def own(self) -> MemberRecord:
        """Return the record of this process."""
        return self._own

    @property
    def hash(self) -> int:
        """Return the hash of the active records, equal for equal sets."""
        return self._hash.value

    def add_listener(self, listener: Callable[[MemberRecord], None]) -> None:
        """Add a function that is called with each changed record."""
        self._listeners.append(listener)

    def update_own(self, **changes) -> MemberRecord:
        """Change the record of this process and queue the change for heartbeats."""
        with self._lock:
            sequence = self._own.sequence + 1
            self._own = msgspec.structs.replace(self._own, sequence=sequence, **changes)
            self._store(self._own)
            return self._own

    def merge(self, records: Iterable[MemberRecord], is_queued: bool = True) -> list[MemberRecord]:
        """Merge records received from others; return those that changed the view.

        With `is_queued`, the changes are queued for the next heartbeats.
        """
        return [record for record in records if self._merge_one(record, is_queued)]

    def mark_unresponsive(self, member_id: str, status: str) -> None:
        """Mark a member that does not answer as suspect or dead, and queue the change."""
        with self._lock:
            known = self._members.get(member_id)
        if known is not None and known.id != self._own.id:
            self._merge_one(msgspec.structs.replace(known, status=status))

    def get(self, member_id: str) -> MemberRecord | None:
        """Return the record of a member."""
        return self._members.get(member_id)

    def members(self) -> list[MemberRecord]:
        """Return the records of all members that are not dead or left, including this process."""
        return list(self._list_active())

    def count(self) -> int:
        """Return the number of members that are not dead or left, including this process."""
        return len(self._list_active())

    def list_departed(self) -> list[MemberRecord]:
        """Return the records of dead and left members that have not been removed yet."""
        with self._lock:
            return [self._members[member_id] for member_id in self._departed_since]

    def replicas(self, service: str) -> list[MemberRecord]:
        """Return the agents of a service that may get new work, which are the live ones."""
        with self._lock:
            if service not in self._replicas:
                self._replicas[service] = [
                    m
                    for m in self._list_active()
                    if m.role == "agent" and m.service == service and m.status == LIVE
                ]
            return list(self._replicas[service])

    def neighbours(self, count: int) -> list[MemberRecord]:
        """Return the next members on the hash ring, stable until the membership changes."""
        with self._lock:
            if self._ring is None:
                self._ring = sorted((hash_id(m.id), m.id) for m in self._list_active())
            ring = self._ring
            if not ring:
                return []
            start = bisect_right(ring, (hash_id(self._own.id), self._own.id))
            chosen = [ring[(start + i) % len(ring)][1] for i in range(min(count, len(ring)))]
            return [self._members[i] for i in chosen if i != self._own.id]

    def take_changes(self) -> tuple[MemberRecord, ...]:
        """Return recent changes for a heartbeat; each change is sent a bounded number of times."""
        with self._lock:
            ids = sorted(self._sends_left, key=self._sends_left.__getitem__, reverse=True)
            chosen = ids[:CHANGES_PER_MESSAGE]
            for member_id in chosen:
                self._sends_left[member_id] -= 1
                if self._sends_left[member_id] <= 0:
                    del self._sends_left[member_id]
            return tuple(self._members[i] for i in chosen)

    def count_pending(self) -> int:
        """Return how many changes are queued for heartbeats."""
        return len(self._sends_left)

    def hash_buckets(self) -> bytes:
        """Return the packed hashes of all buckets."""
        with self._lock:
            return self._hash.pack()

    def find_differing(self, buckets: bytes, limit: int) -> tuple[MemberRecord, ...]:
        """Return records of the buckets whose hashes differ from a peer's.

        If there are more than `limit`, a random sample of that size is returned.
        """
        with self._lock:
            differing = self._hash.compare(buckets)
            found = [m for m in self._members.values() if ViewHash.find_bucket(m.id) in differing]
        return tuple(found if len(found) <= limit else random.sample(found, limit))

    def remove_departed(self) -> None:
        """Remove members that have been dead or left for `DEPARTED_RETENTION_S`."""
        now = time.monotonic()
        with self._lock:
            for member_id, since in list(self._departed_since.items()):
                if now - since >= DEPARTED_RETENTION_S:
                    del self._departed_since[member_id]
                    del self._members[member_id]
                    self._sends_left.pop(member_id, None)

    def _list_active(self) -> tuple[MemberRecord, ...]:
        with self._lock:
            if self._active is None:
                self._active = tuple(m for m in self._members.values() if m.status not in DEPARTED)
            return self._active

    def _merge_one(self, record: MemberRecord, is_queued: bool = True) -> bool:
        with self._lock:
            if record.id == self._own.id:
                self._refute(record)
                return False
            known = self._members.get(record.id)
            if known is not None and precedence_key(record) <= precedence_key(known):
                return False
            if known is None and record.status in DEPARTED and not self._is_joining():
                return False
            self._count_false_suspicion(known, record)
            self._store(record, is_queued)
        for listener in self._listeners:
            listener(record)
        return True

    def _is_joining(self) -> bool:
        """Return whether this process started too recently to know all departed members."""
        return time.monotonic() - self._started_at < JOIN_PERIOD_S

    def _count_false_suspicion(self, known: MemberRecord | None, record: MemberRecord) -> None:
        if known is None or known.status not in (SUSPECT, DEAD) or record.status != LIVE:
            return
        if known.incarnation == record.incarnation:
            self.false_suspicions += 1

    def _refute(self, record: MemberRecord) -> None:
        """Override a newer record of this process, unless it belongs to a process replacing it."""
        if precedence_key(record) <= precedence_key(self._own):
            return
        is_later = record.incarnation > self._own.incarnation
        is_elsewhere = record.peer_address != self._own.peer_address
        if is_later and is_elsewhere and not self._is_joining():
            log.error("another process uses the member id of this process")
            self.is_replaced = True
            return
        self._own = msgspec.structs.replace(
            self._own,
            incarnation=max(record.incarnation, self._own.incarnation),
            sequence=record.sequence + 1,
        )
        self._store(self._own)

    def _store(self, record: MemberRecord, is_queued: bool = True) -> None:
        known = self._members.get(record.id)
        self._members[record.id] = record
        self._hash.replace(known, record)
        if record.status in DEPARTED:
            self._departed_since[record.id] = time.monotonic()
        else:
            self._departed_since.pop(record.id, None)
        self._active = None
        self._replicas.clear()
        if known is None or (known.status in DEPARTED) != (record.status in DEPARTED):
            self._ring = None
        if is_queued and record.id != self._own.id:
            self._sends_left[record.id] = 1 + math.ceil(math.log2(len(self._members) + 1))


def precedence_key(record: MemberRecord) -> tuple[int, int, int]:
    """Return the sort key of a member's records; the record with the highest key is kept."""
    return (record.incarnation, record.sequence, STATUS_RANK.get(record.status, 0))
