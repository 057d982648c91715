"""A pooled HTTP client over http.client, safe for many threads."""

from __future__ import annotations

import contextlib
import http.client
import select
import socket
import ssl
import threading
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from urllib.parse import urlsplit

from hibiscustray.exceptions import UpstreamConnectionLost, UpstreamUnreachable

IDLE_CONNECTIONS = 32
READ_SIZE_B = 65536


@dataclass(frozen=True)
class HttpReply:
    """A whole HTTP answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpStream:
    """An HTTP answer whose body is read line by line or in blocks."""

    def __init__(self, client: HttpClient, connection, response, sock: socket.socket) -> None:
        self._client = client
        # The connection forgets its socket when the server closes after the answer.
        self._sock = sock
        self._connection = connection
        self._response = response
        self._lock = threading.Lock()
        self._is_closed = False
        self.status: int = response.status
        self.headers = {key.lower(): value for key, value in response.getheaders()}

    @property
    def is_delimited(self) -> bool:
        """Tell whether the answer's framing shows its end, so that a cut cannot pass as one."""
        return self._response.chunked or "content-length" in self.headers

    def read_lines(self) -> Iterator[bytes]:
        """Yield body lines as they arrive; raise `UpstreamConnectionLost` on a cut."""
        while True:
            try:
                line = self._response.readline()
            except (OSError, http.client.HTTPException, ValueError) as error:
                raise UpstreamConnectionLost(str(error)) from error
            if not line:
                return
            yield line

    def read_all(self) -> bytes:
        """Return the rest of the body."""
        try:
            return self._response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UpstreamConnectionLost(str(error)) from error

    def set_timeout(self, seconds: float) -> None:
        """Bound the wait for the next bytes."""
        self._sock.settimeout(seconds)

    def abort(self) -> None:
        """Cut the connection from any thread, which wakes a reader blocked on it."""
        with self._lock:
            if not self._is_closed:
                _cut_socket(self._sock)

    def close(self) -> None:
        """Give the connection back if its answer was read to the end, else close it."""
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
        if self._response.isclosed() and not self._response.will_close:
            self._client.release(self._connection)
        else:
            self._response.close()
            self._connection.close()


class HttpClient:
    """Keeps idle connections to one server; one request at a time on each."""

    def __init__(
        self, base_url: str, timeout_s: float = 5.0, context: ssl.SSLContext | None = None
    ) -> None:
        parts = urlsplit(base_url)
        self.base_url = base_url.rstrip("/")
        self._host = parts.hostname or ""
        self._port = parts.port
        self._prefix = parts.path.rstrip("/")
        self._timeout_s = timeout_s
        self._is_secure = parts.scheme == "https"
        self._context = context
        self._idle: list[http.client.HTTPConnection] = []
        self._lock = threading.Lock()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HttpReply:
        """Send a request and return its whole answer."""
        stream = self.open(method, path, body, headers, timeout_s)
        try:
            return HttpReply(stream.status, stream.headers, stream.read_all())
        finally:
            stream.close()

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        is_fresh: bool = False,
        on_connect: Callable[[Callable[[], None]], None] | None = None,
    ) -> HttpStream:
        """Send a request and return its answer with the body unread.

        A fresh connection cannot have been closed by the server while it was idle. `on_connect`
        is given a function that cuts the connection, also while the answer is waited for.
        Raises `UpstreamUnreachable` when nothing was sent, `UpstreamConnectionLost` otherwise.
        """
        timeout_s = timeout_s or self._timeout_s
        connection = self._connect(timeout_s) if is_fresh else self._take(timeout_s)
        if on_connect is not None:
            on_connect(partial(_cut_socket, connection.sock))
        # A connection that the server will close gives its socket up to the response.
        sock = connection.sock
        try:
            connection.request(method, self._prefix + path, body, dict(headers or {}))
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise UpstreamConnectionLost(f"{self.base_url}: {error}") from error
        return HttpStream(self, connection, response, sock)

    def release(self, connection: http.client.HTTPConnection) -> None:
        """Keep an idle connection for the next request."""
        with self._lock:
            if len(self._idle) < IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _take(self, timeout_s: float) -> http.client.HTTPConnection:
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return self._connect(timeout_s)
            if _is_usable(connection):
                connection.sock.settimeout(timeout_s)
                return connection
            connection.close()

    def _connect(self, timeout_s: float) -> http.client.HTTPConnection:
        connection = self._make_connection(timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise UpstreamUnreachable(f"{self.base_url}: {error}") from error
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _make_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        if not self._is_secure:
            return http.client.HTTPConnection(self._host, self._port, timeout=timeout_s)
        return http.client.HTTPSConnection(
            self._host, self._port, timeout=timeout_s, context=self._context
        )


def _cut_socket(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _is_usable(connection: http.client.HTTPConnection) -> bool:
    """Tell whether an idle connection is open with nothing waiting to be read."""
    if connection.sock is None:
        return False
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return not poller.poll(0)
