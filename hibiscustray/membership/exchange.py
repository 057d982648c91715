"""The heartbeat thread: swaps records and revisions with a few neighbours."""

from __future__ import annotations

import logging
import random
import threading
import time

from hibiscustray.deployments import Configuration, RevisionStore
from hibiscustray.exceptions import PeerError, StoreUnavailable
from hibiscustray.membership.view import MemberView
from hibiscustray.peers import ExchangeMessage, MemberRecord, PeerPool
from hibiscustray.peers.messages import DEAD, LEFT, LIVE, SUSPECT
from hibiscustray.platform import MachineList
from hibiscustray.settings import MembershipSettings
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

NEIGHBOURS = 3
POLLERS = 3


class Exchange:
    """Keeps the member view and the configuration of one process up to date."""

    def __init__(
        self,
        view: MemberView,
        configuration: Configuration,
        revisions: RevisionStore,
        machines: MachineList,
        peers: PeerPool,
        settings: MembershipSettings,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._configuration = configuration
        self._revisions = revisions
        self._machines = machines
        self._peers = peers
        self._settings = settings
        self._metrics = metrics
        self._random = random.Random(view.own.id)
        self._misses: dict[str, float] = {}
        self._news = threading.Event()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_heartbeat, name="heartbeat", daemon=True),
            threading.Thread(target=self._run_platform, name="platform-poll", daemon=True),
        ]

    @property
    def own(self) -> MemberRecord:
        """Return this process's own record."""
        return self._view.own

    def start(self) -> None:
        """Begin to exchange heartbeats and to poll the platform."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._news.set()
        for thread in self._threads:
            thread.join()

    def announce(self) -> None:
        """Send the next heartbeat at once, to all neighbours."""
        self._news.set()

    def serve(self, message: ExchangeMessage) -> ExchangeMessage:
        """Answer a peer's heartbeat."""
        self._take_in(message, message.sender.peer_address)
        return self._make_message()

    def _run_heartbeat(self) -> None:
        turn = 0
        while not self._stopping.is_set():
            has_news = self._news.wait(self._settings.heartbeat_s * self._random.uniform(0.9, 1.1))
            if self._stopping.is_set():
                return
            self._news.clear()
            neighbours = self._choose_neighbours()
            if not neighbours:
                continue
            turn += 1
            targets = neighbours if has_news else [neighbours[turn % len(neighbours)]]
            for target in targets:
                self._beat(target)

    def _choose_neighbours(self) -> list[MemberRecord]:
        near = self._view.neighbours(NEIGHBOURS)
        others = [m for m in self._view.members() if m.id != self._view.own.id]
        if len(others) > len(near):
            near.append(self._random.choice(others))
        return near

    def _beat(self, target: MemberRecord) -> None:
        try:
            reply = self._peers.get(target.peer_address).exchange(
                self._make_message(), self._settings.heartbeat_s
            )
        except PeerError:
            self._note_miss(target)
            return
        self._misses.pop(target.id, None)
        self._metrics.count("heartbeats_total")
        self._take_in(reply, target.peer_address)

    def _note_miss(self, target: MemberRecord) -> None:
        now = time.monotonic()
        since = self._misses.setdefault(target.id, now)
        self._peers.renew(target.peer_address)
        if now - since >= 2 * self._settings.suspect_after_s:
            self._view.accuse(target.id, DEAD)
            self._misses.pop(target.id, None)
        elif now - since >= self._settings.suspect_after_s:
            self._view.accuse(target.id, SUSPECT)

    def _make_message(self) -> ExchangeMessage:
        return ExchangeMessage(
            sender=self._view.own,
            changes=self._view.take_changes(),
            revision=self._configuration.number,
            confirmed_age_s=self._configuration.age(),
        )

    def _take_in(self, message: ExchangeMessage, address: str) -> None:
        self._view.merge((message.sender, *message.changes))
        if message.revision > self._configuration.number:
            self._fetch_revision(address)
        if message.revision == self._configuration.number:
            self._configuration.confirm(time.monotonic() - message.confirmed_age_s)

    def _fetch_revision(self, address: str) -> None:
        try:
            reply = self._peers.get(address).read_revision(self._settings.heartbeat_s)
        except PeerError:
            return
        if reply.revision is not None and self._configuration.adopt(reply.revision):
            self._note_adopted()

    def _note_adopted(self) -> None:
        self._view.update_own(revision=self._configuration.number)
        self.announce()

    def _run_platform(self) -> None:
        next_list = 0.0
        while not self._stopping.is_set():
            now = time.monotonic()
            if now >= next_list:
                self._read_machines()
                next_list = now + self._settings.list_interval_s
            if self._is_poller():
                self._poll_head()
            self._stopping.wait(self._settings.poll_interval_s * self._random.uniform(0.8, 1.2))

    def _is_poller(self) -> bool:
        if self._configuration.age() > self._settings.suspect_after_s:
            return True
        members = sorted(m.id for m in self._view.members() if m.status == LIVE)
        return self._view.own.id in members[:POLLERS]

    def _poll_head(self) -> None:
        started = time.monotonic()
        try:
            head = self._revisions.read_head()
        except StoreUnavailable:
            self._metrics.count("store_unavailable_total")
            return
        self._metrics.count("store_reads_total")
        if head is None:
            return
        if head.number > self._configuration.number and self._configuration.adopt(head):
            self._note_adopted()
        if head.number == self._configuration.number:
            self._configuration.confirm(started)

    def _read_machines(self) -> None:
        try:
            machines = self._machines.read()
        except StoreUnavailable:
            return
        for machine in machines:
            known = self._view.get(machine.name)
            if machine.name == self._view.own.id or not machine.is_running:
                continue
            if known is None or known.status in (DEAD, LEFT):
                self._greet(machine.peer_address)

    def _greet(self, address: str) -> None:
        try:
            reply = self._peers.get(address).exchange(
                self._make_message(), self._settings.heartbeat_s
            )
        except PeerError:
            return
        self._take_in(reply, address)
