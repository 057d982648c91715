"""TLS in front of waitress: one thread per connection that decrypts into a socket pair."""

from __future__ import annotations

import logging
import select
import socket
import ssl
import threading
from collections.abc import Callable

from hibiscustray.exceptions import SettingsError

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_MS = 120_000
WRITE_TIMEOUT_MS = 30_000
BLOCK_B = 65536
MAX_CONNECTIONS = 1024

Hand = Callable[[socket.socket, tuple[str, int]], None]


def make_server_context(certificate: str, key: str, authority: str = "") -> ssl.SSLContext | None:
    """Return a server's context, None without a certificate; an authority demands clients' own."""
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
    """Return a client's context that trusts one authority, None without one."""
    if not authority:
        return None
    try:
        context = ssl.create_default_context(cafile=authority)
        if certificate:
            context.load_cert_chain(certificate, key or None)
    except OSError as error:
        raise SettingsError((f"authority {authority!r} cannot be loaded: {error}",)) from error
    return context


class TlsTerminator:
    """Takes accepted connections and hands their decrypted ends on."""

    def __init__(self, context: ssl.SSLContext, hand: Hand) -> None:
        self._context = context
        self._hand = hand
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()

    def serve(self, connection: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection in a thread of its own."""
        with self._lock:
            if len(self._connections) >= MAX_CONNECTIONS:
                connection.close()
                return
            self._connections.add(connection)
        threading.Thread(
            target=self._run, args=(connection, address), name="tls", daemon=True
        ).start()

    def close(self) -> None:
        """Cut all connections."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut(connection)

    def _run(self, connection: socket.socket, address: tuple[str, int]) -> None:
        try:
            connection.settimeout(HANDSHAKE_TIMEOUT_S)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._context.wrap_socket(
                connection, server_side=True, do_handshake_on_connect=False
            ) as secure:
                self._track(connection, secure)
                secure.do_handshake()
                self._relay(secure, address)
                self._track(secure, None)
        except OSError as error:
            log.debug("a TLS connection ended", extra={"reason": str(error)})
        finally:
            connection.close()
            self._track(connection, None)

    def _track(self, old: socket.socket, new: socket.socket | None) -> None:
        with self._lock:
            self._connections.discard(old)
            if new is not None:
                self._connections.add(new)

    def _relay(self, secure: ssl.SSLSocket, address: tuple[str, int]) -> None:
        near, far = socket.socketpair()
        with near:
            self._hand(far, address)
            secure.setblocking(False)
            near.setblocking(False)
            _pump(secure, near)


def _pump(secure: ssl.SSLSocket, plain: socket.socket) -> None:
    """Copy both ways until either end closes or both stay idle."""
    poller = select.poll()
    poller.register(secure, select.POLLIN)
    poller.register(plain, select.POLLIN)
    while True:
        ready = {fd for fd, _ in poller.poll(IDLE_TIMEOUT_MS)}
        if not ready:
            return
        if secure.fileno() in ready and not _copy(secure, plain):
            return
        if plain.fileno() in ready and not _copy(plain, secure):
            return


def _copy(source: socket.socket, target: socket.socket) -> bool:
    """Copy what waits at a source; tell whether it is still open."""
    while True:
        try:
            data = source.recv(BLOCK_B)
        except (BlockingIOError, ssl.SSLWantReadError):
            return True
        except ssl.SSLWantWriteError:
            _wait(source, select.POLLOUT)
            continue
        if not data:
            return False
        _send(target, data)


def _send(target: socket.socket, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[target.send(rest) :]
        except (BlockingIOError, ssl.SSLWantWriteError):
            _wait(target, select.POLLOUT)
        except ssl.SSLWantReadError:
            _wait(target, select.POLLIN)


def _wait(waiting: socket.socket, event: int) -> None:
    poller = select.poll()
    poller.register(waiting, event)
    if not poller.poll(WRITE_TIMEOUT_MS):
        raise TimeoutError("the other end does not read")


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
