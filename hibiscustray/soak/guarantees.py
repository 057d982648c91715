"""Checks of the guarantees of an entry, from what callers and replicas observe during a soak.

A violation names one of these rules:

- `UNASKED`: a replica runs only requests that a caller sent, with the same path and body.
- `TWICE`: a booking runs at most once.
- `REFUSED`: a booking that was refused with one of `NOT_RUN_STATUSES` never runs.
- `MIXED`: a successful response is sealed (it has the replica's seal header) and belongs to its own
  request, which has run. If it looks certain to be whole, it is. If only the orderly end of its
  connection ends it, it is whole, or ends where a replica's response ended in that way; a stream
  then ends between events.
- `ENDED`: a response ends by the caller's deadline.
- `CONFIG`: a revoked team key is not admitted after `MAX_CONFIGURATION_DELAY_S`.
- `DRAIN`: a draining replica gets no requests after `MAX_DRAIN_DELAY_S`.
- `VERSION`: a stream does not begin on weights older than a target version that was set more than
  `MAX_VERSION_AGE_S` ago.
- `QUIET`: a request does not end without a response before its deadline because replicas that may
  run it are quiet for a while.
- `HARM`: a request under which three replicas have ended reaches replicas at most three times more,
  and sound requests are served.
- `LIMIT`: a replica gets at most 1.5 times the requests of the limit that it names, and five, in
  any 4 s.

The soak itself reports `RECOVER` (an entry is not ready in time), `EXIT` (an entry exits
unexpectedly) and `STOP` (an entry does not exit after SIGTERM).
"""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field

from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.harm import HarmCheck
from hibiscustray.soak.limits import LimitCheck
from hibiscustray.soak.notices import NoticeCheck
from hibiscustray.soak.quiet import QuietCheck, is_unanswered
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import (
    EVENT_END,
    MAX_VERSION_AGE_S,
    SoakOutcome,
    SoakRequest,
    Violation,
    make_body,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and never will."""
DEADLINE_SLACK_S = 1.0
"""Time after a caller's deadline within which its response has to end on a busy machine."""
MIN_UNDISTURBED_S = 4.0
"""Time before a change for which an entry must have been undisturbed.

Otherwise the platform's bounds, which are the constants below, do not apply to it.
"""
MAX_CONFIGURATION_DELAY_S = 3.0
"""Time within which an entry has to apply a new configuration."""
MAX_DRAIN_DELAY_S = 3.0
"""Time within which an entry has to stop sending requests to a draining replica."""
CONTACT_S = 3.0
"""Time before a moment without disturbances after which an entry is in touch with the platform.

The version of the weights is checked then, even if the entry was paused earlier.
"""
MAX_RECOVERY_S = 15.0
"""Time within which an entry has to be ready after its start, unless it is disturbed."""
BOUND_SLACK_S = 0.5
"""Time added to the bounds above for a machine whose processors are all in use.

It is not added to `MAX_VERSION_AGE_S`, as the entries require a version `SEND_LEAD_S` earlier.
"""


@dataclass
class _RequestRecord:
    request: SoakRequest
    run_count: int = 0
    refusal_status: int = 0
    replicas: set[int] = field(default_factory=set)
    closed_bodies: set[bytes] = field(default_factory=set)


class GuaranteeChecker:
    """Checks the guarantees affected by each event that is recorded; thread-safe."""

    def __init__(self, disturbances: DisturbanceLog, started_at: float) -> None:
        self._disturbances = disturbances
        self._started_at = started_at
        self._target_versions: list[tuple[int, float]] = []
        self._records: dict[str, _RequestRecord] = {}
        self._revoked_at: dict[str, float] = {}
        self._drained_at: dict[int, float] = {}
        self._lock = threading.Lock()
        self._outcomes: list[SoakOutcome] = []
        self.replica_links = DisturbanceLog()
        self.quiet = QuietCheck(disturbances, self.replica_links)
        self._harm = HarmCheck(disturbances, self.replica_links)
        self._limits = LimitCheck(disturbances, self.replica_links)
        self._notices = NoticeCheck(disturbances, self.replica_links, self.quiet.quiet)
        self.violations: list[Violation] = []
        self.checks: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()

    def record_request(self, request: SoakRequest) -> None:
        """Record a request before it is sent."""
        with self._lock:
            self._records[request.id] = _RequestRecord(request)

    def record_unreachable(self, request: SoakRequest) -> None:
        """Record that the connection for a request was refused, so that it was not sent."""
        with self._lock:
            del self._records[request.id]
            self.outcomes["unreachable"] += 1

    def find_harm(self, request_id: str) -> str:
        """Return what in a request ends a replica that begins it, "" if it is sound."""
        with self._lock:
            record = self._records.get(request_id)
            return record.request.harm if record is not None else ""

    def record_arrival(self, request_id: str, replica: int, at: float) -> None:
        """Record that a replica has read a request, whether it runs it or not."""
        with self._lock:
            record = self._records.get(request_id)
            if record is None:
                return
            # A quiet replica reads late what had reached it before.
            reached_at = self.quiet.quiet.find_begin(replica, at - BOUND_SLACK_S, at)
            request = record.request
            self._limits.record_arrival(replica, request.entry, reached_at)
            self._notices.record_arrival(replica, request.entry, request.sent_at, at)
            if request.harm:
                self._harm.record_arrival(request.harm, request.entry, replica, reached_at)

    def record_limit(self, replica: int, limit_per_s: float | None, at: float) -> None:
        """Record that a replica names a limit from now on, or no longer names one."""
        with self._lock:
            self._limits.record_limit(replica, limit_per_s, at)

    def record_pushback(self, request_id: str, replica: int, seconds: float, at: float) -> None:
        """Record that a replica turns a request away and wants none from its entry for a time."""
        with self._lock:
            record = self._records.get(request_id)
            if record is not None:
                self._notices.record_pushback(replica, record.request.entry, seconds, at)

    def record_leaving(self, request_id: str, replica: int) -> None:
        """Record that a replica says in the response to a request that it leaves."""
        with self._lock:
            self._notices.record_leaving(request_id, replica)

    def record_start(self, replica: int, at: float) -> None:
        """Record that a replica starts again."""
        with self._lock:
            self._limits.record_limit(replica, None, at)
            self._notices.record_start(replica, at)

    def record_end(self, replica: int, harm: str, begin: float, end: float) -> None:
        """Record that a replica ended under a harmful request, between two times."""
        self.quiet.ends.add(replica, begin, end)
        with self._lock:
            self._harm.record_end(harm, end)

    def record_run(
        self,
        request_id: str,
        path: str,
        body: bytes,
        replica: int,
        at: float,
        version: int | None = None,
        read_at: float | None = None,
    ) -> None:
        """Record that a replica runs a request, for a stream with the version of its weights.

        `read_at` is when it read the request, if that was before.
        """
        with self._lock:
            record = self._records.get(request_id)
            self.checks["UNASKED"] += 1
            if record is None or (record.request.path, record.request.body) != (path, body):
                self._add_violation(
                    "UNASKED", at, f"request {request_id} for {path} matches no request of a caller"
                )
                return
            record.run_count += 1
            record.replicas.add(replica)
            request = record.request
            if request.kind == "book":
                self.checks["TWICE"] += 1
                if record.run_count > 1:
                    self._add_violation(
                        "TWICE", at, f"request {request_id} ran {record.run_count} times"
                    )
            if request.kind == "book" and record.refusal_status:
                self._add_violation(
                    "REFUSED",
                    at,
                    f"request {request_id} ran after HTTP status {record.refusal_status}",
                )
            drained_at = self._drained_at.get(replica)
            if drained_at is not None:
                self._check_drain(request, replica, drained_at, at if read_at is None else read_at)
            if version is not None:
                self._check_version(request, replica, version, at)

    def record_closed(self, request_id: str, body: bytes) -> None:
        """Record that only the orderly end of a replica's connection ends the body of a response.

        The body of a stream begins with its first event, also if a caller had a part of it.
        """
        with self._lock:
            record = self._records.get(request_id)
            if record is not None:
                record.closed_bodies.add(body)

    def record_outcome(self, outcome: SoakOutcome) -> None:
        """Record how a request ended."""
        request, at = outcome.request, outcome.ended_at
        with self._lock:
            self._outcomes.append(outcome)
            record = self._records[request.id]
            kind = f"harmful {request.kind}" if request.harm else request.kind
            is_marked = outcome.end is ResponseEnd.CERTAIN or not outcome.status
            end = "" if is_marked else f" {outcome.end}"
            self.outcomes[f"{kind} {outcome.status}{end}"] += 1
            self._check_response(outcome, record)
            if 200 <= outcome.status < 300 and outcome.is_ended:
                self._notices.record_passed_on(request.id, request.entry, at)
            if outcome.status in NOT_RUN_STATUSES and request.kind == "book":
                self.checks["REFUSED"] += 1
                record.refusal_status = outcome.status
                if record.run_count:
                    self._add_violation(
                        "REFUSED",
                        at,
                        f"request {request.id} got HTTP status {outcome.status} but has run",
                    )
            self._check_deadline(outcome)
            self._check_revoked_key(outcome)

    def record_revocation(self, key: str, at: float) -> None:
        """Record that the store has a configuration without a team key."""
        with self._lock:
            self._revoked_at[key] = at

    def record_target_version(self, version: int, at: float) -> None:
        """Record that the store has a new target version of the weights."""
        with self._lock:
            self._target_versions.append((version, at))

    def record_drain(self, replica: int, at: float | None) -> None:
        """Record that a replica is listed as draining; None if it has been started again."""
        with self._lock:
            if at is None:
                self._drained_at.pop(replica, None)
            else:
                self._drained_at[replica] = at

    def record_violation(self, rule: str, at: float, detail: str) -> None:
        """Record a violation that was detected elsewhere."""
        with self._lock:
            self._add_violation(rule, at, detail)

    def finish(self, until: float) -> None:
        """Check what needs the records of the whole soak; call it once, at its end.

        Faults are recorded with their ends, so until then a request may lack its excuse. `until` is
        the monotonic time at which the callers were told to stop.
        """
        with self._lock:
            for outcome in self._outcomes:
                self._check_quiet(outcome)
            self.checks["LIMIT"] += self._limits.count_windows()
            for at, detail in self._limits.find_excess():
                self._add_violation("LIMIT", at, detail)
            self.checks["PUSHBACK"] += self._notices.count_pushbacks()
            for at, detail in self._notices.find_unwanted():
                self._add_violation("PUSHBACK", at, detail)
            self.checks["DRAIN"] += self._notices.count_left()
            for at, detail in self._notices.find_late():
                self._add_violation("DRAIN", at, detail)
            self.checks["HARM"] += self._harm.count_late(self._outcomes)
            for at, detail in self._harm.find_excess():
                self._add_violation("HARM", at, detail)
            for at, detail in self._harm.find_unserved(self._outcomes, until):
                self._add_violation("HARM", at, detail)

    def _check_quiet(self, outcome: SoakOutcome) -> None:
        request = outcome.request
        version_times = [set_at for _, set_at in self._target_versions]
        replicas = self._records[request.id].replicas
        if not self.quiet.applies_to(outcome, replicas, version_times):
            return
        self.checks["QUIET"] += 1
        if is_unanswered(outcome):
            elapsed_s = outcome.ended_at - request.sent_at
            self._add_violation(
                "QUIET",
                outcome.ended_at,
                f"{request.kind} {request.id} through entry {request.entry} ended after "
                f"{elapsed_s:.2f} s with status {outcome.status} and no whole response",
            )

    def _check_response(self, outcome: SoakOutcome, record: _RequestRecord) -> None:
        request = outcome.request
        if not 200 <= outcome.status < 300:
            return
        self.checks["MIXED"] += 1
        if not outcome.is_sealed:
            self._add_violation(
                "MIXED", outcome.ended_at, f"response to {request.id} has no server seal"
            )
        expected = make_body(request.id, request.body, request.event_count)
        is_split = bool(request.event_count) and not outcome.body.endswith(EVENT_END)
        may_be_short = (
            outcome.end is ResponseEnd.CLOSED
            and outcome.body in record.closed_bodies
            and not is_split
        )
        if outcome.is_ended and outcome.body != expected and not may_be_short:
            self._add_violation(
                "MIXED",
                outcome.ended_at,
                f"response to {request.id} appears complete ({outcome.end}) but ends after "
                f"{len(outcome.body)} of {len(expected)} bytes in {outcome.body[-60:]!r}",
            )
        if not expected.startswith(outcome.body):
            self._add_violation(
                "MIXED",
                outcome.ended_at,
                f"response to {request.id} is not its own: {outcome.body[:60]!r}",
            )
        if not record.run_count:
            self._add_violation(
                "MIXED", outcome.ended_at, f"request {request.id} succeeded but has not run"
            )

    def _check_deadline(self, outcome: SoakOutcome) -> None:
        request = outcome.request
        self.checks["ENDED"] += 1
        limit_s = request.deadline_s + DEADLINE_SLACK_S
        is_late = outcome.ended_at - request.sent_at > limit_s
        if is_late and self._disturbances.is_undisturbed(
            request.entry, request.sent_at, outcome.ended_at
        ):
            elapsed_s = outcome.ended_at - request.sent_at
            self._add_violation(
                "ENDED", outcome.ended_at, f"request {request.id} ended after {elapsed_s:.2f} s"
            )

    def _check_revoked_key(self, outcome: SoakOutcome) -> None:
        request = outcome.request
        revoked_at = self._revoked_at.get(request.key)
        if revoked_at is None:
            return
        bound = revoked_at + MAX_CONFIGURATION_DELAY_S + BOUND_SLACK_S
        if request.sent_at < bound or not self._was_undisturbed_since(
            request.entry, revoked_at, request.sent_at
        ):
            return
        self.checks["CONFIG"] += 1
        if 200 <= outcome.status < 300:
            late_s = request.sent_at - revoked_at
            detail = f"request {request.id} was admitted {late_s:.2f} s after its key was revoked"
            self._add_violation("CONFIG", outcome.ended_at, detail)

    def _check_drain(
        self, request: SoakRequest, replica: int, drained_at: float, at: float
    ) -> None:
        if at < drained_at + MAX_DRAIN_DELAY_S + BOUND_SLACK_S:
            return
        if not self._was_undisturbed_since(request.entry, drained_at, request.sent_at):
            return
        # A quiet replica reads late what had reached it before.
        quiet_since = self.quiet.quiet.find_begin(replica, at - BOUND_SLACK_S, at)
        if quiet_since < drained_at + MAX_DRAIN_DELAY_S + BOUND_SLACK_S:
            return
        self.checks["DRAIN"] += 1
        late_s = at - drained_at
        self._add_violation(
            "DRAIN",
            at,
            f"request {request.id} reached replica {replica} {late_s:.2f} s after its drain began",
        )

    def _check_version(self, request: SoakRequest, replica: int, version: int, at: float) -> None:
        """Check that a stream does not begin on weights that have been outdated for too long.

        The time since a target version was set begins anew with each disturbance of the store or of
        the entry's link to it. The link to the replica may hold a request back, so it has to be
        undisturbed as well.
        """
        entry = request.entry
        if not self._disturbances.is_undisturbed(entry, at - CONTACT_S, at):
            return
        if not self.replica_links.is_undisturbed(replica, at - CONTACT_S, at):
            return
        required = [
            (target, set_at)
            for target, set_at in self._target_versions
            if at - self._disturbances.find_connected_since(entry, set_at, at) > MAX_VERSION_AGE_S
        ]
        if not required:
            return
        self.checks["VERSION"] += 1
        target, set_at = max(required)
        if version < target:
            self._add_violation(
                "VERSION",
                at,
                f"request {request.id} through entry {entry} began on version {version} at replica "
                f"{replica} {at - set_at:.2f} s after version {target} was set",
            )

    def _was_undisturbed_since(self, entry: int, changed_at: float, at: float) -> bool:
        """Return whether an entry has been undisturbed since `MIN_UNDISTURBED_S` before a change.

        Only then does it have to know of the change.
        """
        return self._disturbances.is_undisturbed(entry, changed_at - MIN_UNDISTURBED_S, at)

    def _add_violation(self, rule: str, at: float, detail: str) -> None:
        self.violations.append(Violation(rule, round(at - self._started_at, 3), detail))
