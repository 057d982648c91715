"""Cancels calls that are silent, past their deadline or whose caller has disconnected."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

SILENCE_LIMIT_S = 3.0
"""Default time without received data after which a call is cancelled."""

CHECK_INTERVAL_S = 0.25


def _return_false() -> bool:
    return False


def _do_nothing() -> None:
    return None


class Watch:
    """The supervision of one call."""

    def __init__(
        self,
        watchdog: Watchdog,
        cancel: Callable[[], None],
        deadline: float,
        silence_limit_s: float = SILENCE_LIMIT_S,
        is_disconnected: Callable[[], bool] = _return_false,
    ) -> None:
        self._watchdog = watchdog
        self._cancel = cancel
        self._deadline = deadline
        self._silence_limit_s = silence_limit_s
        self._is_disconnected = is_disconnected
        self._is_cancelled = False
        self._last_activity_at: float | None = time.monotonic()
        self._is_silent = False

    def record_activity(self) -> None:
        """Record that data was received, and restart the silence limit."""
        self._last_activity_at = time.monotonic()

    def pause(self) -> None:
        """Suspend the silence limit until the next activity, while received data is passed on."""
        self._last_activity_at = None

    def resume(self) -> None:
        """Restart the silence limit if it is suspended, and let it go on otherwise."""
        if self._last_activity_at is None:
            self.record_activity()

    def is_silent(self) -> bool:
        """Return whether the call was cancelled because of silence."""
        return self._is_silent

    def is_cancelled(self) -> bool:
        """Return whether the call was cancelled for any reason."""
        return self._is_cancelled

    def set_silence_limit(self, seconds: float) -> None:
        """Set the silence after which the call is cancelled."""
        self._silence_limit_s = seconds

    def set_cancel(self, cancel: Callable[[], None]) -> None:
        """Replace the cancel function, for example once a connection is open.

        The new function is called at once if the call is already cancelled.
        """
        self._cancel = cancel
        if self._is_cancelled:
            cancel()

    def check(self, now: float, deadline_now: float) -> None:
        """Cancel the call if it is silent or past its deadline, or the caller has disconnected.

        `now` is in monotonic seconds, `deadline_now` the time by the clock of the deadline.
        """
        last_activity_at = self._last_activity_at
        if last_activity_at is not None and now - last_activity_at > self._silence_limit_s:
            self._is_silent = True
        elif deadline_now <= self._deadline and not self._is_disconnected():
            return
        self._is_cancelled = True
        self._cancel()

    def close(self) -> None:
        """Stop watching the call."""
        self._watchdog.remove(self)


class Watchdog:
    """A thread that checks all running calls of an entry periodically, after `on_check`.

    `read_deadline_clock` is the clock of the deadlines. Silence is always measured with the
    monotonic clock, since no data is read while the machine is suspended.
    """

    def __init__(
        self,
        check_interval_s: float = CHECK_INTERVAL_S,
        on_check: Callable[[], None] = _do_nothing,
        read_deadline_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._check_interval_s = check_interval_s
        self._on_check = on_check
        self._read_deadline_clock = read_deadline_clock
        self._watches: set[Watch] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watchdog", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for it."""
        self._stopping.set()
        self._thread.join()

    def watch(
        self,
        cancel: Callable[[], None],
        deadline: float,
        silence_limit_s: float = SILENCE_LIMIT_S,
        is_disconnected: Callable[[], bool] = _return_false,
    ) -> Watch:
        """Start watching a call; the returned watch must be closed."""
        watch = Watch(self, cancel, deadline, silence_limit_s, is_disconnected)
        with self._lock:
            self._watches.add(watch)
        return watch

    def remove(self, watch: Watch) -> None:
        """Remove a closed watch."""
        with self._lock:
            self._watches.discard(watch)

    def _run(self) -> None:
        while not self._stopping.wait(self._check_interval_s):
            self._on_check()
            now, deadline_now = time.monotonic(), self._read_deadline_clock()
            with self._lock:
                watches = list(self._watches)
            for watch in watches:
                watch.check(now, deadline_now)
