"""Evidence that a process may serve its active revision."""

from __future__ import annotations

import threading
import time

from hibiscustray.clock import read_clock

MAX_QUORUM = 3
SETTLE_S = 3.0
ISOLATION_GRACE_S = 30.0


class Justification:
    """Collects evidence from the store and from peers that the local revision is the newest.

    A quorum is `MAX_QUORUM` peers, or all expected ones if they are fewer. A process becomes
    established, and stays so, when a read of the store together with reports from a quorum of
    peers, or reports from a quorum of established peers alone, show no newer revision. From
    `settle_s` after the start, the store alone or one established peer suffices.

    An established process may serve for the grace time after its last contact, which is a read of
    the store or an exchange with an established peer that shows no newer revision.
    """

    def __init__(self, grace_s: float = ISOLATION_GRACE_S, settle_s: float = SETTLE_S) -> None:
        self._grace_s = grace_s
        self._settle_s = settle_s
        self._started_at = time.monotonic()
        self._last_contact_at: float | None = None
        self._store_number: int | None = None
        self._peer_reports: dict[str, tuple[int, bool]] = {}
        self._expected_peers: int | None = None
        self._is_established = False
        self._is_revoked = False
        self._lock = threading.Lock()

    @property
    def is_established(self) -> bool:
        """Return whether the evidence has ever been sufficient in this process."""
        return self._is_established

    def expect_peers(self, count: int) -> None:
        """Set how many other processes are expected to run."""
        self._expected_peers = count

    def record_store_read(self, head: int, local_number: int) -> None:
        """Record the number of the store's head while the local revision was `local_number`."""
        with self._lock:
            self._store_number = max(head, self._store_number or 0)
            if head <= local_number:
                self._last_contact_at = read_clock()
            self._reevaluate(local_number)

    def record_peer(
        self, peer_id: str, number: int, is_established: bool, local_number: int
    ) -> None:
        """Record a peer's revision number while the local revision was `local_number`."""
        with self._lock:
            if not self._is_established:
                self._peer_reports[peer_id] = (number, is_established)
            if is_established and number <= local_number:
                self._last_contact_at = read_clock()
            self._reevaluate(local_number)

    def revoke(self) -> None:
        """Stop serving for good, since another process has replaced this one."""
        self._is_revoked = True

    def allows_serving(self) -> bool:
        """Return whether the process may serve its revision at this time."""
        if self._is_revoked or self._last_contact_at is None:
            return False
        if not self._is_established:
            return False
        return read_clock() - self._last_contact_at < self._grace_s

    def reevaluate(self, local_number: int) -> None:
        """Evaluate the evidence again, which can become sufficient by the passage of time alone."""
        with self._lock:
            self._reevaluate(local_number)

    def _reevaluate(self, local_number: int) -> None:
        if self._is_established or (local_number == 0 and self._store_number is None):
            return
        numbers = [number for number, _ in self._peer_reports.values()]
        if local_number < max([self._store_number or 0, *numbers]):
            return
        is_settled = time.monotonic() - self._started_at >= self._settle_s
        quorum = self._compute_quorum()
        established_peers = sum(
            1 for _, is_established in self._peer_reports.values() if is_established
        )
        is_confirmed_by_store = self._store_number is not None and (
            is_settled or len(numbers) >= quorum
        )
        is_confirmed_by_peers = established_peers >= (1 if is_settled else max(1, quorum))
        if is_confirmed_by_store or is_confirmed_by_peers:
            self._is_established = True
            self._peer_reports.clear()
            self._last_contact_at = read_clock()

    def _compute_quorum(self) -> int:
        if self._expected_peers is None:
            return MAX_QUORUM
        return min(MAX_QUORUM, self._expected_peers)
