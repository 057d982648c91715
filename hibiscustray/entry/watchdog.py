"""Cancels calls whose connection went silent or whose deadline passed."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

SILENCE_LIMIT_S = 3.0
TICK_S = 0.25


def _never() -> bool:
    return False


class Watch:
    """The watch on one call."""

    def __init__(
        self,
        watchdog: Watchdog,
        cancel: Callable[[], None],
        deadline: float,
        silence_limit_s: float = SILENCE_LIMIT_S,
        is_abandoned: Callable[[], bool] = _never,
    ) -> None:
        self._watchdog = watchdog
        self._cancel = cancel
        self._deadline = deadline
        self._silence_limit_s = silence_limit_s
        self._is_abandoned = is_abandoned
        self._is_cut = False
        self._heard_at: float | None = time.monotonic()
        self._silent = False

    def record_activity(self) -> None:
        """Note that something was heard, and listen on."""
        self._heard_at = time.monotonic()

    def pause(self) -> None:
        """Suspend the silence limit until the next activity, while received data is passed on."""
        self._heard_at = None

    def is_silent(self) -> bool:
        """Tell whether the call was cancelled for silence."""
        return self._silent

    def is_cancelled(self) -> bool:
        """Tell whether the call was cancelled, for whatever reason."""
        return self._is_cut

    def set_silence_limit(self, seconds: float) -> None:
        """Cancel after this much silence from now on."""
        self._silence_limit_s = seconds

    def set_cancel(self, cancel: Callable[[], None]) -> None:
        """Cancel by another function from now on, as once a connection is open."""
        self._cancel = cancel
        if self._is_cut:
            cancel()

    def check(self, now: float) -> None:
        """Cancel the call if it is silent or late, or if its caller has left."""
        heard_at = self._heard_at
        if heard_at is not None and now - heard_at > self._silence_limit_s:
            self._silent = True
        elif now <= self._deadline and not self._is_abandoned():
            return
        self._is_cut = True
        self._cancel()

    def close(self) -> None:
        """End the watch."""
        self._watchdog.forget(self)


class Watchdog:
    """One thread that watches all running calls of an entry."""

    def __init__(self, tick_s: float = TICK_S) -> None:
        self._tick_s = tick_s
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
        is_abandoned: Callable[[], bool] = _never,
    ) -> Watch:
        """Watch a call until the watch is closed."""
        watch = Watch(self, cancel, deadline, silence_limit_s, is_abandoned)
        with self._lock:
            self._watches.add(watch)
        return watch

    def forget(self, watch: Watch) -> None:
        """Drop a watch."""
        with self._lock:
            self._watches.discard(watch)

    def _run(self) -> None:
        while not self._stopping.wait(self._tick_s):
            now = time.monotonic()
            with self._lock:
                watches = list(self._watches)
            for watch in watches:
                watch.check(now)
