"""The replicas that may get requests, kept across restarts and outages of the replica list."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from hibiscustray.replicas.departures import Departures
from hibiscustray.replicas.health import Presence
from hibiscustray.replicas.record import ReplicaRecord, ReplicaState

log = logging.getLogger(__name__)

RELISTING_GRACE_S = 2.0
"""Time after an outage within which the platform guarantees that live replicas are listed again."""


class ReplicaDirectory:
    """Replicas by id; one that is unlisted during or after an outage is kept for a grace period.

    The platform unlists replicas whose heartbeats could not be stored, so a removal during an
    outage or shortly after it may concern a live replica.

    A row of a start that has left may be a late write, or that of a live replica that had lost its
    row. Neither the row nor its `sequence` tells which. With `has_verifier`, such a row is not
    verified until `resolve` is called; without, a higher `sequence` counts as a live replica.
    """

    def __init__(self, has_verifier: bool = False) -> None:
        self._has_verifier = has_verifier
        self._records: dict[str, ReplicaRecord] = {}
        self._unverified: dict[str, ReplicaRecord] = {}
        self._deferred_removals: dict[str, float] = {}
        self._is_list_unavailable = False
        self._grace_until = float("-inf")
        self._departures = Departures()
        self._listeners: list[Callable[[], None]] = []
        self._ready: dict[str, tuple[ReplicaRecord, ...]] = {}
        self._is_loaded = False
        self._lock = threading.RLock()

    @property
    def is_loaded(self) -> bool:
        """Return whether the list has been read at least once."""
        return self._is_loaded

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change."""
        self._listeners.append(listener)

    def list_ready(self, service: str) -> tuple[ReplicaRecord, ...]:
        """Return the replicas of a service that take new requests."""
        with self._lock:
            self._apply_deferred_removals()
            if service not in self._ready:
                self._ready[service] = tuple(
                    record
                    for record in self._records.values()
                    if record.service == service and record.state is ReplicaState.READY
                )
            return self._ready[service]

    def list_all(self, service: str) -> tuple[ReplicaRecord, ...]:
        """Return all replicas of a service, including draining ones."""
        with self._lock:
            self._apply_deferred_removals()
            return tuple(r for r in self._records.values() if r.service == service)

    def list_unverified(self) -> tuple[ReplicaRecord, ...]:
        """Return the rows that do not tell whether their replicas have left."""
        with self._lock:
            return tuple(self._unverified.values())

    def get(self, replica_id: str) -> ReplicaRecord | None:
        """Return a replica's record, None if there is none."""
        with self._lock:
            return self._records.get(replica_id)

    def replace(self, records: Iterable[ReplicaRecord], kept: Collection[str] = ()) -> None:
        """Replace all records by a complete list, except those of the ids in `kept`."""
        listed = {record.id: record for record in records}
        with self._lock:
            for replica_id in {*self._records, *self._unverified} - {*listed, *kept}:
                self._remove(replica_id)
            for record in listed.values():
                self._store(record)
            self._is_loaded = True
        self._notify_listeners()

    def update(self, record: ReplicaRecord) -> None:
        """Add or update the record of one replica."""
        with self._lock:
            self._store(record)
        self._notify_listeners()

    def remove(self, replica_id: str) -> None:
        """Remove a replica that is no longer listed, after the grace period during an outage."""
        with self._lock:
            self._remove(replica_id)
        self._notify_listeners()

    def record_outage(self) -> None:
        """Record that the list cannot be read."""
        with self._lock:
            self._is_list_unavailable = True

    def record_recovery(self) -> None:
        """Record that the list can be read again and start the grace period."""
        with self._lock:
            if self._is_list_unavailable:
                self._is_list_unavailable = False
                self._grace_until = time.monotonic() + RELISTING_GRACE_S

    def resolve(self, record: ReplicaRecord, presence: Presence) -> None:
        """Apply what the replica of an unverified row has said, unless the row has changed."""
        with self._lock:
            if self._unverified.get(record.id) is not record:
                return
            if presence is Presence.SERVING:
                self._list(record)
            elif presence is Presence.LEAVING:
                self._list(replace(record, state=ReplicaState.DRAINING))
        self._notify_listeners()

    def _store(self, record: ReplicaRecord) -> None:
        departure = self._departures.find(record.id)
        if record.born_ms < self._find_latest_start(record.id):
            log.info("row of an earlier start ignored", extra={"replica": record.boot})
            return
        is_same_start = departure is not None and departure.born_ms == record.born_ms
        if is_same_start and departure.state is ReplicaState.DRAINING:
            # A start never takes back that it is draining.
            record = replace(record, state=ReplicaState.DRAINING)
        is_ready = record.state is ReplicaState.READY
        if is_ready and (is_same_start or self._is_removal_deferred(record)):
            self._store_returned(record, departure)
        else:
            self._list(record)

    def _store_returned(self, record: ReplicaRecord, departure: ReplicaRecord | None) -> None:
        """Handle a row of a start whose removal is known, or deferred if there is no departure."""
        if self._has_verifier:
            if record.id not in self._unverified:
                log.info("replica listed again, not verified", extra={"replica": record.boot})
            self._unverified[record.id] = record
        elif departure is None or record.sequence > departure.sequence:
            self._list(record)
        else:
            log.info("row of a replica that has left ignored", extra={"replica": record.boot})

    def _find_latest_start(self, replica_id: str) -> int:
        """Return when the latest known start of a replica was, 0 if there is none."""
        known = self._records.get(replica_id), self._departures.find(replica_id)
        return max((record.born_ms for record in known if record is not None), default=0)

    def _is_removal_deferred(self, record: ReplicaRecord) -> bool:
        is_deferred = record.id in self._deferred_removals
        return is_deferred and self._records[record.id].born_ms == record.born_ms

    def _list(self, record: ReplicaRecord) -> None:
        if record.state is ReplicaState.DRAINING:
            self._departures.record(record)
        else:
            self._departures.forget(record.id)
        previous = self._records.get(record.id)
        self._deferred_removals.pop(record.id, None)
        self._unverified.pop(record.id, None)
        self._records[record.id] = record
        self._ready.clear()
        is_changed = (
            previous is None
            or previous.state is not record.state
            or previous.born_ms != record.born_ms
            or previous.models != record.models
        )
        if is_changed:
            log.info(
                "replica listed",
                extra={
                    "replica": record.id,
                    "service": record.service,
                    "address": record.address,
                    "state": record.state.value,
                    "versions": [model.version for model in record.models],
                },
            )

    def _remove(self, replica_id: str) -> None:
        self._unverified.pop(replica_id, None)
        if replica_id not in self._records:
            return
        now = time.monotonic()
        if self._is_list_unavailable or now < self._grace_until:
            self._deferred_removals.setdefault(replica_id, now)
            log.info(
                "removal of replica deferred because of a list outage",
                extra={"replica": replica_id},
            )
            return
        self._departures.record(self._records[replica_id])
        self._delete(replica_id, "unlisted")

    def _apply_deferred_removals(self) -> None:
        if (
            self._is_list_unavailable
            or not self._deferred_removals
            or time.monotonic() < self._grace_until
        ):
            return
        for replica_id in list(self._deferred_removals):
            if self._has_verifier:
                self._departures.record(self._records[replica_id])
            self._delete(replica_id, "not listed again after an outage")

    def _delete(self, replica_id: str, reason: str) -> None:
        self._deferred_removals.pop(replica_id, None)
        record = self._records.pop(replica_id, None)
        self._ready.clear()
        if record is not None:
            log.info("replica removed", extra={"replica": replica_id, "reason": reason})

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
