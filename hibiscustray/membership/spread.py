"""Handing an accepted revision to processes directly, so that its spread needs no store."""

from __future__ import annotations

import random
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from hibiscustray.deployments import Revision
from hibiscustray.exceptions import PeerError, PlatformError
from hibiscustray.membership.hashes import PACKING
from hibiscustray.peers import MemberRecord, PeerPool
from hibiscustray.peers.messages import DEAD, LEAVING, LEFT, SyncRequest
from hibiscustray.protocols import MachineList

RECEIVERS = 16
CALL_TIMEOUT_S = 1.0
MEMBER_LIMIT = 4096


def spread_revision(revision: Revision, machines: MachineList, peers: PeerPool) -> tuple[str, ...]:
    """Hand a revision to several listed processes; return the addresses that took it, if any.

    The pool is closed at the end.
    """
    try:
        return push_revision(revision, list_processes(machines, peers).values(), peers)
    except PlatformError:
        return ()
    finally:
        peers.close()


def list_processes(machines: MachineList, peers: PeerPool) -> dict[str, str]:
    """Return peer addresses by process id: the platform's list, corrected by a member's word.

    Raises `StoreUnavailable` or `RecordInvalid` when the platform's list cannot be read.
    """
    found = {m.name: m.peer_address for m in machines.read() if m.is_running}
    for address in random.sample(sorted(found.values()), min(RECEIVERS, len(found))):
        records = _read_members(address, peers)
        if records:
            found.update({m.id: m.peer_address for m in records})
            gone = {m.id for m in records if m.status in (DEAD, LEFT, LEAVING)}
            return {name: at for name, at in found.items() if name not in gone}
    return found


def push_revision(revision: Revision, addresses: Iterable[str], peers: PeerPool) -> tuple[str, ...]:
    """Hand an accepted revision to several processes and return the addresses that took it."""
    candidates = list(addresses)
    chosen = random.sample(candidates, min(RECEIVERS, len(candidates)))

    def push(address: str) -> bool:
        try:
            reply = peers.get(address).push(revision, CALL_TIMEOUT_S)
        except PeerError:
            return False
        return reply.member.revision >= revision.number

    with ThreadPoolExecutor(RECEIVERS, thread_name_prefix="push") as pool:
        taken = list(pool.map(push, chosen))
    return tuple(address for address, is_taken in zip(chosen, taken, strict=True) if is_taken)


def _read_members(address: str, peers: PeerPool) -> tuple[MemberRecord, ...]:
    try:
        request = SyncRequest(bytes(PACKING.size), MEMBER_LIMIT)
        return peers.get(address).sync(request, CALL_TIMEOUT_S).records
    except PeerError:
        return ()
