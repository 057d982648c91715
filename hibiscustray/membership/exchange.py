"""The heartbeat thread: swaps records and revision numbers with a few neighbours."""

from __future__ import annotations

import contextlib
import logging
import random
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

import msgspec

from hibiscustray.deployments import Configuration, RevisionStore
from hibiscustray.exceptions import PeerError
from hibiscustray.membership.detector import FailureDetector
from hibiscustray.membership.polling import PlatformPoller
from hibiscustray.membership.view import MemberView
from hibiscustray.peers import ExchangeMessage, MemberRecord, PeerPool, RevisionReply
from hibiscustray.peers.codec import EXCHANGE, PROBE, PUSH, REVISION, STATUS, SYNC
from hibiscustray.peers.messages import (
    LEAVING,
    LEFT,
    ProbeReply,
    ProbeRequest,
    PushRequest,
    RevisionRequest,
    StatusReply,
    StatusRequest,
    SyncReply,
    SyncRequest,
)
from hibiscustray.protocols import MachineList
from hibiscustray.settings import MembershipSettings
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

NEIGHBOURS = 3
LONG_LINK_ROUNDS = 16
CALL_THREADS = 6
NEWS_GAP_S = 0.1
FAREWELL_S = 0.5
FORGET_INTERVAL_S = 10.0
SYNC_INTERVAL_S = 15.0
SHORTEST_SYNC_S = 1.0
SYNC_MEMBERS_PER_S = 5
SYNC_AGAIN_S = 1.0
SYNC_RECORDS = 64
FIRST_SYNC_RECORDS = 4096
SMALL_VIEW = 4
DIGEST_LENGTH = 16


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
        self._peers = peers
        self._settings = settings
        self._metrics = metrics
        self._random = random.Random(view.own.id)
        self._calls = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="peer-call")
        self._detector = FailureDetector(view, peers, settings, metrics)
        self._poller = PlatformPoller(
            view, configuration, revisions, machines, settings, metrics, self._greet_later, self
        )
        self._busy: set[str] = set()
        self._turn = self._random.randrange(NEIGHBOURS)
        self._long_link: MemberRecord | None = None
        self._next_sync = 0.0
        self._next_forget = 0.0
        self._was_justified = False
        self._news = threading.Event()
        self._stopping = threading.Event()
        self.handlers: dict[str, Callable[[Any, Any], Any]] = {
            EXCHANGE.name: lambda message, context: self.serve(message),
            REVISION.name: self._serve_revision,
            SYNC.name: self._serve_sync,
            PROBE.name: self._serve_probe,
            PUSH.name: self._serve_push,
            STATUS.name: self._serve_status,
        }
        self._threads = [
            threading.Thread(target=self._run_heartbeat, name="heartbeat", daemon=True),
            threading.Thread(target=self._poller.run, name="platform-poll", daemon=True),
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
        """Tell the neighbours of a planned stop, then stop the threads, once."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._poller.stop()
        self._news.set()
        for thread in self._threads:
            thread.join()
        if self._view.own.status in (LEAVING, LEFT):
            wait(self._beat_round(True), FAREWELL_S)
        self._calls.shutdown(wait=False, cancel_futures=True)
        self._peers.close()

    def trigger_heartbeat(self) -> None:
        """Send the next heartbeat at once, to all neighbours."""
        self._news.set()

    def serve(self, message: ExchangeMessage) -> ExchangeMessage:
        """Answer a peer's heartbeat."""
        self._metrics.count("heartbeats_served_total")
        self._take_in(message, message.sender.peer_address)
        known = self._view.get(message.sender.id)
        changes = self._view.take_changes()
        if known is not None and known.status != message.sender.status:
            changes = (known, *changes)
        return self._make_message(changes)

    def propagate_revision(self) -> None:
        """Spread a revision that was just put in force."""
        self.trigger_heartbeat()

    def _serve_revision(self, message: RevisionRequest, context) -> RevisionReply:
        held = self._configuration.number > 0
        return RevisionReply(self._configuration.revision if held else None)

    def _serve_sync(self, message: SyncRequest, context) -> SyncReply:
        limit = min(message.limit, FIRST_SYNC_RECORDS)
        return SyncReply(self._view.find_differing(message.buckets, limit))

    def _serve_probe(self, message: ProbeRequest, context) -> ProbeReply:
        try:
            self._peers.get(message.address).read_status(self._settings.heartbeat_s / 2)
        except PeerError:
            return ProbeReply(False)
        return ProbeReply(True)

    def _serve_push(self, message: PushRequest, context) -> StatusReply:
        if self._configuration.adopt(message.revision):
            self.propagate_revision()
        return self._serve_status(StatusRequest(), context)

    def _serve_status(self, message: StatusRequest, context) -> StatusReply:
        own = msgspec.structs.replace(self._view.own, revision=self._configuration.number)
        return StatusReply(own, self._configuration.is_justified())

    def _run_heartbeat(self) -> None:
        while not self._stopping.is_set():
            has_news = self._news.wait(self._settings.heartbeat_s * self._random.uniform(0.9, 1.1))
            if self._stopping.is_set():
                return
            self._news.clear()
            self._beat_round(has_news)
            self._review()
            self._stopping.wait(min(NEWS_GAP_S, self._settings.heartbeat_s / 4))

    def _beat_round(self, has_news: bool) -> list[Future]:
        if self._view.is_superseded:
            return []
        targets = self._choose_targets(has_news)
        if not targets:
            return []
        message = self._make_message(self._view.take_changes())
        return [self._calls.submit(self._beat, target, message) for target in targets]

    def _choose_targets(self, has_news: bool) -> list[MemberRecord]:
        near = self._view.neighbours(NEIGHBOURS)
        far = self._choose_long_link(near)
        if far is not None:
            near.append(far)
        if not has_news and near:
            self._turn += 1
            near = [near[self._turn % len(near)]]
        near.extend(self._detector.missing())
        chosen = {m.id: m for m in near if m.id not in self._busy}
        return list(chosen.values())

    def _choose_long_link(self, near: list[MemberRecord]) -> MemberRecord | None:
        link = self._long_link
        known = self._view.get(link.id) if link else None
        if known is None or known not in self._view.members() or self._is_link_worn():
            excluded = {self._view.own.id, *(m.id for m in near)}
            others = [m for m in self._view.members() if m.id not in excluded]
            known = self._random.choice(others) if others else None
        self._long_link = known
        return known

    def _is_link_worn(self) -> bool:
        return self._random.randrange(LONG_LINK_ROUNDS) == 0

    def _beat(self, target: MemberRecord, message: ExchangeMessage) -> None:
        self._busy.add(target.id)
        try:
            reply = self._peers.get(target.peer_address).exchange(
                message, self._settings.heartbeat_s
            )
        except PeerError:
            self._detector.note_miss(target)
            return
        finally:
            self._busy.discard(target.id)
        self._detector.note_answer(target)
        self._metrics.count("heartbeats_total")
        self._finish(reply, target.peer_address)

    def _finish(self, reply: ExchangeMessage, address: str) -> None:
        self._take_in(reply, address)
        self._level(reply, address)
        self._sync_if_due(reply, address)

    def _make_message(self, changes: tuple[MemberRecord, ...]) -> ExchangeMessage:
        return ExchangeMessage(
            sender=self._view.own,
            changes=changes,
            revision=self._configuration.number,
            digest=self._configuration.digest[:DIGEST_LENGTH],
            is_established=self._configuration.justification.is_established,
            view_hash=self._view.hash,
        )

    def _take_in(self, message: ExchangeMessage, address: str) -> None:
        self._peers.learn_codec(address, message.sender.codec)
        records = (message.sender, *message.changes)
        served = {known.id: known.serving for known in map(self._view.get, _ids(records)) if known}
        news = self._view.merge(records)
        if any(_is_urgent(record, served.get(record.id)) for record in news):
            self.trigger_heartbeat()
        self._note_peer(message)

    def _note_peer(self, message: ExchangeMessage) -> None:
        self._configuration.justification.record_peer(
            message.sender.id, message.revision, message.is_established, self._configuration.number
        )

    def _level(self, reply: ExchangeMessage, address: str) -> None:
        """Bring this process and the peer that answered to the same revision.

        Only the caller does this, so that no server thread ever waits for another server.
        """
        if reply.revision > self._configuration.number:
            self._fetch_revision(address, reply)
            self._note_peer(reply)
        elif reply.revision < self._configuration.number:
            with contextlib.suppress(PeerError):
                revision = self._configuration.revision
                self._peers.get(address).push(revision, self._settings.heartbeat_s)

    def _fetch_revision(self, address: str, message: ExchangeMessage) -> None:
        try:
            reply = self._peers.get(address).read_revision(self._settings.heartbeat_s)
        except PeerError:
            return
        revision = reply.revision
        if revision is None or revision.number < message.revision:
            return
        is_same = revision.number == message.revision
        if is_same and revision.digest[:DIGEST_LENGTH] != message.digest:
            self._metrics.count("revisions_rejected_total")
            return
        if self._configuration.adopt(revision):
            self.propagate_revision()

    def _sync_if_due(self, message: ExchangeMessage, address: str) -> None:
        now = time.monotonic()
        if message.view_hash == self._view.hash or now < self._next_sync:
            return
        interval_s = find_sync_interval(self._view.count())
        self._next_sync = now + interval_s * self._random.uniform(0.8, 1.2)
        is_small = self._view.count() <= SMALL_VIEW
        limit = FIRST_SYNC_RECORDS if is_small else SYNC_RECORDS
        try:
            reply = self._peers.get(address).sync(
                SyncRequest(self._view.hash_buckets(), limit), self._settings.heartbeat_s
            )
        except PeerError:
            return
        self._metrics.count("syncs_total")
        if self._view.merge(reply.records, is_spread=False):
            self._next_sync = now + SYNC_AGAIN_S

    def _review(self) -> None:
        """Look at what time alone changes: justification, forgotten members, gauges."""
        configuration = self._configuration
        configuration.justification.reevaluate(configuration.number)
        if self._view.is_superseded:
            configuration.justification.revoke()
        is_justified = configuration.is_justified()
        if is_justified != self._was_justified:
            self._was_justified = is_justified
            log.info("serving is justified" if is_justified else "serving is not justified")
        now = time.monotonic()
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL_S
            self._view.forget_gone()
            self._greet_one_gone()
            self._metrics.gauge("members", self._view.count())
            self._metrics.gauge("configuration_revision", configuration.number)
            self._metrics.gauge("configuration_justified", float(is_justified))
            self._metrics.gauge("false_suspicions", self._view.false_suspicions)

    def _greet_one_gone(self) -> None:
        """Try a member that is thought dead, since a split between regions may have healed."""
        gone = [m for m in self._view.gone() if m.status != LEFT]
        if gone:
            self._greet_later(self._random.choice(gone).peer_address)

    def _greet_later(self, address: str) -> None:
        if not self._stopping.is_set():
            self._calls.submit(self._greet, address)

    def _greet(self, address: str) -> None:
        try:
            reply = self._peers.get(address).exchange(
                self._make_message(()), self._settings.heartbeat_s
            )
        except PeerError:
            return
        self._finish(reply, address)


def find_sync_interval(members: int) -> float:
    """Return the seconds between syncs, longer in a large fleet to keep the bytes constant."""
    return min(SYNC_INTERVAL_S, max(SHORTEST_SYNC_S, members / SYNC_MEMBERS_PER_S))


def _ids(records: Iterable[MemberRecord]) -> Iterator[str]:
    return (record.id for record in records)


def _is_urgent(record: MemberRecord, served_before: str | None) -> bool:
    """Tell whether entries must hear of a change before the next heartbeat."""
    return record.status in (LEAVING, LEFT) or served_before not in (None, record.serving)
