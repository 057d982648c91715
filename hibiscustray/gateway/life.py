"""Checks whether a replica that broke off a response still accepts connections."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

from hibiscustray.clock import read_clock
from hibiscustray.replicas import ReplicaRecord

PROBE_DELAY_S = 0.2
"""Time from a loss to the check, which leaves time for its result before the loss counts."""
CONNECT_TIMEOUT_S = 0.1
MAX_PENDING = 64
"""Replicas that are checked at a time."""


class LifeProbes:
    """Connects to replicas some time after a loss; thread-safe.

    `on_life_sign` is called with the name of a replica's start if it accepts a connection. A reset
    of a connection alone is thereby told apart from the end of a replica, though no other request
    is sent there.
    """

    def __init__(self, on_life_sign: Callable[[str], None]) -> None:
        self._on_life_sign = on_life_sign
        self._lost_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def schedule(self, replica: ReplicaRecord) -> None:
        """Check a replica that has just broken off a response."""
        with self._lock:
            is_pending = replica.boot in self._lost_at
            if not is_pending and len(self._lost_at) >= MAX_PENDING:
                return
            self._lost_at[replica.boot] = read_clock()
        if not is_pending:
            self._start_timer(PROBE_DELAY_S, replica)

    def _start_timer(self, delay_s: float, replica: ReplicaRecord) -> None:
        timer = threading.Timer(delay_s, self._check, (replica,))
        timer.daemon = True
        timer.start()

    def _check(self, replica: ReplicaRecord) -> None:
        with self._lock:
            left_s = self._lost_at[replica.boot] + PROBE_DELAY_S - read_clock()
            if left_s <= 0:
                del self._lost_at[replica.boot]
        host, _, port = replica.address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
        except OSError:
            pass
        else:
            self._on_life_sign(replica.boot)
        if left_s > 0:
            # Another response was broken off meanwhile.
            self._start_timer(left_s, replica)
