"""An HTTP server: a WSGI router served by waitress in a background thread."""

from __future__ import annotations

import contextlib
import logging
import math
import re
import socket
import ssl
import struct
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import SettingsError
from hibiscustray.web.bodies import BodiesExceeded, BodyBudget, BodyShare
from hibiscustray.web.client import RESET_ON_CLOSE
from hibiscustray.web.problem import PROBLEM_JSON, make_problem
from hibiscustray.web.tls import TlsTerminator

log = logging.getLogger(__name__)

JSON = "application/json"
LOOP_TIMEOUT_S = 2.0
CLOSING_LOOP_TIMEOUT_S = 0.2
FINISH_TIMEOUT_S = 5.0
FINISH_POLL_INTERVAL_S = 0.02
IDLE_TIMEOUT_S = 30
CLEANUP_INTERVAL_S = 5
MAX_OPEN_CONNECTIONS = 4096
MAX_HEADERS_B = 64 * 1024
CHUNKED_HEADER = b"\r\nTransfer-Encoding: chunked\r\n"
CONTROL_CHARACTER = re.compile(r"[\x00-\x20\x7f]")
NO_LINGER = struct.pack("ii", 0, 0)
RECEIVED_AT = "hibiscustray.received_at"
"""Key in the WSGI environment of the time of `read_clock` at which a request had been received."""
END_WITH_CONNECTION = "hibiscustray.end_with_connection"
"""Key in the WSGI environment of a function, to be called before the response is started, after
which only the end of the connection marks the end of the response's body."""
CHUNKED_STEP_B = 64 * 1024
"""Step in which a body without a length is counted."""
LINGER_S = 1.0
"""Time for which bytes of a rejected body are discarded: the reset that follows bytes which nobody
has read may reach the caller before it has read the response."""
MAX_BUFFER_B = 1 << 40
"""Larger than any body, so that waitress never writes a buffer to a temporary file."""
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True)
class Request:
    """An HTTP request; `path_parameters` holds the path parts that its route names."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    path_parameters: Mapping[str, str]
    is_disconnected: Callable[[], bool]


@dataclass(frozen=True)
class Response:
    """An HTTP response; a body that is an iterable is streamed block by block."""

    status: int = 200
    body: bytes | Iterable[bytes] = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = field(default_factory=tuple)

    @classmethod
    def json(cls, value: Any, status: int = 200, headers=()) -> Response:
        """Return a response whose body is a value encoded as JSON."""
        return cls(status, msgspec.json.encode(value), JSON, tuple(headers))


Handler = Callable[[Request], Response]


class Router:
    """Dispatches requests by method and path pattern, such as ``/v1/services/{service}``."""

    def __init__(self, on_error: Callable[[Exception], Response]) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []
        self._on_error = on_error

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Register a handler; ``{name}`` matches one part of the path, ``{name+}`` one or more."""
        regex = re.sub(r"\{(\w+)\+\}", r"(?P<\1>.+)", pattern)
        regex = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", regex)
        self._routes.append((method, re.compile(f"^{regex}$"), handler))

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Handle one WSGI request."""
        response = self._dispatch(environ)
        headers = [("Content-Type", response.content_type), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        status = f"{response.status} {REASON_PHRASES.get(response.status, 'Status')}"
        start_response(status, headers)
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _dispatch(self, environ: dict[str, Any]) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        has_path_match = False
        for route_method, pattern, handler in self._routes:
            match = pattern.match(path)
            if match is None:
                continue
            if route_method != method:
                has_path_match = True
                continue
            try:
                return handler(_read_request(environ, match.groupdict()))
            except Exception as error:
                return self._on_error(error)
        status = 405 if has_path_match else 404
        return Response(status, make_problem(status, REASON_PHRASES[status]), PROBLEM_JSON)


class ProblemTask(ErrorTask):
    """Sends a problem body for a request that waitress could not parse or whose handler failed."""

    def execute(self) -> None:
        """Write the response and close the connection."""
        self.channel.is_body_rejected |= isinstance(self.request.error, BodiesExceeded)
        status, headers, _ = self.request.error.to_response(None)
        code, reason = status.split(" ", 1)
        body = make_problem(int(code), reason)
        self.status = status
        self.response_headers.extend(h for h in headers if h[0].lower() != "content-type")
        self.response_headers.append(("Content-Type", PROBLEM_JSON))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class ResponseTask(WSGITask):
    """Sends a response, with ``Connection: close`` if keep-alive is disabled.

    A body that is broken off and whose end only the connection marks is followed by a reset.
    """

    ends_with_connection = False

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment with the time at which the request had been received."""
        environ = super().get_environment()
        environ[RECEIVED_AT] = self.request.received_at
        environ[END_WITH_CONNECTION] = self.end_with_connection
        return environ

    def end_with_connection(self) -> None:
        """Send neither a length nor chunks."""
        self.ends_with_connection = True

    def build_response_header(self) -> bytes:
        """Return the head of the response."""
        # A request that was received behind this one is served on the same connection.
        if self.channel.server.is_keep_alive_disabled and len(self.channel.requests) == 1:
            self.set_close_on_finish()
        if self.ends_with_connection:
            # Waitress sends a body of one block with its length.
            self.content_length = None
        head = super().build_response_header()
        if self.ends_with_connection and self.chunked_response:
            self.chunked_response = False
            head = head.replace(CHUNKED_HEADER, b"\r\n", 1)
        names = {name for name, _ in self.response_headers}
        if self.has_body and not self.chunked_response and "Content-Length" not in names:
            self.channel.reset_unless_finished()
        if self._is_head:
            # Waitress would send the last chunk.
            self.chunked_response = False
        return head

    def write(self, data: bytes) -> None:
        """Send the head before the first data, and the data unless the request is for the head."""
        super().write(b"" if self._is_head else data)

    def finish(self) -> None:
        """End the response."""
        super().finish()
        self.channel.is_response_finished = True

    @property
    def _is_head(self) -> bool:
        return self.request.command == "HEAD"


class StrictParser(HTTPRequestParser):
    """Rejects requests whose body has no certain end, which allows request smuggling."""

    received_at: float | None = None

    def __init__(self, adjustments: Adjustments) -> None:
        super().__init__(adjustments)
        self._share = BodyShare()

    def received(self, data: bytes) -> int:
        """Process received bytes and record when the request is complete.

        A request whose body exceeds the budget of all bodies is complete with an error, and its
        bytes are discarded.
        """
        size_b = super().received(data)
        if self.error is None and not self._count_body():
            self.close()
            self.error = BodiesExceeded("the request was not read")
            self.completed, self.expect_continue = True, False
            size_b = len(data)
        if self.completed and self.received_at is None:
            self.received_at = read_clock()
        return size_b

    def _count_body(self) -> bool:
        """Count a body as soon as its head is known, or step by step if it has no length."""
        size_b = self.content_length
        if self.chunked:
            size_b = math.ceil(self.body_bytes_received / CHUNKED_STEP_B) * CHUNKED_STEP_B
        return size_b <= self._share.size_b or self.adj.bodies.extend(self._share, size_b)

    def close(self) -> None:
        """Release the body."""
        super().close()
        self.release_share()

    def release_share(self) -> None:
        """Count the body as no longer held; may be called from any thread."""
        self.adj.bodies.release(self._share)

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the headers of a request."""
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError(f"request cannot be parsed: {error}"[:200]) from error
        if CONTROL_CHARACTER.search(self.request_uri):
            raise ParsingError("request target has control characters")
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("request has both Content-Length and chunked transfer encoding")
        # Waitress removes the header only from requests of HTTP/1.1, whose chunks it reads.
        if "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("transfer encoding requires HTTP/1.1")


class ServerChannel(HTTPChannel):
    """A connection that sends problem bodies and measures how long request headers take."""

    error_task_class = ProblemTask
    task_class = ResponseTask
    parser_class = StrictParser
    incomplete_since: float | None = None
    is_response_finished = False
    _is_reset_set = False
    is_body_rejected = False
    _lingers_until: float | None = None

    def received(self, data: bytes) -> bool:
        """Process received bytes and record since when a request has been incomplete.

        Nothing is read behind a request whose body was rejected.
        """
        if self.is_body_rejected:
            if self.is_lingering_over():
                self.handle_close()
            return False
        is_accepted = super().received(data)
        if self.request is None:
            self.incomplete_since = None
        elif self.incomplete_since is None:
            self.incomplete_since = time.monotonic()
        return is_accepted

    def reset_unless_finished(self) -> None:
        """Let closing reset the connection unless the response is finished and has been sent.

        The kernel then also resets the connection of a process that is killed.
        """
        self.is_response_finished = False
        self._set_linger(RESET_ON_CLOSE)
        self._is_reset_set = True

    def handle_close(self) -> None:
        """Close the connection, after a while if a body was rejected that is still being sent."""
        if self.is_body_rejected and self._lingers_until is None and self.connected:
            self._lingers_until = time.monotonic() + LINGER_S
            self.will_close = self.close_when_flushed = False
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
            return
        self._clear_reset()
        super().handle_close()
        self._release_shares()

    def close(self) -> None:
        """Close the connection when the server stops."""
        self._clear_reset()
        super().close()
        self._release_shares()

    def is_lingering_over(self) -> bool:
        """Return whether bytes of a rejected body have been discarded for long enough."""
        return self._lingers_until is not None and time.monotonic() > self._lingers_until

    def _release_shares(self) -> None:
        """Release the shares of requests that have no task; the first one's task does it.

        The lock of the requests is not taken: waitress closes a channel that is lost while it holds
        that lock.
        """
        for request in [self.request, *self.requests[1:]]:
            if request is not None:
                request.release_share()

    def _clear_reset(self) -> None:
        if self._is_reset_set and self.is_response_finished and not self.total_outbufs_len:
            self._set_linger(NO_LINGER)

    def _set_linger(self, value: bytes) -> None:
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def exceeds_header_timeout(self, timeout_s: float) -> bool:
        """Return whether request headers have been incomplete for longer than a timeout."""
        request, since = self.request, self.incomplete_since
        if request is None or since is None or request.headers_finished:
            return False
        return time.monotonic() - since > timeout_s


class Listener(TcpWSGIServer):
    """Accepts connections for waitress and passes them to the TLS terminator if there is one."""

    channel_class = ServerChannel
    terminator: TlsTerminator | None = None
    is_keep_alive_disabled = False
    header_timeout_s = float("inf")

    def maintenance(self, now: float) -> None:
        """Close connections that are idle or exceed the header timeout."""
        open_channels = [c for c in self.active_channels.values() if not c.will_close]
        super().maintenance(now)
        idle = sum(channel.will_close for channel in open_channels)
        late = 0
        for channel in self.active_channels.values():
            if not channel.requests and channel.exceeds_header_timeout(self.header_timeout_s):
                late += not channel.will_close
                channel.will_close = True
            elif channel.is_lingering_over():
                channel.will_close = True
        if idle or late:
            log.info(
                "connections closed",
                extra={
                    "idle": idle,
                    "late_headers": late,
                    "idle_timeout_s": self.adj.channel_timeout,
                },
            )

    def close_idle_channels(self) -> None:
        """Close the connections without a request, or with one whose headers take too long.

        Call this only from the server thread.
        """
        for channel in list(self.active_channels.values()):
            if channel.requests or channel.total_outbufs_len:
                continue
            if channel.request is None or channel.exceeds_header_timeout(self.header_timeout_s):
                channel.will_close = True

    def handle_accept(self) -> None:
        """Accept one connection."""
        if self.terminator is None:
            super().handle_accept()
            return
        accepted = self.accept()
        if accepted is not None:
            self.terminator.serve(*accepted)

    def add_connection(self, connection: socket.socket, address: tuple[str, int]) -> None:
        """Serve a connection whose TLS has been terminated; may be called from any thread."""
        self.channel_class(self, connection, address, self.adj, map=self._map)
        self.pull_trigger()


class HttpServer:
    """A waitress server that runs in a thread of its own and has a pool of worker threads."""

    def __init__(
        self,
        app,
        address: str,
        port: int,
        threads: int,
        max_body_b: int = 1 << 30,
        context: ssl.SSLContext | None = None,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._map: dict[int, Any] = {}
        self._server = _make_listener(
            app, _bind_socket(address, port), self._map, threads, max_body_b
        )
        self._server.adj.bodies = bodies or BodyBudget()
        if context is not None:
            self._server.terminator = TlsTerminator(context, self._server.add_connection)
        self._scheme = "https" if context is not None else "http"
        self._listener_closing = threading.Event()
        self._idle_closing = threading.Event()
        self._all_closed = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"http-{port}", daemon=True)
        self.address = address
        self.port: int = self._server.socket.getsockname()[1]

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"{self._scheme}://{self.address}:{self.port}"

    def start(self) -> None:
        """Start the server thread."""
        self._thread.start()

    def set_limits(self, idle_timeout_s: float, header_timeout_s: float, max_body_b: int) -> None:
        """Set the idle timeout, the timeout for request headers and the maximum body size."""
        self._server.adj.channel_timeout = max(1, math.ceil(idle_timeout_s))
        self._server.adj.max_request_body_size = max_body_b + 1
        self._server.header_timeout_s = header_timeout_s

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response, announced by ``Connection: close``."""
        self._server.is_keep_alive_disabled = True

    def close_listener(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._listener_closing.set()
        self._server.pull_trigger()

    def close_idle_connections(self) -> None:
        """Close idle connections now, and the others as soon as they become idle."""
        self._idle_closing.set()
        self._server.pull_trigger()

    def wait_until_closed(self, timeout_s: float) -> bool:
        """Wait until no connection is open after `close_idle_connections`; False on timeout."""
        return self._all_closed.wait(max(0.0, timeout_s))

    def stop(self) -> None:
        """Stop accepting connections and finish pending responses; a second call does nothing."""
        if self._stopping.is_set():
            return
        self._listener_closing.set()
        self._stopping.set()
        self._server.pull_trigger()
        if self._thread.is_alive():
            self._thread.join()
        if self._server.terminator is not None:
            self._server.terminator.close()
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
        wasyncore.close_all(self._map)

    def _run(self) -> None:
        while not self._listener_closing.is_set():
            self._loop(LOOP_TIMEOUT_S)
        self._server.accepting = False
        self._map.pop(self._server.socket.fileno(), None)
        self._server.socket.close()
        while not self._stopping.is_set():
            if self._idle_closing.is_set():
                self._server.close_idle_channels()
                if not self._server.active_channels:
                    self._all_closed.set()
                self._loop(CLOSING_LOOP_TIMEOUT_S)
            else:
                self._loop(LOOP_TIMEOUT_S)
        deadline = time.monotonic() + FINISH_TIMEOUT_S
        while time.monotonic() < deadline and self._is_writing():
            self._loop(FINISH_POLL_INTERVAL_S)

    def _loop(self, timeout_s: float) -> None:
        wasyncore.loop(timeout=timeout_s, use_poll=True, map=self._map, count=1)

    def _is_writing(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(channel.requests or channel.total_outbufs_len for channel in channels)


def _make_listener(
    app, sock: socket.socket, sockets: dict[int, Any], threads: int, max_body_b: int
) -> Listener:
    """Return a server that buffers bodies in memory only, since VMs have no disk for files."""
    adjustments = Adjustments(
        sockets=[sock],
        threads=threads,
        channel_request_lookahead=1,
        channel_timeout=IDLE_TIMEOUT_S,
        cleanup_interval=CLEANUP_INTERVAL_S,
        max_request_body_size=max_body_b + 1,
        max_request_header_size=MAX_HEADERS_B,
        inbuf_overflow=MAX_BUFFER_B,
        outbuf_overflow=MAX_BUFFER_B,
        asyncore_use_poll=True,
        connection_limit=MAX_OPEN_CONNECTIONS,
        clear_untrusted_proxy_headers=True,
        ident=None,
        expose_tracebacks=False,
    )
    dispatcher = ThreadedTaskDispatcher()
    dispatcher.set_thread_count(threads)
    socket_info = (sock.family, sock.type, sock.proto, sock.getsockname())
    return Listener(
        app,
        sockets,
        True,
        sock,
        dispatcher=dispatcher,
        adj=adjustments,
        sockinfo=socket_info,
        bind_socket=False,
    )


def _bind_socket(address: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((address, port))
    except OSError as error:
        sock.close()
        problem = f"address {address}, port {port}: found {error.strerror}; allowed: a free port"
        raise SettingsError((problem,)) from error
    return sock


def read_body(environ: dict[str, Any]) -> bytes:
    """Return the body of a request, whose buffer is freed."""
    stream = environ["wsgi.input"]
    body = stream.read()
    stream.close()
    return body


def _read_request(environ: dict[str, Any], path_parameters: dict[str, str]) -> Request:
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=read_body(environ),
        path_parameters=path_parameters,
        is_disconnected=environ.get("waitress.client_disconnected", lambda: False),
    )
