"""The promises that a soak checks, from what callers and replicas see."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
LATE_SLACK_S = 1.0
"""Time beyond a caller's deadline in which its answer must have ended on a busy machine."""
CONTACT_S = 4.0
"""Time without trouble after which an entry is held to the bounds below (the platform's)."""
CONFIGURATION_S = 3.0
DRAIN_S = 3.0
RECOVERY_S = 15.0
SLACK_S = 0.5
"""Reserve for a machine whose processors are all in use."""


@dataclass(frozen=True)
class Asked:
    """A request as a caller sends it; `events` is the length of its stream, 0 for a whole answer.

    Times are monotonic, in seconds.
    """

    id: str
    kind: str
    entry: int
    path: str
    body: bytes
    key: str
    sent_at: float
    deadline_s: float
    events: int = 0


@dataclass(frozen=True)
class Answered:
    """How a request ended for its caller; `status` is 0 when the connection broke.

    `is_ended` tells whether the answer looked complete.
    """

    asked: Asked
    status: int
    is_sealed: bool
    body: bytes
    is_ended: bool
    ended_at: float


@dataclass(frozen=True)
class Violation:
    """A promise that was not kept."""

    rule: str
    at_s: float
    detail: str


class TroubleLog:
    """When each entry was in trouble: its process, its link to the store, or the store."""

    def __init__(self) -> None:
        self._spans: list[tuple[int | None, float, float]] = []
        self._lock = threading.Lock()

    def add(self, entry: int | None, begin: float, end: float) -> None:
        """Note trouble of one entry, or of all if None; times are monotonic seconds."""
        with self._lock:
            self._spans.append((entry, begin, end))

    def is_calm(self, entry: int, begin: float, end: float) -> bool:
        """Tell whether an entry was free of trouble between two times."""
        with self._lock:
            return not any(
                where in (None, entry) and first <= end and last >= begin
                for where, first, last in self._spans
            )


@dataclass
class _Record:
    asked: Asked
    runs: int = 0
    refused_with: int = 0
    ran_at: list[float] = field(default_factory=list)


class Promises:
    """Checks each promise when something happens that may break it; safe for any thread."""

    def __init__(self, troubles: TroubleLog, started_at: float) -> None:
        self._troubles = troubles
        self._started_at = started_at
        self._records: dict[str, _Record] = {}
        self._revoked: dict[str, float] = {}
        self._drained: dict[int, float] = {}
        self._lock = threading.Lock()
        self.violations: list[Violation] = []
        self.checks: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()

    def note_asked(self, asked: Asked) -> None:
        """Take in a request before it is sent."""
        with self._lock:
            self._records[asked.id] = _Record(asked)

    def note_unreachable(self, asked: Asked) -> None:
        """Take in that no connection was made for a request."""
        with self._lock:
            del self._records[asked.id]
            self.outcomes["unreachable"] += 1

    def note_run(self, request_id: str, path: str, body: bytes, replica: int, at: float) -> None:
        """Take in that a replica runs a request."""
        with self._lock:
            record = self._records.get(request_id)
            self.checks["UNASKED"] += 1
            if record is None or (record.asked.path, record.asked.body) != (path, body):
                self._add("UNASKED", at, f"{request_id} {path}")
                return
            record.runs += 1
            asked = record.asked
            if asked.kind == "book":
                self.checks["TWICE"] += 1
                if record.runs > 1:
                    self._add("TWICE", at, f"{request_id} ran {record.runs} times")
            if asked.kind == "book" and record.refused_with:
                self._add("REFUSED", at, f"{request_id} ran after {record.refused_with}")
            drained_at = self._drained.get(replica)
            if drained_at is not None:
                self._check_drain(asked, replica, drained_at, at)

    def note_answered(self, answer: Answered) -> None:
        """Take in how a request ended."""
        asked, at = answer.asked, answer.ended_at
        with self._lock:
            record = self._records[asked.id]
            self.outcomes[f"{asked.kind} {answer.status}"] += 1
            self._check_body(answer, record)
            if answer.status in NOT_RUN_STATUSES and asked.kind == "book":
                self.checks["REFUSED"] += 1
                record.refused_with = answer.status
                if record.runs:
                    self._add("REFUSED", at, f"{asked.id} got {answer.status} and has run")
            self._check_time(answer)
            self._check_key(answer)

    def note_revoked(self, key: str, at: float) -> None:
        """Take in that the store holds a configuration without a key."""
        with self._lock:
            self._revoked[key] = at

    def note_drained(self, replica: int, at: float | None) -> None:
        """Take in that a replica is listed as leaving, or as a new one if None."""
        with self._lock:
            if at is None:
                self._drained.pop(replica, None)
            else:
                self._drained[replica] = at

    def note_violation(self, rule: str, at: float, detail: str) -> None:
        """Take in a promise that others found broken."""
        with self._lock:
            self._add(rule, at, detail)

    def _check_body(self, answer: Answered, record: _Record) -> None:
        asked = answer.asked
        if not 200 <= answer.status < 300:
            return
        self.checks["MIXED"] += 1
        if not answer.is_sealed:
            self._add("MIXED", answer.ended_at, f"{asked.id} has no seal")
        whole = make_body(asked.id, asked.body, asked.events)
        if answer.is_ended and answer.body != whole:
            self._add("MIXED", answer.ended_at, f"{asked.id} looks whole: {answer.body[-60:]!r}")
        if not whole.startswith(answer.body):
            self._add("MIXED", answer.ended_at, f"{asked.id} is another's: {answer.body[:60]!r}")
        if not record.runs:
            self._add("MIXED", answer.ended_at, f"{asked.id} has not run")

    def _check_time(self, answer: Answered) -> None:
        asked = answer.asked
        self.checks["ENDED"] += 1
        limit_s = asked.deadline_s + LATE_SLACK_S
        is_late = answer.ended_at - asked.sent_at > limit_s
        if is_late and self._troubles.is_calm(asked.entry, asked.sent_at, answer.ended_at):
            late_s = answer.ended_at - asked.sent_at
            self._add("ENDED", answer.ended_at, f"{asked.id} ended after {late_s:.2f} s")

    def _check_key(self, answer: Answered) -> None:
        asked = answer.asked
        revoked_at = self._revoked.get(asked.key)
        if revoked_at is None:
            return
        bound = revoked_at + CONFIGURATION_S + SLACK_S
        if asked.sent_at < bound or not self._was_in_touch(asked.entry, revoked_at, asked.sent_at):
            return
        self.checks["CONFIG"] += 1
        if 200 <= answer.status < 300:
            late_s = asked.sent_at - revoked_at
            detail = f"{asked.id} was let in {late_s:.2f} s after its key was taken away"
            self._add("CONFIG", answer.ended_at, detail)

    def _check_drain(self, asked: Asked, replica: int, drained_at: float, at: float) -> None:
        if at < drained_at + DRAIN_S + SLACK_S:
            return
        if not self._was_in_touch(asked.entry, drained_at, asked.sent_at):
            return
        self.checks["DRAIN"] += 1
        late_s = at - drained_at
        self._add("DRAIN", at, f"{asked.id} reached replica {replica} {late_s:.2f} s after")

    def _was_in_touch(self, entry: int, changed_at: float, at: float) -> bool:
        """Tell whether an entry had time to learn of a change: calm since, and long enough."""
        return self._troubles.is_calm(entry, changed_at - CONTACT_S, at)

    def _add(self, rule: str, at: float, detail: str) -> None:
        self.violations.append(Violation(rule, round(at - self._started_at, 3), detail))


def make_body(request_id: str, body: bytes, events: int) -> bytes:
    """Return the answer that a request has to get: its own, and no other's."""
    if not events:
        return f"answer of {request_id} to {len(body)} bytes".encode()
    return b"".join(make_event(request_id, number) for number in range(1, events + 1))


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
