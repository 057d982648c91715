"""A caller that reads a response from its socket, so that its framing and its end are seen."""

from __future__ import annotations

import contextlib
import socket
import uuid
from dataclasses import dataclass
from enum import StrEnum

from hibiscustray.platform.standins import ATTEMPT_ID, HOST, KEY, MODEL_HEADERS
from hibiscustray.web import Framing
from tests.platform.quiet import KINDS, STREAM
from tests.platform.site import HostedSite

READ_TIMEOUT_S = 5.0


class End(StrEnum):
    """What a caller can tell of the end of a response."""

    WHOLE = "whole"
    """The length was reached, or the last chunk was received."""
    CLOSED = "closed"
    """The connection was closed, which is all that marks the end of this body."""
    CUT = "cut"
    """The connection was closed before the length was reached or the last chunk was received."""
    RESET = "reset"
    SILENT = "silent"
    """Nothing more came for `READ_TIMEOUT_S`."""


@dataclass(frozen=True)
class RawResponse:
    """A response as it was received; `status` is 0 and `framing` None without a whole head."""

    status: int
    headers: dict[str, str]
    framing: Framing | None
    body: bytes
    end: End

    @property
    def is_certain(self) -> bool:
        """Return whether a caller takes the body for a whole one."""
        return self.end is End.WHOLE

    @property
    def is_broken(self) -> bool:
        """Return whether a caller sees that the body is not whole."""
        return self.end in (End.CUT, End.RESET, End.SILENT)


def call_raw(
    site: HostedSite, kind: str, version: str = "1.1", timeout_s: float = READ_TIMEOUT_S, **headers
) -> RawResponse:
    """Send a request of a kind with an HTTP version on a new connection, and read its response.

    `headers` are added to those of the request, with `_` for `-`.
    """
    with open_raw(site, kind, version, **headers) as connection:
        return read_raw(connection, timeout_s)


def open_raw(
    site: HostedSite, kind: str, version: str = "1.1", path: str = "", **headers: str
) -> socket.socket:
    """Send a request of a kind, to its usual path or another one, on a new connection.

    Returns the connection.
    """
    method, usual_path, service = KINDS[kind]
    path = path or usual_path
    body = b"" if method == "GET" else b"p" * 50
    fields = {
        "Host": HOST,
        ATTEMPT_ID: uuid.uuid4().hex,
        "Authorization": f"Bearer {KEY}",
        "X-Hibiscustray-Deadline-Ms": "4000",
        "Content-Length": str(len(body)),
    }
    if service == STREAM:
        fields |= MODEL_HEADERS
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/{version}", *(f"{n}: {v}" for n, v in fields.items())]
    connection = site.open_socket()
    connection.sendall("\r\n".join([*lines, "\r\n"]).encode() + body)
    return connection


def read_raw(connection: socket.socket, timeout_s: float = READ_TIMEOUT_S) -> RawResponse:
    """Read a response up to its end or the end of the connection."""
    connection.settimeout(timeout_s)
    data, end = b"", None
    while end is None:
        try:
            block = connection.recv(65536)
        except TimeoutError:
            return _parse(data, End.SILENT)
        except ConnectionError:
            return _parse(data, End.RESET)
        data += block
        if not block:
            return _parse(data, End.CLOSED)
        with contextlib.suppress(_Incomplete):
            end = _parse(data, None).end
    return _parse(data, None)


class _Incomplete(Exception):
    """More bytes are needed."""


def _parse(data: bytes, end: End | None) -> RawResponse:
    """Parse what was received; `end` is that of the connection, None while it is open.

    Raises `_Incomplete` if the connection is open and the response has not ended.
    """
    head, mark, rest = data.partition(b"\r\n\r\n")
    if not mark:
        return RawResponse(0, {}, None, b"", _break(end))
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines)}
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, is_whole = _decode_chunks(rest)
        framing = Framing.CHUNKS
    elif "content-length" in headers:
        length = int(headers["content-length"])
        body, is_whole = rest, len(rest) >= length
        framing = Framing.LENGTH
    else:
        closing = end or _break(None)
        return RawResponse(status, headers, Framing.CONNECTION, rest, closing)
    return RawResponse(status, headers, framing, body, End.WHOLE if is_whole else _break(end))


def _break(end: End | None) -> End:
    """Return the end of a response that is not whole."""
    if end is None:
        raise _Incomplete
    return End.CUT if end is End.CLOSED else end


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the body in chunks so far and whether the last chunk has been received."""
    body = b""
    while True:
        line, mark, rest = data.partition(b"\r\n")
        if not mark:
            return body, False
        size = int(line, 16)
        if size == 0:
            return body, rest.startswith(b"\r\n")
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        data = rest[size + 2 :]
