"""Finds out which members do not answer, asking others before it accuses one."""

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

HELPERS = 3
MISSING_PER_ROUND = 2


class FailureDetector:
    """Counts the time for which each neighbour has not answered."""

    def __init__(
        self, view: MemberView, peers: PeerPool, settings: MembershipSettings, metrics: Metrics
    ) -> None:
        self._view = view
        self._peers = peers
        self._settings = settings
        self._metrics = metrics
        self._random = random.Random(view.own.id)
        self._missing_since: dict[str, float] = {}
        self._lock = threading.Lock()

    def note_answer(self, target: MemberRecord) -> None:
        """Note that a member answered."""
        with self._lock:
            self._missing_since.pop(target.id, None)

    def note_miss(self, target: MemberRecord) -> None:
        """Note that a member did not answer; accuse it once that has lasted."""
        now = time.monotonic()
        with self._lock:
            since = self._missing_since.setdefault(target.id, now)
        self._peers.retire_connection(target.peer_address)
        missing_s = now - since
        if missing_s < self._settings.suspect_after_s:
            return
        if self._ask_helpers(target):
            self._metrics.count("suspicions_averted_total")
            with self._lock:
                self._missing_since[target.id] = time.monotonic()
            return
        if missing_s < 2 * self._settings.suspect_after_s:
            self._view.accuse(target.id, SUSPECT)
            return
        self._view.accuse(target.id, DEAD)
        with self._lock:
            self._missing_since.pop(target.id, None)

    def missing(self) -> list[MemberRecord]:
        """Return members to try again now, since they did not answer lately."""
        with self._lock:
            ids = list(self._missing_since)
        found = [self._view.get(member_id) for member_id in ids]
        active = [m for m in found if m is not None and m.status in (LIVE, SUSPECT)]
        if len(active) < len(ids):
            known = {m.id for m in active}
            with self._lock:
                for member_id in set(ids) - known:
                    self._missing_since.pop(member_id, None)
        return active[:MISSING_PER_ROUND]

    def _ask_helpers(self, target: MemberRecord) -> bool:
        """Tell whether another member reaches the target."""
        for helper in self._choose_helpers(target):
            try:
                reply = self._peers.get(helper.peer_address).probe(
                    target.peer_address, self._settings.heartbeat_s
                )
            except PeerError:
                continue
            if reply.is_reached:
                return True
        return False

    def _choose_helpers(self, target: MemberRecord) -> list[MemberRecord]:
        """Return one member of each region, since a cut often lies between two regions."""
        excluded = (self._view.own.id, target.id)
        live = [m for m in self._view.members() if m.status == LIVE and m.id not in excluded]
        self._random.shuffle(live)
        by_region = {m.region: m for m in live}
        return list(by_region.values())[:HELPERS]
