"""Backups of a silent attempt: the attempt goes on, and the first of them to respond is used.

A silent replica may be lost or may go on after a second. Neither the attempt nor the time that a
second replica needs is given up before one of them has responded.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Generic, TypeVar

from hibiscustray.entry.watchdog import Watch

log = logging.getLogger(__name__)

Result = TypeVar("Result")

BACKUP_INTERVAL_S = 0.25
"""Time between backups, as a replica or a retry may be available a little later."""


class Contender:
    """One backup; its attempts are cancelled when another one has responded."""

    def __init__(self) -> None:
        self.is_cancelled = False
        self._watch: Watch | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether the current attempt is silent, too."""
        return self._watch is not None and self._watch.is_silent()

    def set_watch(self, watch: Watch) -> None:
        """Set the watch of the current attempt."""
        self._watch = watch
        if self.is_cancelled:
            watch.supersede()

    def cancel(self) -> None:
        """Cancel the current attempt and any later one."""
        self.is_cancelled = True
        if self._watch is not None:
            self._watch.supersede()


class Race(Generic[Result]):
    """Decides which attempt of a request responds first; thread-safe.

    The thread of the request calls `open` before it waits for its own attempt and `settle` after
    that. Only in between may backups start or win, so that nothing is forwarded from two attempts.
    """

    def __init__(
        self,
        executor: Executor,
        may_start: Callable[[], bool],
        run_backup: Callable[[Contender], Result | None],
        discard: Callable[[Result], None],
    ) -> None:
        self._executor = executor
        self._may_start = may_start
        self._run_backup = run_backup
        self._discard = discard
        self._first: Watch | None = None
        self._backups: list[Contender] = []
        self._winner: Result | None = None
        self._next_start_at = 0.0
        self._changed = threading.Condition()

    def open(self, watch: Watch) -> None:
        """Let backups of the attempt with this watch start."""
        with self._changed:
            self._first = watch

    def start_backup(self) -> None:
        """Start a backup if the attempt and its backups are all silent; does not block."""
        now = time.monotonic()
        with self._changed:
            if self._first is None or self._winner is not None or now < self._next_start_at:
                return
            if not all(backup.is_silent for backup in self._backups) or not self._may_start():
                return
            self._next_start_at = now + BACKUP_INTERVAL_S
            contender = Contender()
            self._backups.append(contender)
        try:
            future = self._executor.submit(self._run, contender)
        except RuntimeError:
            # The process is stopping.
            self._end(contender, None)
        else:
            future.add_done_callback(
                lambda f: self._end(contender, None) if f.cancelled() else None
            )

    def settle(self, wait_s: float = 0.0) -> Result | None:
        """End the race; return the result of the backup that has won, None if there is none.

        Running backups are waited for up to `wait_s` seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._winner or not self._backups, max(0.0, wait_s))
            self._first = None
            winner, self._winner = self._winner, None
            backups, self._backups = self._backups, []
        for backup in backups:
            backup.cancel()
        return winner

    def close(self) -> None:
        """End the race and discard the result of a backup that has won."""
        winner = self.settle()
        if winner is not None:
            self._discard(winner)

    def _run(self, contender: Contender) -> None:
        result: Result | None = None
        try:
            if not contender.is_cancelled:
                result = self._run_backup(contender)
        except Exception:
            log.exception("backup attempt failed")
        self._end(contender, result)

    def _end(self, contender: Contender, result: Result | None) -> None:
        superseded: Watch | None = None
        with self._changed:
            is_current = contender in self._backups
            if is_current:
                self._backups.remove(contender)
                if result is not None and self._winner is None:
                    self._winner, superseded, result = result, self._first, None
            self._changed.notify_all()
        if superseded is not None:
            superseded.supersede()
        if result is not None:
            self._discard(result)
