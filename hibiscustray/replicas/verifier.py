"""Asks replicas that are listed again after their departure whether they take requests."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import UpstreamError
from hibiscustray.replicas.directory import ReplicaDirectory
from hibiscustray.replicas.health import HealthReport, Presence
from hibiscustray.replicas.notices import ReplicaNotices
from hibiscustray.replicas.record import ReplicaRecord
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

WORKERS = 8
"""Replicas that are asked at once; those that are silent hold a worker until the timeout."""
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 0.8
PAUSE_FACTOR = 2.0


@dataclass(eq=False)
class _Check:
    """The checks of one row; `due_at` is a time of `time.monotonic`."""

    record: ReplicaRecord
    due_at: float
    pause_s: float = MIN_PAUSE_S
    is_running: bool = False


class PresenceVerifier:
    """Checks the health of the directory's unverified replicas until each is resolved or unlisted.

    `check` sends one health check; it raises `UpstreamError` if there is no response.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        notices: ReplicaNotices,
        check: Callable[[ReplicaRecord], HealthReport],
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._notices = notices
        self._check = check
        self._metrics = metrics
        self._checks: dict[str, _Check] = {}
        self._changed = threading.Condition()
        self._is_stopping = False
        self._threads = [
            threading.Thread(target=self._run, name=f"presence-{number}", daemon=True)
            for number in range(WORKERS)
        ]
        directory.add_listener(self._update)

    def start(self) -> None:
        """Start the workers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the workers; running checks end at their timeout."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()

    def _update(self) -> None:
        """Begin checks of new unverified rows and drop those of rows that are resolved or gone."""
        with self._changed:
            unverified = {record.id: record for record in self._directory.list_unverified()}
            if not unverified and not self._checks:
                return
            now = time.monotonic()
            previous, self._checks = self._checks, {}
            for replica_id, record in unverified.items():
                check = previous.get(replica_id)
                is_same = check is not None and check.record is record
                self._checks[replica_id] = check if is_same else _Check(record, now)
            self._changed.notify_all()

    def _run(self) -> None:
        while (check := self._take()) is not None:
            try:
                presence, wait_s = self._verify(check.record)
            except Exception:
                # A worker must survive any failure; the next check may succeed.
                log.exception("replica check failed", extra={"replica": check.record.boot})
                presence, wait_s = Presence.UNKNOWN, 0.0
            self._finish(check, presence, wait_s)

    def _take(self) -> _Check | None:
        """Wait for a check that is due; return None when the verifier stops."""
        with self._changed:
            while not self._is_stopping:
                now = time.monotonic()
                idle = [check for check in self._checks.values() if not check.is_running]
                # First checks come before repeated ones, whose replicas may be silent for long.
                due = [check for check in idle if check.due_at <= now]
                check = min(due, key=lambda check: (check.pause_s, check.due_at), default=None)
                if check is not None:
                    check.is_running = True
                    return check
                next_at = min((check.due_at for check in idle), default=None)
                self._changed.wait(None if next_at is None else next_at - now)
            return None

    def _verify(self, record: ReplicaRecord) -> tuple[Presence, float]:
        """Return a replica's presence, and the seconds for which it wants no checks."""
        if self._notices.is_draining(record.boot):
            return Presence.LEAVING, 0.0
        pushback_s = self._notices.find_pushback(record.boot)
        if pushback_s > 0:
            return Presence.UNKNOWN, pushback_s
        sent_at = read_clock()
        try:
            report = self._check(record)
        except UpstreamError as error:
            log.info(
                "replica check unanswered", extra={"replica": record.boot, "reason": str(error)}
            )
            self._count("unanswered")
            return Presence.UNKNOWN, 0.0
        presence = report.find_presence(record)
        self._count(presence.value)
        log.info(
            "replica checked",
            extra={
                "replica": record.boot,
                "presence": presence.value,
                "status": report.status,
                "check_s": round(read_clock() - sent_at, 3),
            },
        )
        if report.is_of(record):
            self._notices.record(record.boot, report.notice, sent_at)
        return presence, self._notices.find_pushback(record.boot)

    def _finish(self, check: _Check, presence: Presence, wait_s: float) -> None:
        if presence is not Presence.UNKNOWN:
            self._directory.resolve(check.record, presence)
        with self._changed:
            check.is_running = False
            check.due_at = time.monotonic() + min(
                max(check.pause_s, wait_s), threading.TIMEOUT_MAX / 2
            )
            check.pause_s = min(MAX_PAUSE_S, check.pause_s * PAUSE_FACTOR)
            self._changed.notify_all()

    def _count(self, result: str) -> None:
        self._metrics.count("replica_checks_total", {"result": result})
