"""Responses of http.client with strict framing and a bounded head, which can be cancelled."""

from __future__ import annotations

import http.client
import io
import re
import socket
import time
from http import HTTPStatus
from http.client import HTTPException, RemoteDisconnected

MAX_HEAD_B = 65536
"""Longest status line and headers, interim responses included."""
MAX_CHUNK_LINE_B = 4096
"""Longest line with the size of a chunk."""
TRAILER_TIMEOUT_S = 0.1
"""Time for what follows the last chunk. If nothing does, the body is whole all the same."""
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\0\r\n]*)?\r?\n")
"""A status outside 100 to 599 is invalid (RFC 9110, 15)."""
ANY_LINE = re.compile(rb"[^\n]*\n")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,12}")
LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)
BARE_CR = re.compile(rb"\r(?!\n)")
"""Stands for a space (RFC 9112, 2.2). http.client would take it for the end of a line."""
HEADER_LINE = re.compile(rb"(?:(?:[!#-'*+.^_`|~0-9A-Za-z-]+:|[ \t])[^\0\r\n]*)?\r?\n")
"""A header, its continuation, or the empty line after them."""


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

    def check_cancelled(self) -> None:
        """Raise `OSError` if reading was cancelled."""
        if self._is_cancelled:
            raise ConnectionAbortedError("reading was cancelled")

    def check(self, sock: socket.socket) -> None:
        """Raise `OSError` if no more may be received, and limit the wait for the next bytes."""
        self.check_cancelled()
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
        if not received:
            # Cancelling shuts the socket down, which looks like the end of the connection.
            self._guard.check_cancelled()
        self._guard.count(received or 0)
        return received

    def close(self) -> None:
        """Release the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class LineReader(io.BufferedReader):
    """A buffered reader that takes neither the end of the connection nor other bytes for a line.

    Lines must match `pattern`, or may be anything if it is None.
    """

    pattern: re.Pattern[bytes] | None = ANY_LINE

    def readline(self, size: int | None = -1) -> bytes:
        """Return a line, or `size` bytes of it.

        Raises `RemoteDisconnected` if it is cut, or `HTTPException` if it is malformed.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if self.pattern is None or is_limited:
            return line
        if not line.endswith(b"\n"):
            raise RemoteDisconnected("the connection ended within the head or a chunk size")
        line = BARE_CR.sub(b" ", line)
        if not self.pattern.fullmatch(line):
            raise HTTPException(f"malformed line: {line[:40]!r}")
        return line


class GuardedResponse(http.client.HTTPResponse):
    """A response that is received through a guard, which limits its head.

    Where http.client would take what is cut or malformed for the end of the head or of the body,
    `HTTPException` is raised.
    """

    def __init__(self, sock: socket.socket, *args, guard: ReadGuard, **options) -> None:
        super().__init__(_GuardedSocket(sock, guard), *args, **options)
        self._sock = sock
        self._guard = guard

    def begin(self) -> None:
        """Read the head; the timeout of the socket applies to each wait in the body again."""
        timeout_s = self._sock.gettimeout()
        super().begin()
        _check_framing(self.headers)
        # Lines of a body that is not sent in chunks may end with the connection.
        self.fp.pattern = ANY_LINE if self.chunked else None
        self._guard.bytes_left = None
        self._guard.limit_time(None)
        self._sock.settimeout(timeout_s)

    def read1(self, n: int = -1) -> bytes:
        """Return the next bytes; the response is closed with the last byte that its length tells.

        http.client before Python 3.13 leaves it open, so that its connection can't be used again.
        """
        block = super().read1(n)
        if self.length == 0 and not self.chunked and self.fp is not None:
            self._close_conn()
        return block

    def _read_status(self) -> tuple[str, int, str]:
        """Return the version, the status and the reason of the final response; headers follow.

        http.client would take the first line that is no header for the end of the head, and interim
        responses other than 100 for the response.
        """
        self.fp.pattern = STATUS_LINE
        version, status, reason = super()._read_status()
        self.fp.pattern = HEADER_LINE
        if status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise HTTPException("the protocol is changed")
        return version, HTTPStatus.CONTINUE if status < HTTPStatus.OK else status, reason

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the current chunk or of the next one, None after the last.

        http.client calls this before it reads from a body in chunks.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self._safe_read(2) != b"\r\n":
            raise HTTPException("a chunk is longer than its size")
        self.chunk_left = self._read_chunk_size() or None
        if self.chunk_left is None:
            self._read_trailer()
            self._close_conn()
        return self.chunk_left

    def _read_chunk_size(self) -> int:
        line = self.fp.readline(MAX_CHUNK_LINE_B)
        size = line.partition(b";")[0].strip()
        if not line.endswith(b"\n") or not CHUNK_SIZE.fullmatch(size):
            raise HTTPException(f"invalid chunk size: {line[:40]!r}")
        return int(size, 16)

    def _read_trailer(self) -> None:
        """Read what follows the last chunk; close the connection after it if it ends there."""
        timeout_s = self._sock.gettimeout()
        self._guard.limit_time(TRAILER_TIMEOUT_S)
        try:
            if self._has_trailer():
                self._read_and_discard_trailer()
            else:
                self.will_close = True
        except ConnectionError:
            self.will_close = True
        finally:
            self._guard.limit_time(None)
            self._sock.settimeout(timeout_s)

    def _has_trailer(self) -> bool:
        try:
            return bool(self.fp.peek(1))
        except OSError:
            return False


def _check_framing(headers: http.client.HTTPMessage) -> None:
    """Raise `HTTPException` if the headers do not tell for certain how the body is framed."""
    encodings = headers.get_all("transfer-encoding", [])
    if encodings and [encoding.strip().lower() for encoding in encodings] != ["chunked"]:
        raise HTTPException(f"unknown transfer encoding: {encodings}"[:100])
    lengths = {text.strip() for text in ",".join(headers.get_all("content-length", [])).split(",")}
    if "content-length" in headers and (
        len(lengths) != 1 or not LENGTH.fullmatch(next(iter(lengths)))
    ):
        raise HTTPException(f"invalid Content-Length: {sorted(lengths)}"[:100])


class _GuardedSocket:
    """Gives `HTTPResponse` a guarded reader in place of the socket's own."""

    def __init__(self, sock: socket.socket, guard: ReadGuard) -> None:
        self._sock = sock
        self._guard = guard

    def makefile(self, mode: str) -> io.BufferedReader:
        return LineReader(GuardedReader(self._sock, self._guard))
