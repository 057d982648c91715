"""Whether a process may serve the revision that it holds."""

from __future__ import annotations

import threading
import time

WITNESSES = 3
SETTLE_S = 3.0
ISOLATION_GRACE_S = 30.0


class Justification:
    """Evidence, from the store and from peers, that the revision held is the one in force.

    A process is established once, by the store's answer that several peers do not contradict or
    by the word of several established peers; when peers do not answer within `settle_s`, the
    store or a single established peer suffices. From then on it serves while it has contact: a
    read of the store or an exchange with an established peer within the grace time.
    """

    def __init__(self, grace_s: float = ISOLATION_GRACE_S, settle_s: float = SETTLE_S) -> None:
        self._grace_s = grace_s
        self._settle_s = settle_s
        self._started = time.monotonic()
        self._contact_at: float | None = None
        self._store_number: int | None = None
        self._heard: dict[str, tuple[int, bool]] = {}
        self._expected_peers: int | None = None
        self._is_established = False
        self._is_revoked = False
        self._lock = threading.Lock()

    @property
    def is_established(self) -> bool:
        """Tell whether the evidence has ever sufficed in this process."""
        return self._is_established

    def expect_peers(self, count: int) -> None:
        """Note how many other processes are thought to run."""
        self._expected_peers = count

    def record_store_read(self, head: int, held: int) -> None:
        """Note that the store's head was read while a revision was held."""
        with self._lock:
            self._store_number = max(head, self._store_number or 0)
            if head <= held:
                self._contact_at = time.monotonic()
            self._reevaluate(held)

    def record_peer(self, peer_id: str, number: int, is_established: bool, held: int) -> None:
        """Note what a peer holds while a revision was held here."""
        with self._lock:
            if not self._is_established:
                self._heard[peer_id] = (number, is_established)
            if is_established and number <= held:
                self._contact_at = time.monotonic()
            self._reevaluate(held)

    def revoke(self) -> None:
        """Serve no more, since another process has taken this one's place."""
        self._is_revoked = True

    def allows_serving(self) -> bool:
        """Tell whether the process may serve what it holds now."""
        if self._is_revoked or self._contact_at is None:
            return False
        if not self._is_established:
            return False
        return time.monotonic() - self._contact_at < self._grace_s

    def reevaluate(self, held: int) -> None:
        """Look at the evidence again, since time alone can make it suffice."""
        with self._lock:
            self._reevaluate(held)

    def _reevaluate(self, held: int) -> None:
        if self._is_established or (held == 0 and self._store_number is None):
            return
        numbers = [number for number, _ in self._heard.values()]
        if held < max([self._store_number or 0, *numbers]):
            return
        is_settled = time.monotonic() - self._started >= self._settle_s
        quorum = self._count_quorum()
        witnesses = sum(1 for _, is_established in self._heard.values() if is_established)
        by_store = self._store_number is not None and (is_settled or len(numbers) >= quorum)
        by_peers = witnesses >= (1 if is_settled else max(1, quorum))
        if by_store or by_peers:
            self._is_established = True
            self._heard.clear()
            self._contact_at = time.monotonic()

    def _count_quorum(self) -> int:
        if self._expected_peers is None:
            return WITNESSES
        return min(WITNESSES, self._expected_peers)
