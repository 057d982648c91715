"""Cancels calls whose connection went silent or whose deadline passed."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

SILENCE_LIMIT_S = 3.0
CHECK_INTERVAL_S = 0.25


def _return_false() -> bool:
    return False


class Watch:
    """The watch on one call."""

    def __init__(
        self,
        watchdog: Watchdog,
        cancel: Callable[[], None],
        deadline: float,
        silence_limit_s: float = SILENCE_LIMIT_S,
        is_abandoned: Callable[[], bool] = _return_false,
    ) -> None:
        self._watchdog = watchdog
        self._cancel = cancel
        self._deadline = deadline
        self._silence_limit_s = silence_limit_s
        self._is_abandoned = is_abandoned
        self._is_cancelled = False
        self._last_activity_at: float | None = time.monotonic()
        self._is_silent = False

    def record_activity(self) -> None:
        """Note that something was heard, and listen on."""
        self._last_activity_at = time.monotonic()

    def pause(self) -> None:
        """Suspend the silence limit until the next activity, while received data is passed on."""
        self._last_activity_at = None

    def is_silent(self) -> bool:
        """Tell whether the call was cancelled for silence."""
        return self._is_silent

    def is_cancelled(self) -> bool:
        """Tell whether the call was cancelled, for whatever reason."""
        return self._is_cancelled

    def set_silence_limit(self, seconds: float) -> None:
        """Cancel after this much silence from now on."""
        self._silence_limit_s = seconds

    def set_cancel(self, cancel: Callable[[], None]) -> None:
        """Cancel by another function from now on, as once a connection is open."""
        self._cancel = cancel
        if self._is_cancelled:
            cancel()

    def check(self, now: float) -> None:
        """Cancel the call if it is silent or late, or if its caller has left."""
        last_activity_at = self._last_activity_at
        if last_activity_at is not None and now - last_activity_at > self._silence_limit_s:
            self._is_silent = True
        elif now <= self._deadline and not self._is_abandoned():
            return
        self._is_cancelled = True
        self._cancel()

    def close(self) -> None:
        """End the watch."""
        self._watchdog.remove(self)


class Watchdog:
    """One thread that watches all running calls of an entry."""

    def __init__(self, check_interval_s: float = CHECK_INTERVAL_S) -> None:
        self._check_interval_s = check_interval_s
        self._watches: set[Watch] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watchdog", daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopping.set()
        self._thread.join()

    def watch(
        self,
        cancel: Callable[[], None],
        deadline: float,
        silence_limit_s: float = SILENCE_LIMIT_S,
        is_abandoned: Callable[[], bool] = _return_false,
    ) -> Watch:
        """Watch a call until the watch is closed."""
        watch = Watch(self, cancel, deadline, silence_limit_s, is_abandoned)
        with self._lock:
            self._watches.add(watch)
        return watch

    def remove(self, watch: Watch) -> None:
        """Drop a watch."""
        with self._lock:
            self._watches.discard(watch)

    def _run(self) -> None:
        while not self._stopping.wait(self._check_interval_s):
            now = time.monotonic()
            with self._lock:
                watches = list(self._watches)
            for watch in watches:
                watch.check(now)
