"""Responses of http.client whose head is bounded in bytes and time, and that can be cancelled."""

from __future__ import annotations

import http.client
import io
import socket
import time

MAX_HEAD_B = 65536
"""Longest status line and headers, interim responses included."""


class ReadGuard:
    """Limits what may still be received of one response.

    `deadline` is a monotonic time and `bytes_left` a number of bytes, None for no limit.
    """

    def __init__(self, timeout_s: float) -> None:
        self.deadline: float | None = time.monotonic() + timeout_s
        self.bytes_left: int | None = MAX_HEAD_B
        self._is_cancelled = False

    def cancel(self) -> None:
        """Let all further reading fail; may be called from any thread."""
        self._is_cancelled = True

    def limit_time(self, timeout_s: float | None) -> None:
        """Set the time for all that is received from now on, None for no limit."""
        self.deadline = None if timeout_s is None else time.monotonic() + timeout_s

    def check(self, sock: socket.socket) -> None:
        """Raise `OSError` if no more may be received, and limit the wait for the next bytes."""
        if self._is_cancelled:
            raise ConnectionAbortedError("reading was cancelled")
        if self.bytes_left is not None and self.bytes_left <= 0:
            raise ConnectionAbortedError(f"the head exceeds {MAX_HEAD_B} bytes")
        if self.deadline is not None:
            left_s = self.deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError("the response takes too long")
            timeout_s = sock.gettimeout()
            if timeout_s is None or timeout_s > left_s:
                sock.settimeout(left_s)

    def count(self, received: int) -> None:
        """Count received bytes."""
        if self.bytes_left is not None:
            self.bytes_left -= received


class GuardedReader(io.RawIOBase):
    """Receives from a socket as far as a guard allows.

    Shutting a socket down does not end reading while its peer sends faster than it is read.
    """

    def __init__(self, sock: socket.socket, guard: ReadGuard) -> None:
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._guard = guard

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer) -> int | None:
        """Receive into a buffer; return the number of bytes, 0 at the end."""
        self._guard.check(self._sock)
        received = self._raw.readinto(buffer)
        self._guard.count(received or 0)
        return received

    def close(self) -> None:
        """Release the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class GuardedResponse(http.client.HTTPResponse):
    """A response that is received through a guard, which limits its head."""

    def __init__(self, sock: socket.socket, *args, guard: ReadGuard, **options) -> None:
        super().__init__(_GuardedSocket(sock, guard), *args, **options)
        self._sock = sock
        self._guard = guard

    def begin(self) -> None:
        """Read the head; the timeout of the socket applies to each wait in the body again."""
        timeout_s = self._sock.gettimeout()
        super().begin()
        self._guard.bytes_left = None
        self._guard.limit_time(None)
        self._sock.settimeout(timeout_s)


class _GuardedSocket:
    """Gives `HTTPResponse` a guarded reader in place of the socket's own."""

    def __init__(self, sock: socket.socket, guard: ReadGuard) -> None:
        self._sock = sock
        self._guard = guard

    def makefile(self, mode: str) -> io.BufferedReader:
        return io.BufferedReader(GuardedReader(self._sock, self._guard))
