"""A proxy on the loopback interface that disturbs the connections through it."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

BLOCK_B = 65536
POLL_S = 0.02
"""Interval at which a held connection looks whether it may go on."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """What a proxy does to the bytes of its connections."""

    CLEAR = "clear"
    DELAY = "delay"
    CUT_UP = "cut-up"
    CUT_DOWN = "cut-down"
    RESET = "reset"
    SILENCE = "silence"
    REPEAT = "repeat"


class LoopbackProxy:
    """Forwards connections to one address; its state may be changed at any time.

    `RESET` and `SILENCE` concern the connections that are open then; `REPEAT` sends the bytes of
    each new connection to the address a second time, as a faulty sender would.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._open: set[_Connection] = set()
        self._lock = threading.Lock()
        self.state = LinkState.CLEAR
        self.delay_s = 0.0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return IP:port."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def disturb(self, state: LinkState, delay_s: float = 0.0) -> None:
        """Change the state; resets and silence are done to the open connections at once."""
        with self._lock:
            connections = list(self._open)
        match state:
            case LinkState.RESET:
                for connection in connections:
                    connection.reset()
            case LinkState.SILENCE:
                for connection in connections:
                    connection.is_silent = True
            case _:
                self.state, self.delay_s = state, delay_s

    def close(self) -> None:
        """Refuse connections and reset the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.disturb(LinkState.RESET)

    def note_closed(self, connection: _Connection) -> None:
        """Forget a connection that has ended."""
        with self._lock:
            self._open.discard(connection)

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
                self._open.add(connection)
            if self.state is LinkState.REPEAT:
                connection.mirror = socket.create_connection(self._target, timeout=2.0)
            connection.start()


class _Connection:
    """One connection through the proxy, pumped by a thread in each direction."""

    def __init__(self, proxy: LoopbackProxy, client: socket.socket, server: socket.socket) -> None:
        self._proxy = proxy
        self._client = client
        self._server = server
        self.mirror: socket.socket | None = None
        self.is_silent = False

    def start(self) -> None:
        """Begin to forward."""
        for source, sink, cut in (
            (self._client, self._server, LinkState.CUT_UP),
            (self._server, self._client, LinkState.CUT_DOWN),
        ):
            threading.Thread(target=self._pump, args=(source, sink, cut), daemon=True).start()

    def reset(self) -> None:
        """End both sides with a reset."""
        for side in (self._client, self._server):
            with contextlib.suppress(OSError):
                side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                side.shutdown(socket.SHUT_RDWR)

    def _pump(self, source: socket.socket, sink: socket.socket, cut: LinkState) -> None:
        with contextlib.suppress(OSError):
            while block := source.recv(BLOCK_B):
                while self._proxy.state is cut:
                    time.sleep(POLL_S)
                if self._proxy.state is LinkState.DELAY:
                    time.sleep(self._proxy.delay_s)
                if self.is_silent:
                    continue
                sink.sendall(block)
                if self.mirror is not None and source is self._client:
                    self.mirror.sendall(block)
            if not self.is_silent:
                sink.shutdown(socket.SHUT_WR)
                return
        if not self.is_silent:
            self.reset()
        self._proxy.note_closed(self)
