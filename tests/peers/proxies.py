"""A TCP proxy that can stall its open connections while new ones work."""

from __future__ import annotations

import socket
import threading


class TcpProxy:
    """Forwards bytes between clients and one target port on the loopback interface."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self._stalled_pairs = set()
        self._pairs = []
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self):
        """Stop forwarding on all connections that are open now, without closing them."""
        self._stalled_pairs = set(self._pairs)

    def close(self):
        self._is_closed = True
        self._listener.close()
        for pair in self._pairs:
            for side in pair:
                side.close()

    def _accept(self):
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
                pair = (client, socket.create_connection(self._target))
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
                if pair in self._stalled_pairs:
                    continue
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return
