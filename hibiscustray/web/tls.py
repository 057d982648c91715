"""TLS termination for waitress: one thread per connection copies its data to a socket pair."""

from __future__ import annotations

import contextlib
import logging
import select
import socket
import ssl
import threading
from collections.abc import Callable

from hibiscustray.exceptions import SettingsError
from hibiscustray.web.client import RESET_ON_CLOSE

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_MS = 120_000
WRITE_TIMEOUT_MS = 30_000
BLOCK_B = 65536
MAX_TLS_CONNECTIONS = 1024

ConnectionHandler = Callable[[socket.socket, tuple[str, int]], None]


def make_server_context(certificate: str, key: str, authority: str = "") -> ssl.SSLContext | None:
    """Return a server's TLS context, or None without a certificate.

    With an authority, clients must present a certificate that it has signed.
    """
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(certificate, key or None)
        if authority:
            context.load_verify_locations(authority)
            context.verify_mode = ssl.CERT_REQUIRED
    except OSError as error:
        problem = f"[security] http_certificate, http_key: cannot be loaded: {error}"
        raise SettingsError((problem,)) from error
    return context


def make_client_context(
    authority: str = "", certificate: str = "", key: str = ""
) -> ssl.SSLContext | None:
    """Return a client's TLS context that trusts one authority, or None without an authority."""
    if not authority:
        return None
    try:
        context = ssl.create_default_context(cafile=authority)
        if certificate:
            context.load_cert_chain(certificate, key or None)
    except OSError as error:
        raise SettingsError((f"authority {authority!r} cannot be loaded: {error}",)) from error
    return context


class ServerEnd(socket.socket):
    """The server's end of a socket pair, whose `SO_LINGER` is that of the client's connection.

    The connection is reset on close from the time at which the server sets that. What the server
    sets later is kept in `linger` until all of its data has been copied.
    """

    def __init__(self, plain: socket.socket, connection: socket.socket) -> None:
        super().__init__(plain.family, plain.type, plain.proto, plain.detach())
        self.linger: bytes | None = None
        self._connection = connection

    def setsockopt(self, level: int, name: int, value) -> None:
        """Set an option."""
        if (level, name) != (socket.SOL_SOCKET, socket.SO_LINGER):
            super().setsockopt(level, name, value)
            return
        self.linger = value
        if value == RESET_ON_CLOSE:
            self._connection.setsockopt(level, name, value)


class TlsTerminator:
    """Terminates TLS on accepted connections and passes the plain sockets to a callback."""

    def __init__(self, context: ssl.SSLContext, on_connection: ConnectionHandler) -> None:
        self._context = context
        self._on_connection = on_connection
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()

    def serve(self, connection: socket.socket, address: tuple[str, int]) -> None:
        """Serve a connection in a new thread, or close it if too many are open."""
        with self._lock:
            if len(self._connections) >= MAX_TLS_CONNECTIONS:
                connection.close()
                return
            self._connections.add(connection)
        threading.Thread(
            target=self._run, args=(connection, address), name="tls", daemon=True
        ).start()

    def close(self) -> None:
        """Shut down all connections."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection)

    def _run(self, connection: socket.socket, address: tuple[str, int]) -> None:
        try:
            connection.settimeout(HANDSHAKE_TIMEOUT_S)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._context.wrap_socket(
                connection, server_side=True, do_handshake_on_connect=False
            ) as tls_socket:
                self._track(connection, tls_socket)
                tls_socket.do_handshake()
                self._forward(tls_socket, address)
                self._track(tls_socket, None)
        except OSError as error:
            log.debug("TLS connection failed", extra={"reason": str(error)})
        finally:
            connection.close()
            self._track(connection, None)

    def _track(self, old: socket.socket, new: socket.socket | None) -> None:
        with self._lock:
            self._connections.discard(old)
            if new is not None:
                self._connections.add(new)

    def _forward(self, tls_socket: ssl.SSLSocket, address: tuple[str, int]) -> None:
        local_end, plain_end = socket.socketpair()
        server_end = ServerEnd(plain_end, tls_socket)
        with local_end:
            self._on_connection(server_end, address)
            tls_socket.setblocking(False)
            local_end.setblocking(False)
            is_ended_by_server = _copy_bidirectional(tls_socket, local_end)
        if is_ended_by_server and server_end.linger != RESET_ON_CLOSE:
            _end_session(tls_socket, server_end.linger)


def _copy_bidirectional(tls_socket: ssl.SSLSocket, plain: socket.socket) -> bool:
    """Copy data in both directions until one end closes or the idle timeout passes.

    Returns whether the plain end has closed.
    """
    poller = select.poll()
    poller.register(tls_socket, select.POLLIN)
    poller.register(plain, select.POLLIN)
    while True:
        ready = {fd for fd, _ in poller.poll(IDLE_TIMEOUT_MS)}
        if not ready:
            return False
        if tls_socket.fileno() in ready and not _copy_available(tls_socket, plain):
            return False
        if plain.fileno() in ready and not _copy_available(plain, tls_socket):
            return True


def _end_session(tls_socket: ssl.SSLSocket, linger: bytes | None) -> None:
    """Tell the client that nothing was cut off; do not wait for its reply."""
    if linger is not None:
        tls_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    try:
        tls_socket.unwrap()
    except ssl.SSLWantWriteError:
        _wait_until_ready(tls_socket, select.POLLOUT)
        with contextlib.suppress(OSError):
            tls_socket.unwrap()
    except OSError:
        return


def _copy_available(source: socket.socket, target: socket.socket) -> bool:
    """Copy the available data of a socket; return whether the socket is still open."""
    while True:
        try:
            data = source.recv(BLOCK_B)
        except (BlockingIOError, ssl.SSLWantReadError):
            return True
        except ssl.SSLWantWriteError:
            _wait_until_ready(source, select.POLLOUT)
            continue
        if not data:
            return False
        _send(target, data)


def _send(target: socket.socket, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        try:
            remaining = remaining[target.send(remaining) :]
        except (BlockingIOError, ssl.SSLWantWriteError):
            _wait_until_ready(target, select.POLLOUT)
        except ssl.SSLWantReadError:
            _wait_until_ready(target, select.POLLIN)


def _wait_until_ready(sock: socket.socket, event: int) -> None:
    poller = select.poll()
    poller.register(sock, event)
    if not poller.poll(WRITE_TIMEOUT_MS):
        raise TimeoutError("socket was not ready before the timeout")


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
