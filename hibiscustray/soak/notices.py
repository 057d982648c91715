"""Guarantees on what replicas ask of an entry: no requests for a time, or none any more."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from hibiscustray.soak.disturbances import DisturbanceLog

GRACE_S = 0.5
"""Time after an answer with a pushback in which requests may still arrive."""
MAX_UNWANTED = 2
"""Requests of an entry that may arrive between that and the end of the pushback."""
LINK_CONTACT_S = 3.0
"""Time in which the link to a replica must not have been disturbed for an arrival to count."""
QUIET_CONTACT_S = 0.5
"""The same for silences of the replica, which reads at their end what was sent during them."""
MAX_DRAIN_S = 2.0
"""Time after an answer in which a replica said that it leaves, and which an entry passed on, from
which requests sent to that entry must not reach the replica."""


@dataclass
class _Pushback:
    replica: int
    entry: int
    seconds: float
    at: float
    until: float


@dataclass(frozen=True)
class _Arrival:
    replica: int
    entry: int
    sent_at: float
    at: float


class NoticeCheck:
    """Finds requests that replicas had asked an entry not to send; an entry is asked by itself.

    `entries` has the disturbances of the entries, `links` those of the links to replicas, and
    `quiet` the silences of replicas. Only a process that was paused or started again since is
    excused, whatever is the matter with the store or the link to it.
    """

    def __init__(
        self, entries: DisturbanceLog, links: DisturbanceLog, quiet: DisturbanceLog
    ) -> None:
        self._entries = entries
        self._links = links
        self._quiet = quiet
        self._pushbacks: list[_Pushback] = []
        self._arrivals: list[_Arrival] = []
        self._starts: dict[int, int] = {}
        self._leaving: dict[str, tuple[int, int]] = {}
        self._left: dict[tuple[int, int, int], float] = {}
        self._late: list[tuple[_Arrival, float]] = []

    def record_pushback(self, replica: int, entry: int, seconds: float, at: float) -> None:
        """Record that a replica turned an entry's request away and asks for a time."""
        self._pushbacks.append(_Pushback(replica, entry, seconds, at, at + seconds))

    def record_leaving(self, request_id: str, replica: int) -> None:
        """Record that a replica said in the response to a request that it leaves."""
        self._leaving[request_id] = replica, self._starts.get(replica, 0)

    def record_passed_on(self, request_id: str, entry: int, at: float) -> None:
        """Record that an entry passed a whole response on."""
        if request_id in self._leaving:
            replica, start = self._leaving[request_id]
            self._left.setdefault((entry, replica, start), at)

    def record_start(self, replica: int, at: float) -> None:
        """Record that a replica starts again, which ends what it asked before."""
        self._starts[replica] = self._starts.get(replica, 0) + 1
        for pushback in self._pushbacks:
            if pushback.replica == replica:
                pushback.until = min(pushback.until, at)

    def record_arrival(self, replica: int, entry: int, sent_at: float, at: float) -> None:
        """Record that a request that a caller sent at a time reached a replica."""
        arrival = _Arrival(replica, entry, sent_at, at)
        self._arrivals.append(arrival)
        left_at = self._left.get((entry, replica, self._starts.get(replica, 0)))
        if left_at is not None:
            self._late.append((arrival, left_at))

    def count_pushbacks(self) -> int:
        """Return the number of pushbacks that entries had to keep."""
        return len(self._pushbacks)

    def count_left(self) -> int:
        """Return how often an entry passed on that a replica leaves."""
        return len(self._left)

    def find_unwanted(self) -> Iterator[tuple[float, str]]:
        """Yield the time and a description for each pushback that was not kept."""
        for pushback in self._pushbacks:
            since = pushback.at + GRACE_S
            if not self._is_told(pushback):
                continue
            unwanted = [
                arrival.at
                for arrival in self._arrivals
                if (arrival.replica, arrival.entry) == (pushback.replica, pushback.entry)
                and since < arrival.at < pushback.until
                and self._is_running(arrival, pushback.at)
                and self._is_prompt(arrival)
            ]
            if len(unwanted) > MAX_UNWANTED:
                yield sorted(unwanted)[MAX_UNWANTED], (
                    f"replica {pushback.replica} asked entry {pushback.entry} for "
                    f"{pushback.seconds:g} s and got {len(unwanted)} requests from it"
                )

    def find_late(self) -> Iterator[tuple[float, str]]:
        """Yield the time and a description for each request to a replica that leaves."""
        for arrival, left_at in self._late:
            if arrival.sent_at > left_at + MAX_DRAIN_S and self._is_running(arrival, left_at):
                yield arrival.at, (
                    f"a request through entry {arrival.entry} that was sent "
                    f"{arrival.sent_at - left_at:.2f} s after the entry had passed on that replica "
                    f"{arrival.replica} leaves reached it"
                )

    def _is_told(self, pushback: _Pushback) -> bool:
        """Return whether nothing held the answer back."""
        end = pushback.at + GRACE_S
        return all(
            log.is_undisturbed(pushback.replica, pushback.at, end)
            for log in (self._links, self._quiet)
        )

    def _is_running(self, arrival: _Arrival, asked_at: float) -> bool:
        """Return whether the entry ran from when it was asked to the arrival."""
        return self._entries.is_process_undisturbed(arrival.entry, asked_at, arrival.at)

    def _is_prompt(self, arrival: _Arrival) -> bool:
        """Return whether nothing held the request back, so that it was sent when it arrived."""
        replica, at = arrival.replica, arrival.at
        return self._links.is_undisturbed(
            replica, at - LINK_CONTACT_S, at
        ) and self._quiet.is_undisturbed(replica, at - QUIET_CONTACT_S, at)
