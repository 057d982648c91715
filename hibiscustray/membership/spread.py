"""Direct pushes of an accepted revision to processes, without the store."""

from __future__ import annotations

import random
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from hibiscustray.deployments import Revision
from hibiscustray.exceptions import PeerError, PlatformError
from hibiscustray.membership.hashes import BUCKET_STRUCT
from hibiscustray.peers import MemberRecord, PeerPool
from hibiscustray.peers.messages import DEAD, LEAVING, LEFT, SyncRequest
from hibiscustray.protocols import VmList

MAX_RECEIVERS = 16
CALL_TIMEOUT_S = 1.0
MAX_MEMBERS = 4096


def spread_revision(revision: Revision, vm_list: VmList, peers: PeerPool) -> tuple[str, ...]:
    """Push a revision to several processes; return the addresses that have it then.

    Closes the pool. Returns no address if the list of processes cannot be read.
    """
    try:
        return push_revision(revision, list_processes(vm_list, peers).values(), peers)
    except PlatformError:
        return ()
    finally:
        peers.close()


def list_processes(vm_list: VmList, peers: PeerPool) -> dict[str, str]:
    """Return peer addresses by process id: the platform's list, updated from a member's view.

    Raises `StoreUnavailable` or `RecordInvalid` when the platform's list cannot be read.
    """
    found = {m.name: m.peer_address for m in vm_list.read() if m.is_running}
    for address in random.sample(sorted(found.values()), min(MAX_RECEIVERS, len(found))):
        records = _read_members(address, peers)
        if records:
            found.update({m.id: m.peer_address for m in records})
            stopped = {m.id for m in records if m.status in (DEAD, LEFT, LEAVING)}
            return {name: address for name, address in found.items() if name not in stopped}
    return found


def push_revision(revision: Revision, addresses: Iterable[str], peers: PeerPool) -> tuple[str, ...]:
    """Push an accepted revision to several processes; return the addresses that have it then."""
    candidates = list(addresses)
    chosen = random.sample(candidates, min(MAX_RECEIVERS, len(candidates)))

    def push(address: str) -> bool:
        try:
            reply = peers.get(address).push(revision, CALL_TIMEOUT_S)
        except PeerError:
            return False
        return reply.member.revision >= revision.number

    with ThreadPoolExecutor(MAX_RECEIVERS, thread_name_prefix="push") as pool:
        results = list(pool.map(push, chosen))
    return tuple(
        address for address, is_accepted in zip(chosen, results, strict=True) if is_accepted
    )


def _read_members(address: str, peers: PeerPool) -> tuple[MemberRecord, ...]:
    try:
        request = SyncRequest(bytes(BUCKET_STRUCT.size), MAX_MEMBERS)
        return peers.get(address).sync(request, CALL_TIMEOUT_S).records
    except PeerError:
        return ()
