"""How callers read a response, and what they can tell of its end."""

from __future__ import annotations

import contextlib
import http.client
import io
import socket
from dataclasses import dataclass
from enum import StrEnum
from http.client import RemoteDisconnected

READ_SIZE_B = 65536


class ResponseEnd(StrEnum):
    """What a caller can tell of the end of a response."""

    CERTAIN = "certain"
    """The length was reached, or the last chunk was received."""
    CLOSED = "closed"
    """Only the orderly end of its connection ends this body."""
    CUT = "cut"
    """The connection ended before the head, the length or the last chunk."""
    RESET = "reset"
    SILENT = "silent"
    """Nothing more came until the timeout of the connection."""

    @property
    def appears_complete(self) -> bool:
        """Return whether nothing shows that the response is not whole."""
        return self in (ResponseEnd.CERTAIN, ResponseEnd.CLOSED)


@dataclass(frozen=True)
class CallerResponse:
    """A response as a caller received it."""

    status: int
    is_sealed: bool
    body: bytes
    end: ResponseEnd
    retry_after_s: float = 0.0
    is_connection_closed: bool = False

    @property
    def is_ended(self) -> bool:
        """Return whether the response appeared complete."""
        return self.end.appears_complete


class _LineReader(io.BufferedReader):
    def readline(self, size: int | None = -1) -> bytes:
        """Return a line; raise `RemoteDisconnected` if the connection ends before its end."""
        line = super().readline(size)
        if not line.endswith(b"\n"):
            raise RemoteDisconnected("the connection ended within the head or a chunk size")
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response that takes no end of the connection for that of a head or of a chunk size."""

    def __init__(self, sock: socket.socket, *args, **options) -> None:
        super().__init__(sock, *args, **options)
        self.fp = _LineReader(self.fp.detach())

    def _read_and_discard_trailer(self) -> None:
        # After the last chunk, the body is whole even if the connection ends.
        with contextlib.suppress(RemoteDisconnected):
            super()._read_and_discard_trailer()


def read_body(response: http.client.HTTPResponse) -> tuple[bytes, ResponseEnd]:
    """Return the body of a response, as far as it is received, and how it ended."""
    body = b""
    try:
        while block := response.read1(READ_SIZE_B):
            body += block
    except http.client.HTTPException:
        return body, ResponseEnd.CUT
    except ConnectionError:
        return body, ResponseEnd.RESET
    except OSError:
        return body, ResponseEnd.SILENT
    if response.length:
        return body, ResponseEnd.CUT
    if response.length is None and not response.chunked:
        return body, ResponseEnd.CLOSED
    return body, ResponseEnd.CERTAIN
