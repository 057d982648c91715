"""A proxy on the loopback interface that simulates faults of a network link."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import threading
import time
from enum import Enum

BLOCK_SIZE_B = 65536
POLL_INTERVAL_S = 0.02
"""Interval at which a held connection checks whether it may continue."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` (on, 0 s) that makes a close send a reset."""


class LinkState(Enum):
    """How a proxy treats the bytes of its connections.

    - `CLEAR`: forwards them.
    - `DELAY`: forwards each block after a delay.
    - `CUT_UP`: holds back those to the target until the state changes.
    - `CUT_DOWN`: holds back those from the target until the state changes.
    - `RESET`: resets the connections.
    - `SILENCE`: discards them without closing the connections.
    - `REPEAT`: also sends those to the target over a second connection.
    """

    CLEAR = "clear"
    DELAY = "delay"
    CUT_UP = "cut-up"
    CUT_DOWN = "cut-down"
    RESET = "reset"
    SILENCE = "silence"
    REPEAT = "repeat"


class LoopbackProxy:
    """Forwards connections to one address; its state can be changed at any time.

    `RESET` and `SILENCE` affect only the connections that are open at that moment. `REPEAT` affects
    only new connections: it simulates a faulty sender that sends everything twice.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._connections: set[_Connection] = set()
        self._lock = threading.Lock()
        self.state = LinkState.CLEAR
        self.delay_s = 0.0
        self.quiet_until = 0.0
        self.is_closed_dropped = True
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address on which the proxy listens as IP:port."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def apply_state(self, state: LinkState, delay_s: float = 0.0) -> None:
        """Change the state; `RESET` and `SILENCE` instead affect the open connections once."""
        with self._lock:
            connections = list(self._connections)
        match state:
            case LinkState.RESET:
                for connection in connections:
                    connection.reset()
            case LinkState.SILENCE:
                for connection in connections:
                    connection.is_silent = True
            case _:
                self.state, self.delay_s = state, delay_s

    def hold(self, duration_s: float, is_closed_dropped: bool = True) -> None:
        """Hold back all bytes both ways for a time, as if the target were suspended.

        Connections are still accepted. What a client sent and has given up meanwhile is discarded
        unless `is_closed_dropped` is false.
        """
        self.is_closed_dropped = is_closed_dropped
        self.quiet_until = max(self.quiet_until, time.monotonic() + duration_s)

    def close(self) -> None:
        """Refuse connections and reset the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.apply_state(LinkState.RESET)

    def remove_connection(self, connection: _Connection) -> None:
        """Remove a connection that has ended from the open connections."""
        with self._lock:
            self._connections.discard(connection)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=2.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            connection = _Connection(self, client, server)
            with self._lock:
                self._connections.add(connection)
            if self.state is LinkState.REPEAT:
                connection.mirror = socket.create_connection(self._target, timeout=2.0)
            connection.start()


class _Connection:
    """A connection through the proxy, with a thread that forwards bytes in each direction.

    `mirror` is the second connection to the target in the state `REPEAT`.
    """

    def __init__(self, proxy: LoopbackProxy, client: socket.socket, server: socket.socket) -> None:
        self._proxy = proxy
        self._client = client
        self._server = server
        self.mirror: socket.socket | None = None
        self.is_silent = False
        self._is_reset = False
        self._open_ways = 2
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the threads."""
        for source, sink, hold_state in (
            (self._client, self._server, LinkState.CUT_UP),
            (self._server, self._client, LinkState.CUT_DOWN),
        ):
            threading.Thread(
                target=self._forward, args=(source, sink, hold_state), daemon=True
            ).start()

    def reset(self) -> None:
        """Reset the connections to the client and to the server."""
        self._is_reset = True
        for side in (self._client, self._server):
            with contextlib.suppress(OSError):
                side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                # Wakes the reader. Shutting down both ways would send an orderly end first.
                side.shutdown(socket.SHUT_RD)

    def _forward(self, source: socket.socket, sink: socket.socket, hold_state: LinkState) -> None:
        try:
            self._forward_blocks(source, sink, hold_state)
            self._wait_until_heard()
            if not self.is_silent and not self._is_reset:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            if not self.is_silent:
                self.reset()
        finally:
            self._end_way()

    def _forward_blocks(
        self, source: socket.socket, sink: socket.socket, hold_state: LinkState
    ) -> None:
        while block := source.recv(BLOCK_SIZE_B):
            while self._proxy.state is hold_state and not self._is_reset:
                time.sleep(POLL_INTERVAL_S)
            if self._proxy.state is LinkState.DELAY:
                time.sleep(self._proxy.delay_s)
            may_drop = self._wait_until_heard() and self._proxy.is_closed_dropped
            if may_drop and source is self._client and is_closed(source):
                return
            if self._is_reset:
                return
            if self.is_silent:
                continue
            sink.sendall(block)
            if self.mirror is not None and source is self._client:
                self.mirror.sendall(block)

    def _end_way(self) -> None:
        """Close both sides once neither direction is forwarded any more."""
        with self._lock:
            self._open_ways -= 1
            if self._open_ways:
                return
        for side in (self._client, self._server):
            side.close()
        self._proxy.remove_connection(self)

    def _wait_until_heard(self) -> bool:
        """Wait while the target is quiet; return whether it was."""
        was_quiet = False
        while time.monotonic() < self._proxy.quiet_until and not self._is_reset:
            was_quiet = True
            time.sleep(POLL_INTERVAL_S)
        return was_quiet


def is_closed(connection: socket.socket) -> bool:
    """Return whether the other side of a connection has closed it, also with bytes unread."""
    poller = select.poll()
    try:
        poller.register(connection, select.POLLRDHUP)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return True
