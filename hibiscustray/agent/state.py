"""The serving state of an agent, shared by its threads."""

from __future__ import annotations

import threading
from collections.abc import Callable


class ServingState:
    """Tracks the served digest, the number of running attempts and whether the agent is leaving."""

    def __init__(self, is_justified: Callable[[], bool] = lambda: True) -> None:
        self._is_justified = is_justified
        self._digest: str | None = None
        self._running = 0
        self._is_leaving = False
        self._changed = threading.Condition()

    @property
    def digest(self) -> str | None:
        """Return the served digest: empty for a plain service, None if nothing is served."""
        return self._digest

    @property
    def running(self) -> int:
        """Return the number of running attempts."""
        return self._running

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._is_leaving

    def is_ready(self) -> bool:
        """Return whether new attempts are accepted."""
        return self._digest is not None and not self._is_leaving and self._is_justified()

    def leave(self) -> None:
        """Refuse new attempts from now on."""
        with self._changed:
            self._is_leaving = True

    def begin_attempt(self, digest: str) -> str:
        """Count an attempt for a digest as running, or return the kind of refusal.

        Returns an empty string if the attempt is accepted.
        """
        with self._changed:
            if self._is_leaving:
                return "leaving"
            if not self._is_justified():
                return "no-configuration"
            if self._digest is None or self._digest != digest:
                return "version-not-served"
            self._running += 1
            return ""

    def end_attempt(self) -> None:
        """Record that an attempt has ended."""
        with self._changed:
            self._running -= 1
            self._changed.notify_all()

    def serve(self, digest: str) -> None:
        """Accept attempts for a digest from now on."""
        with self._changed:
            self._digest = digest

    def suspend(self) -> None:
        """Refuse new attempts until a digest is served again."""
        with self._changed:
            self._digest = None

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no attempt is running; return False if that takes longer than `timeout_s`."""
        with self._changed:
            return self._changed.wait_for(lambda: self._running == 0, timeout_s)
