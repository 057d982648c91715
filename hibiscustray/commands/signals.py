"""Waits for signals without a lock in their handlers.

A handler may interrupt any instruction of the main thread, also one that holds the lock that the
handler would take. The interpreter itself writes the number of each signal to a socket, which the
main thread reads.
"""

from __future__ import annotations

import contextlib
import select
import signal
import socket
from collections.abc import Iterable

from hibiscustray.clock import read_clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
READ_SIZE_B = 4096


class SignalWaiter:
    """Receives the signals of this process from when it is built, in the main thread only.

    SIGTERM and SIGINT ask for a stop, and `others` only end a wait. The time of a stop is that of
    the first request for it. Signals that come between two waits end the next one.
    """

    def __init__(self, others: Iterable[signal.Signals] = ()) -> None:
        self._stop_requested_at: float | None = None
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        # A full buffer ends the next wait as well as one more byte would.
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._request_stop)
        for number in others:
            signal.signal(number, _ignore)

    @property
    def is_stop_requested(self) -> bool:
        """Return whether the process has to stop."""
        return self._stop_requested_at is not None

    def find_time_left(self, grace_s: float) -> float:
        """Return the rest of a grace period that began with the request to stop, in seconds."""
        assert self._stop_requested_at is not None
        return max(0.0, grace_s - (read_clock() - self._stop_requested_at))

    def wait(self, timeout_s: float | None = None) -> None:
        """Wait for a signal, also for one that came since the last call."""
        select.select([self._reader], [], [], timeout_s)
        received = b""
        with contextlib.suppress(BlockingIOError):
            received = self._reader.recv(READ_SIZE_B)
        # The handler may run only after the byte has been read.
        if any(number in received for number in STOP_SIGNALS):
            self._request_stop()

    def close(self) -> None:
        """Release the sockets; later signals are received by the handlers alone."""
        signal.set_wakeup_fd(-1)
        self._reader.close()
        self._writer.close()

    def _request_stop(self, *_: object) -> None:
        if self._stop_requested_at is None:
            self._stop_requested_at = read_clock()


def _ignore(*_: object) -> None:
    return
