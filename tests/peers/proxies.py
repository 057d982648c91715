"""A TCP relay whose open connections can go silent while new ones work."""

from __future__ import annotations

import socket
import threading


class TcpProxy:
    """Forwards bytes between callers and one target port on loopback."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self._silenced = set()
        self._pairs = []
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Forward nothing more on the connections that are open now, and close none of them."""
        self._silenced = set(self._pairs)

    def close(self):
        self._is_closed = True
        self._listener.close()
        for pair in self._pairs:
            for end in pair:
                end.close()

    def _accept(self):
        while not self._is_closed:
            try:
                caller, _ = self._listener.accept()
                pair = (caller, socket.create_connection(self._target))
            except OSError:
                return
            self.accepted += 1
            self._pairs.append(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(target=self._pump, args=(pair, source, sink), daemon=True).start()

    def _pump(self, pair, source, sink):
        while True:
            try:
                data = source.recv(65536)
                if pair in self._silenced:
                    continue
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return
