"""Heartbeats that exchange member records and revision numbers with a few neighbours."""

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
from hibiscustray.protocols import VmList
from hibiscustray.settings import MembershipSettings
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

NEIGHBOUR_COUNT = 3
LONG_LINK_ROUNDS = 16
"""Mean number of heartbeat rounds after which the long link is replaced."""
CALL_THREADS = 6
MIN_ROUND_GAP_S = 0.1
LEAVE_TIMEOUT_S = 0.5
CLEANUP_INTERVAL_S = 10.0
MAX_SYNC_INTERVAL_S = 15.0
MIN_SYNC_INTERVAL_S = 1.0
SYNC_MEMBERS_PER_S = 5
RESYNC_DELAY_S = 1.0
MAX_SYNC_RECORDS = 64
MAX_FIRST_SYNC_RECORDS = 4096
MAX_FIRST_SYNC_MEMBERS = 4
"""With at most this many known members, a sync counts as the first and may return more records."""
DIGEST_PREFIX_LENGTH = 16


class Exchange:
    """Keeps the member view and the configuration of one process up to date."""

    def __init__(
        self,
        view: MemberView,
        configuration: Configuration,
        revisions: RevisionStore,
        vm_list: VmList,
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
            view,
            configuration,
            revisions,
            vm_list,
            settings,
            metrics,
            self._schedule_contact,
            self,
        )
        self._in_flight: set[str] = set()
        self._neighbour_index = self._random.randrange(NEIGHBOUR_COUNT)
        self._long_link: MemberRecord | None = None
        self._next_sync = 0.0
        self._next_cleanup = 0.0
        self._was_justified = False
        self._heartbeat_requested = threading.Event()
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
        """Return the record of this process."""
        return self._view.own

    def start(self) -> None:
        """Start the heartbeat and platform polling threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and, on a planned stop, notify the neighbours; do nothing if stopped."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._poller.stop()
        self._heartbeat_requested.set()
        for thread in self._threads:
            thread.join()
        if self._view.own.status in (LEAVING, LEFT):
            wait(self._send_heartbeats(True), LEAVE_TIMEOUT_S)
        self._calls.shutdown(wait=False, cancel_futures=True)
        self._peers.close()

    def trigger_heartbeat(self) -> None:
        """Send the next heartbeat immediately, to all neighbours."""
        self._heartbeat_requested.set()

    def serve(self, message: ExchangeMessage) -> ExchangeMessage:
        """Handle a peer's heartbeat and return the reply."""
        self._metrics.count("heartbeats_served_total")
        self._apply_message(message, message.sender.peer_address)
        known = self._view.get(message.sender.id)
        changes = self._view.take_changes()
        if known is not None and known.status != message.sender.status:
            changes = (known, *changes)
        return self._make_message(changes)

    def propagate_revision(self) -> None:
        """Send the number of a newly active revision to all neighbours."""
        self.trigger_heartbeat()

    def _serve_revision(self, message: RevisionRequest, context) -> RevisionReply:
        has_revision = self._configuration.number > 0
        return RevisionReply(self._configuration.revision if has_revision else None)

    def _serve_sync(self, message: SyncRequest, context) -> SyncReply:
        limit = min(message.limit, MAX_FIRST_SYNC_RECORDS)
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
            is_requested = self._heartbeat_requested.wait(
                self._settings.heartbeat_s * self._random.uniform(0.9, 1.1)
            )
            if self._stopping.is_set():
                return
            self._heartbeat_requested.clear()
            self._send_heartbeats(is_requested)
            self._refresh_state()
            self._stopping.wait(min(MIN_ROUND_GAP_S, self._settings.heartbeat_s / 4))

    def _send_heartbeats(self, is_requested: bool) -> list[Future]:
        if self._view.is_replaced:
            return []
        targets = self._choose_targets(is_requested)
        if not targets:
            return []
        message = self._make_message(self._view.take_changes())
        return [self._calls.submit(self._send_heartbeat, target, message) for target in targets]

    def _choose_targets(self, is_requested: bool) -> list[MemberRecord]:
        targets = self._view.neighbours(NEIGHBOUR_COUNT)
        long_link = self._choose_long_link(targets)
        if long_link is not None:
            targets.append(long_link)
        if not is_requested and targets:
            self._neighbour_index += 1
            targets = [targets[self._neighbour_index % len(targets)]]
        targets.extend(self._detector.list_unresponsive())
        chosen = {m.id: m for m in targets if m.id not in self._in_flight}
        return list(chosen.values())

    def _choose_long_link(self, neighbours: list[MemberRecord]) -> MemberRecord | None:
        """Return a random member beyond the neighbours, so that changes cross the ring quickly."""
        link = self._long_link
        known = self._view.get(link.id) if link else None
        if known is None or known not in self._view.members() or self._should_replace_long_link():
            excluded = {self._view.own.id, *(m.id for m in neighbours)}
            others = [m for m in self._view.members() if m.id not in excluded]
            known = self._random.choice(others) if others else None
        self._long_link = known
        return known

    def _should_replace_long_link(self) -> bool:
        return self._random.randrange(LONG_LINK_ROUNDS) == 0

    def _send_heartbeat(self, target: MemberRecord, message: ExchangeMessage) -> None:
        self._in_flight.add(target.id)
        try:
            reply = self._peers.get(target.peer_address).exchange(
                message, self._settings.heartbeat_s
            )
        except PeerError:
            self._detector.record_failure(target)
            return
        finally:
            self._in_flight.discard(target.id)
        self._detector.record_answer(target)
        self._metrics.count("heartbeats_total")
        self._process_reply(reply, target.peer_address)

    def _process_reply(self, reply: ExchangeMessage, address: str) -> None:
        self._apply_message(reply, address)
        self._reconcile_revisions(reply, address)
        self._sync_if_due(reply, address)

    def _make_message(self, changes: tuple[MemberRecord, ...]) -> ExchangeMessage:
        return ExchangeMessage(
            sender=self._view.own,
            changes=changes,
            revision=self._configuration.number,
            digest=self._configuration.digest[:DIGEST_PREFIX_LENGTH],
            is_established=self._configuration.justification.is_established,
            view_hash=self._view.hash,
        )

    def _apply_message(self, message: ExchangeMessage, address: str) -> None:
        self._peers.negotiate_codec(address, message.sender.codec)
        records = (message.sender, *message.changes)
        serving_before = {
            known.id: known.serving for known in map(self._view.get, _list_ids(records)) if known
        }
        changed = self._view.merge(records)
        if any(_is_urgent(record, serving_before.get(record.id)) for record in changed):
            self.trigger_heartbeat()
        self._record_peer_revision(message)

    def _record_peer_revision(self, message: ExchangeMessage) -> None:
        self._configuration.justification.record_peer(
            message.sender.id, message.revision, message.is_established, self._configuration.number
        )

    def _reconcile_revisions(self, reply: ExchangeMessage, address: str) -> None:
        """Fetch the peer's revision if it is newer, or push the own one if the peer's is older.

        Only the calling side does this, so that no server thread waits for another server.
        """
        if reply.revision > self._configuration.number:
            self._fetch_revision(address, reply)
            self._record_peer_revision(reply)
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
        is_same_number = revision.number == message.revision
        if is_same_number and revision.digest[:DIGEST_PREFIX_LENGTH] != message.digest:
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
        is_first_sync = self._view.count() <= MAX_FIRST_SYNC_MEMBERS
        limit = MAX_FIRST_SYNC_RECORDS if is_first_sync else MAX_SYNC_RECORDS
        try:
            reply = self._peers.get(address).sync(
                SyncRequest(self._view.hash_buckets(), limit), self._settings.heartbeat_s
            )
        except PeerError:
            return
        self._metrics.count("syncs_total")
        if self._view.merge(reply.records, is_queued=False):
            self._next_sync = now + RESYNC_DELAY_S

    def _refresh_state(self) -> None:
        """Update the state that depends on time: justification, departed members and gauges."""
        configuration = self._configuration
        configuration.justification.reevaluate(configuration.number)
        if self._view.is_replaced:
            configuration.justification.revoke()
        is_justified = configuration.is_justified()
        if is_justified != self._was_justified:
            self._was_justified = is_justified
            log.info("serving is justified" if is_justified else "serving is not justified")
        now = time.monotonic()
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_INTERVAL_S
            self._view.remove_departed()
            self._contact_one_dead()
            self._metrics.set_gauge("members", self._view.count())
            self._metrics.set_gauge("configuration_revision", configuration.number)
            self._metrics.set_gauge("configuration_justified", float(is_justified))
            self._metrics.set_gauge("false_suspicions", self._view.false_suspicions)

    def _contact_one_dead(self) -> None:
        """Contact a member marked dead, since a partition between regions may have ended."""
        departed = [m for m in self._view.list_departed() if m.status != LEFT]
        if departed:
            self._schedule_contact(self._random.choice(departed).peer_address)

    def _schedule_contact(self, address: str) -> None:
        if not self._stopping.is_set():
            self._calls.submit(self._contact, address)

    def _contact(self, address: str) -> None:
        try:
            reply = self._peers.get(address).exchange(
                self._make_message(()), self._settings.heartbeat_s
            )
        except PeerError:
            return
        self._process_reply(reply, address)


def find_sync_interval(members: int) -> float:
    """Return the seconds between syncs, which grow with the fleet to keep the traffic constant."""
    return min(MAX_SYNC_INTERVAL_S, max(MIN_SYNC_INTERVAL_S, members / SYNC_MEMBERS_PER_S))


def _list_ids(records: Iterable[MemberRecord]) -> Iterator[str]:
    return (record.id for record in records)


def _is_urgent(record: MemberRecord, serving_before: str | None) -> bool:
    """Return whether a change must be sent before the next regular heartbeat."""
    return record.status in (LEAVING, LEFT) or serving_before not in (None, record.serving)
