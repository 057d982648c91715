"""Cancels calls past their deadline or whose caller has disconnected, and detects silence."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

log = logging.getLogger(__name__)

SILENCE_LIMIT_S = 3.0
"""Default time without received data after which a call is cancelled."""

CHECK_INTERVAL_S = 0.25


def _return_false() -> bool:
    return False


def _do_nothing() -> None:
    return None


class Watch:
    """The supervision of one call.

    A silent call is cancelled, unless `on_silent` is set: it is then called at each check until
    data is received, and `on_resume` after that. `must_end` tells whether the call has to end for
    another reason.
    """

    def __init__(
        self,
        watchdog: Watchdog,
        cancel: Callable[[], None],
        deadline: float,
        silence_limit_s: float = SILENCE_LIMIT_S,
        is_disconnected: Callable[[], bool] = _return_false,
        on_silent: Callable[[], None] | None = None,
        on_resume: Callable[[], None] = _do_nothing,
        must_end: Callable[[], bool] = _return_false,
    ) -> None:
        self._watchdog = watchdog
        self._cancel = cancel
        self._deadline = deadline
        self._silence_limit_s = silence_limit_s
        self._is_disconnected = is_disconnected
        self._on_silent = on_silent
        self._on_resume = on_resume
        self._must_end = must_end
        self._is_cancelled = False
        self._is_superseded = False
        self._last_activity_at: float | None = time.monotonic()
        self._is_silent = False
        self.has_failed = False

    def record_activity(self) -> None:
        """Record that data was received, and restart the silence limit."""
        self._last_activity_at = time.monotonic()
        self._end_silence()

    def pause(self) -> None:
        """Suspend the silence limit until the next activity, while received data is passed on."""
        self._last_activity_at = None
        self._end_silence()

    def resume(self) -> None:
        """Restart the silence limit if it is suspended, and let it go on otherwise."""
        if self._last_activity_at is None:
            self.record_activity()

    def is_silent(self) -> bool:
        """Return whether the call is silent, or was cancelled because of that."""
        return self._is_silent

    def is_superseded(self) -> bool:
        """Return whether the call was cancelled because another one has responded."""
        return self._is_superseded

    def is_cancelled(self) -> bool:
        """Return whether the call was cancelled for any reason."""
        return self._is_cancelled

    def set_silence_limit(self, seconds: float) -> None:
        """Set the silence after which the call is cancelled."""
        self._silence_limit_s = seconds

    def set_on_silent(self, on_silent: Callable[[], None]) -> None:
        """Replace the function that is called while the call is silent."""
        self._on_silent = on_silent

    def supersede(self) -> None:
        """Cancel the call because another one has responded; may be called from any thread."""
        self._is_superseded = True
        self._is_cancelled = True
        self._cancel()

    def set_cancel(self, cancel: Callable[[], None]) -> None:
        """Replace the cancel function, for example once a connection is open.

        The new function is called at once if the call is already cancelled.
        """
        self._cancel = cancel
        if self._is_cancelled:
            cancel()

    def check(self, now: float, deadline_now: float) -> None:
        """Cancel the call if it must end, or report that it is silent.

        `now` is in monotonic seconds, `deadline_now` the time by the clock of the deadline.
        """
        last_activity_at = self._last_activity_at
        is_silent = last_activity_at is not None and now - last_activity_at > self._silence_limit_s
        if is_silent:
            self._is_silent = True
        is_silence_final = is_silent and self._on_silent is None
        if (
            is_silence_final
            or deadline_now > self._deadline
            or self._is_disconnected()
            or self._must_end()
        ):
            self._is_cancelled = True
            self._cancel()
        elif is_silent and self._on_silent is not None:
            self._on_silent()

    def close(self) -> None:
        """Stop watching the call."""
        self._watchdog.remove(self)

    def _end_silence(self) -> None:
        if self._is_silent and not self._is_cancelled:
            self._is_silent = False
            self._on_resume()


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
        on_silent: Callable[[], None] | None = None,
        on_resume: Callable[[], None] = _do_nothing,
        must_end: Callable[[], bool] = _return_false,
    ) -> Watch:
        """Start watching a call; the returned watch must be closed."""
        watch = Watch(
            self,
            cancel,
            deadline,
            silence_limit_s,
            is_disconnected,
            on_silent,
            on_resume,
            must_end,
        )
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
                try:
                    watch.check(now, deadline_now)
                except Exception:
                    # The thread must survive any failure, since it alone enforces deadlines.
                    if not watch.has_failed:
                        log.exception("check of a call failed")
                    watch.has_failed = True
