"""A thread-safe HTTP client with a connection pool, built on http.client."""

from __future__ import annotations

import contextlib
import http.client
import re
import select
import socket
import ssl
import struct
import threading
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from urllib.parse import urlsplit

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import (
    ResponseInvalid,
    SendWithdrawn,
    UpstreamConnectionLost,
    UpstreamSilent,
    UpstreamUnreachable,
)
from hibiscustray.web.bounded import GuardedResponse, ReadGuard
from hibiscustray.web.framing import Framing

MAX_IDLE_CONNECTIONS = 32
READ_SIZE_B = 65536
LINE_FOLD = re.compile(r"[ \t]*[\r\n]+[ \t\r\n]*")
"""The end of a line within a header and the space around it, which stand for one space."""
METHODS_WITH_BODY = frozenset(("PATCH", "POST", "PUT"))
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_LINE_B = 1024 * 1024
MAX_BODY_B = 64 * 1024 * 1024
"""Limits of lines and of bodies that are read as a whole."""
BODY_TIMEOUT_S = 60.0
"""Time for a body that is read as a whole, several times that of the largest object."""
TCP_USER_TIMEOUT_MS = 3000
"""The kernel closes a connection whose sent data stays unacknowledged for this time.

On an idle connection it counts from the last data received, up to `TCP_KEEP_ALIVE_IDLE_S` before
the first probe, so that a VM may be silent for two seconds.
"""
TCP_KEEP_ALIVE_IDLE_S = 1
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBES = 2
"""With these values the kernel detects an unresponsive peer on an idle connection in about 3 s."""


@dataclass(frozen=True)
class ClientResponse:
    """An HTTP response whose body has been read completely.

    `sent_at` and `read_at` are the times of `read_clock` in seconds at which the request had been
    sent and at which the headers were read.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    sent_at: float | None = None
    read_at: float = 0.0


class HttpStream:
    """An HTTP response whose body is read line by line or in blocks."""

    def __init__(
        self,
        client: HttpClient,
        connection,
        response,
        sock: socket.socket,
        sent_at: float,
        guard: ReadGuard,
        is_sent: bool = True,
    ) -> None:
        self._client = client
        self._guard = guard
        self._is_sent = is_sent
        # Kept, as http.client clears `connection.sock` if the response ends the connection.
        self._sock = sock
        self._connection = connection
        self._response = response
        self._lock = threading.Lock()
        self._is_closed = False
        # Times of `read_clock` at which the request had been sent and the headers were read.
        self.sent_at = sent_at
        self.read_at = read_clock()
        self.status: int = response.status
        # A folded value cannot be passed on.
        self.headers = {
            name.lower(): LINE_FOLD.sub(" ", value).strip(" \t")
            for name, value in response.getheaders()
        }
        self.framing = _find_framing(response)

    def read_lines(self) -> Iterator[bytes]:
        """Yield body lines as they arrive.

        Raises `UpstreamConnectionLost` on truncation, `ResponseInvalid` if a line is too long.
        """
        while True:
            try:
                line = self._response.readline(MAX_LINE_B)
            except (OSError, http.client.HTTPException, ValueError) as error:
                raise UpstreamConnectionLost(str(error)) from error
            if not line:
                self._check_end()
                return
            if len(line) == MAX_LINE_B and not line.endswith(b"\n"):
                raise ResponseInvalid(f"a line exceeds {MAX_LINE_B} bytes")
            yield line

    def read_block(self) -> bytes:
        """Return the next bytes of the body as they arrive, or no bytes at its end.

        Raises `UpstreamConnectionLost` if the body is truncated.
        """
        try:
            block = self._response.read1(READ_SIZE_B)
        except TimeoutError as error:
            raise UpstreamSilent(str(error)) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UpstreamConnectionLost(str(error)) from error
        if not block:
            self._check_end()
        return block

    def read_all(self, timeout_s: float = BODY_TIMEOUT_S, max_body_b: int | None = None) -> bytes:
        """Return the rest of the body, which must arrive within a time in seconds.

        Raises `UpstreamConnectionLost` if the body is truncated or late, or `ResponseInvalid` if it
        is longer than `max_body_b` bytes, by default `MAX_BODY_B`.
        """
        max_body_b = MAX_BODY_B if max_body_b is None else max_body_b
        self._guard.limit_time(timeout_s)
        if (self._response.length or 0) > max_body_b:
            raise ResponseInvalid(f"the body exceeds {max_body_b} bytes")
        body = bytearray()
        while block := self.read_block():
            body += block
            if len(body) > max_body_b:
                raise ResponseInvalid(f"the body exceeds {max_body_b} bytes")
        return bytes(body)

    def read_response(self, max_body_b: int | None = None) -> ClientResponse:
        """Return the response with its whole body and close it; raises what `read_all` raises."""
        try:
            body = self.read_all(max_body_b=max_body_b)
            return ClientResponse(self.status, self.headers, body, self.sent_at, self.read_at)
        finally:
            self.close()

    def _check_end(self) -> None:
        """Raise `UpstreamConnectionLost` if the end of the connection is not that of the body."""
        if self._response.length:
            raise UpstreamConnectionLost(f"{self._response.length} bytes of the body are missing")
        if not self._is_sent and not self.framing.is_delimited:
            # The kernel has reported the reset to the sender; the reader sees an orderly end.
            raise UpstreamConnectionLost("the connection was reset while the request was sent")

    def set_timeout(self, seconds: float) -> None:
        """Set the timeout for receiving the next bytes."""
        self._sock.settimeout(seconds)

    def abort(self) -> None:
        """Shut the connection down, which wakes a blocked reader; may be called from any thread."""
        with self._lock:
            if not self._is_closed:
                _cancel(self._sock, self._guard)

    def close(self) -> None:
        """Return the connection to the pool if the response was read to the end, else close it."""
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
        if self._response.isclosed() and not self._response.will_close:
            self._client.release(self._connection)
        else:
            _reset_on_close(self._sock)
            self._response.close()
            self._connection.close()


class HttpClient:
    """Keeps a pool of idle connections to one server and sends one request at a time on each.

    Raises `UpstreamUnreachable` if there is no such URL.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float = 5.0,
        context: ssl.SSLContext | None = None,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        try:
            url_parts = urlsplit(base_url)
            self._host, self._port = url_parts.hostname or "", url_parts.port
        except ValueError as error:
            raise UpstreamUnreachable(f"{base_url[:100]}: {error}"[:200]) from error
        self.base_url = base_url.rstrip("/")
        self._prefix = url_parts.path.rstrip("/")
        self._timeout_s = timeout_s
        self._is_secure = url_parts.scheme == "https"
        self._context = context
        self._max_idle_connections = max_idle_connections
        self._idle: list[http.client.HTTPConnection] = []
        self._lock = threading.Lock()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        connect_timeout_s: float | None = None,
        max_body_b: int | None = None,
    ) -> ClientResponse:
        """Send a request and return its response with the body read.

        Raises what `open` and `HttpStream.read_all` raise.
        """
        stream = self.open(
            method, path, body, headers, timeout_s, connect_timeout_s=connect_timeout_s
        )
        return stream.read_response(max_body_b)

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        is_fresh: bool = False,
        on_connect: Callable[[Callable[[], None]], None] | None = None,
        connect_timeout_s: float | None = None,
        make_late_headers: Callable[[], Mapping[str, str]] | None = None,
    ) -> HttpStream:
        """Send a request and return its response with the body unread.

        `timeout_s` limits the time for the whole head and for each wait in the body. `is_fresh`
        opens a new connection, since the server may have closed an idle one. `on_connect` is passed
        a function that ends reading and shuts the connection down, even while `open` waits for the
        response; if it raises `SendWithdrawn`, nothing is sent. `make_late_headers` returns headers
        that depend on when the request is sent. Raises `UpstreamUnreachable` if no connection could
        be opened or the request cannot be encoded, so that nothing was sent, or
        `UpstreamConnectionLost` if the connection fails after that.
        """
        timeout_s = timeout_s or self._timeout_s
        connect_timeout_s = connect_timeout_s or timeout_s
        connection = None if is_fresh else self._acquire(timeout_s)
        is_reused = connection is not None
        connection = connection or self._connect(timeout_s, connect_timeout_s)
        guard = ReadGuard(timeout_s)
        connection.response_class = partial(GuardedResponse, guard=guard)
        try:
            if on_connect is not None:
                on_connect(partial(_cancel, connection.sock, guard))
            if make_late_headers is not None:
                headers = {**(headers or {}), **make_late_headers()}
        except SendWithdrawn:
            connection.close()
            raise
        # Kept, as `getresponse` clears `connection.sock` if the response ends the connection.
        sock = connection.sock
        try:
            _put_head(connection, method, self._prefix + path, body, headers or {})
        except (ValueError, http.client.HTTPException) as error:
            connection.close()
            raise UpstreamUnreachable(f"the request cannot be encoded: {error}"[:200]) from error
        try:
            is_sent = _send(connection, body)
            sent_at = read_clock()
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            _reset_on_close(sock)
            connection.close()
            is_silent = isinstance(error, TimeoutError)
            if is_reused and method == "GET" and on_connect is None and not is_silent:
                # The server closed the idle connection before it read the request.
                return self.open(
                    method, path, body, headers, timeout_s, True, None, connect_timeout_s
                )
            failure = UpstreamSilent if is_silent else UpstreamConnectionLost
            raise failure(f"{self.base_url}: {error}") from error
        return HttpStream(self, connection, response, sock, sent_at, guard, is_sent)

    def release(self, connection: http.client.HTTPConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        with self._lock:
            if len(self._idle) < self._max_idle_connections:
                self._idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _acquire(self, timeout_s: float) -> http.client.HTTPConnection | None:
        """Return an idle connection, None if there is none."""
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return None
            if _is_usable(connection):
                connection.sock.settimeout(timeout_s)
                return connection
            connection.close()

    def _connect(self, timeout_s: float, connect_timeout_s: float) -> http.client.HTTPConnection:
        try:
            connection = self._make_connection(connect_timeout_s)
            connection.connect()
        except (OSError, OverflowError, UnicodeError, http.client.InvalidURL) as error:
            raise UpstreamUnreachable(f"{self.base_url}: {error}") from error
        connection.sock.settimeout(timeout_s)
        set_socket_options(connection.sock)
        return connection

    def _make_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        if not self._is_secure:
            return http.client.HTTPConnection(self._host, self._port, timeout=timeout_s)
        return http.client.HTTPSConnection(
            self._host, self._port, timeout=timeout_s, context=self._context
        )


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and let the kernel detect an unresponsive peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES)


def _put_head(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> None:
    """Encode the head of a request, which is sent later."""
    names = {name.lower() for name in headers}
    connection.putrequest(
        method,
        path,
        skip_host="host" in names,
        skip_accept_encoding="accept-encoding" in names,
    )
    has_length = "content-length" in names or "transfer-encoding" in names
    if not has_length and (body or method in METHODS_WITH_BODY):
        connection.putheader("Content-Length", str(len(body)))
    for name, value in headers.items():
        connection.putheader(name, value)


def _send(connection: http.client.HTTPConnection, body: bytes) -> bool:
    """Send a request; return False if the connection was lost within its body.

    A server may respond and close the connection before it has read the whole body.
    """
    try:
        connection.endheaders(body or None)
    except (BrokenPipeError, ConnectionResetError):
        if not body:
            raise
        return False
    return True


def _find_framing(response: http.client.HTTPResponse) -> Framing:
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION if response.length is None else Framing.LENGTH


def _cancel(sock: socket.socket, guard: ReadGuard) -> None:
    """End reading and wake a blocked reader."""
    guard.cancel()
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _reset_on_close(sock: socket.socket) -> None:
    """Let closing reset the connection.

    Otherwise a server that sends without end, to a client that has shut its side down and closed,
    may wait for the full receive window until the kernel forgets the connection.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _is_usable(connection: http.client.HTTPConnection) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    if connection.sock is None:
        return False
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return not poller.poll(0)
