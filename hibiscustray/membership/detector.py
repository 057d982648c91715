"""Failure detection with indirect probes, in the manner of SWIM."""

from __future__ import annotations

import random
import threading
import time

from hibiscustray.exceptions import PeerError
from hibiscustray.membership.view import MemberView
from hibiscustray.peers import MemberRecord, PeerPool
from hibiscustray.peers.messages import DEAD, LIVE, SUSPECT
from hibiscustray.settings import MembershipSettings
from hibiscustray.telemetry import Metrics

MAX_INDIRECT_PROBES = 3
MAX_UNRESPONSIVE_PER_ROUND = 2


class FailureDetector:
    """Reports a member as suspect, then as dead, when no process reaches it for too long."""

    def __init__(
        self, view: MemberView, peers: PeerPool, settings: MembershipSettings, metrics: Metrics
    ) -> None:
        self._view = view
        self._peers = peers
        self._settings = settings
        self._metrics = metrics
        self._random = random.Random(view.own.id)
        self._unresponsive_since: dict[str, float] = {}
        self._lock = threading.Lock()

    def record_answer(self, target: MemberRecord) -> None:
        """Clear the failures of a member that answered."""
        with self._lock:
            self._unresponsive_since.pop(target.id, None)

    def record_failure(self, target: MemberRecord) -> None:
        """Handle a failed call to a member; report it once the failures exceed the timeout.

        The member is reported as suspect after `suspect_after_s` and as dead after twice that
        time, unless another member reaches it.
        """
        now = time.monotonic()
        with self._lock:
            since = self._unresponsive_since.setdefault(target.id, now)
        self._peers.retire_connection(target.peer_address)
        unresponsive_s = now - since
        if unresponsive_s < self._settings.suspect_after_s:
            return
        if self._probe_indirectly(target):
            self._metrics.count("suspicions_averted_total")
            with self._lock:
                self._unresponsive_since[target.id] = time.monotonic()
            return
        if unresponsive_s < 2 * self._settings.suspect_after_s:
            self._view.mark_unresponsive(target.id, SUSPECT)
            return
        self._view.mark_unresponsive(target.id, DEAD)
        with self._lock:
            self._unresponsive_since.pop(target.id, None)

    def list_unresponsive(self) -> list[MemberRecord]:
        """Return some of the members whose last call failed, for another try in this round."""
        with self._lock:
            ids = list(self._unresponsive_since)
        found = [self._view.get(member_id) for member_id in ids]
        active = [m for m in found if m is not None and m.status in (LIVE, SUSPECT)]
        if len(active) < len(ids):
            known = {m.id for m in active}
            with self._lock:
                for member_id in set(ids) - known:
                    self._unresponsive_since.pop(member_id, None)
        return active[:MAX_UNRESPONSIVE_PER_ROUND]

    def _probe_indirectly(self, target: MemberRecord) -> bool:
        """Return whether another member reaches the target."""
        for prober in self._choose_probers(target):
            try:
                reply = self._peers.get(prober.peer_address).probe(
                    target.peer_address, self._settings.heartbeat_s
                )
            except PeerError:
                continue
            if reply.is_reached:
                return True
        return False

    def _choose_probers(self, target: MemberRecord) -> list[MemberRecord]:
        """Return live members of different regions, since partitions often separate regions."""
        excluded = (self._view.own.id, target.id)
        live = [m for m in self._view.members() if m.status == LIVE and m.id not in excluded]
        self._random.shuffle(live)
        by_region = {m.region: m for m in live}
        return list(by_region.values())[:MAX_INDIRECT_PROBES]
