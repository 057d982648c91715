"""Membership of hosted agents, derived from the list of replicas."""

from __future__ import annotations

import threading

from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord
from hibiscustray.peers.messages import LEFT, LIVE
from hibiscustray.replicas import ReplicaDirectory, ReplicaRecord


class AgentRoster:
    """Updates the member view from the replicas of one service.

    Each replica's VM also runs an agent, so the list of replicas is the list of agents too, and
    agents need not register themselves in the store.
    """

    def __init__(
        self,
        view: MemberView,
        directory: ReplicaDirectory,
        service: str,
        peer_port: int,
        regions: dict[str, str],
    ) -> None:
        self._view = view
        self._directory = directory
        self._service = service
        self._peer_port = peer_port
        self._regions = regions
        self._sequence = 0
        self._lock = threading.Lock()
        directory.add_listener(self.refresh)

    def refresh(self) -> None:
        """Add agents of newly listed or moved replicas; mark those of unlisted ones as left."""
        with self._lock:
            self._sequence += 1
            listed = {r.host: self._make_record(r) for r in self._directory.list_all(self._service)}
            listed.pop(self._view.own.id, None)
            known = {m.id: m for m in self._view.members() if m.id != self._view.own.id}
            self._view.merge(
                (r for host, r in listed.items() if not _is_same_place(r, known.get(host))),
                is_queued=False,
            )
            departed = (member for host, member in known.items() if host not in listed)
            self._view.merge(
                (self._make_departed_record(member) for member in departed), is_queued=False
            )

    def _make_record(self, replica: ReplicaRecord) -> MemberRecord:
        zone = replica.availability_zone
        return MemberRecord(
            id=replica.host,
            role="agent",
            region=self._regions.get(zone, ""),
            availability_zone=zone,
            peer_address=f"{replica.host}:{self._peer_port}",
            http_url="",
            incarnation=1,
            sequence=self._sequence,
            status=LIVE,
            service=self._service,
        )

    def _make_departed_record(self, member: MemberRecord) -> MemberRecord:
        return MemberRecord(
            id=member.id,
            role=member.role,
            region=member.region,
            availability_zone=member.availability_zone,
            peer_address=member.peer_address,
            http_url="",
            incarnation=member.incarnation,
            sequence=self._sequence,
            status=LEFT,
            service=member.service,
        )


def _is_same_place(record: MemberRecord, known: MemberRecord | None) -> bool:
    return known is not None and known.availability_zone == record.availability_zone
