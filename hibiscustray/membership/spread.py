"""What an operator does with the processes directly: hand over a revision, ask who holds it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from hibiscustray.deployments import Revision
from hibiscustray.exceptions import PeerError, PlatformError
from hibiscustray.membership.hashes import PACKING
from hibiscustray.peers import PeerClient, StatusReply
from hibiscustray.peers.messages import DEAD, LEAVING, LEFT, SyncRequest
from hibiscustray.platform import MachineList

PUSH_COUNT = 8
PARALLEL_CALLS = 32
CALL_TIMEOUT_S = 1.0
SWEEP_INTERVAL_S = 0.25
MEMBER_LIMIT = 4096


@dataclass(frozen=True)
class SpreadReport:
    """Which processes report a revision, by id or address, and which do not yet."""

    revision: int
    holding: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Tell whether every process reports the revision."""
        return bool(self.holding) and not self.missing


def list_processes(machines: MachineList) -> dict[str, str]:
    """Return peer addresses by process id: the platform's list, corrected by the members' word.

    Raises `StoreUnavailable` or `RecordInvalid` when the platform's list cannot be read.
    """
    listed = {m.name: m.peer_address for m in machines.read() if m.is_running}
    found = dict(listed)
    for address in random.sample(sorted(listed.values()), min(PUSH_COUNT, len(listed))):
        records = _read_members(address)
        if not records:
            continue
        for record in records:
            if record.status in (DEAD, LEFT, LEAVING):
                found.pop(record.id, None)
            else:
                found[record.id] = record.peer_address
        return found
    return found


def push_revision(revision: Revision, addresses: Iterable[str]) -> tuple[str, ...]:
    """Hand an accepted revision to several processes and return the addresses that took it.

    With these the revision spreads even if the store goes down at once.
    """
    candidates = list(addresses)
    random.shuffle(candidates)
    chosen = candidates[: 2 * PUSH_COUNT]

    def push(client: PeerClient) -> bool:
        return client.push(revision, CALL_TIMEOUT_S).revision >= revision.number

    taken = _call_all(dict(zip(chosen, chosen, strict=True)), push)
    return tuple(address for address, is_taken in taken.items() if is_taken)


def wait_for_revision(number: int, processes: Mapping[str, str], timeout_s: float) -> SpreadReport:
    """Ask each process until all report a revision or a higher one, or time is up."""
    deadline = time.monotonic() + timeout_s
    missing = dict(processes)
    holding: set[str] = set()
    while True:
        replies = _call_all(missing, lambda client: client.read_status(CALL_TIMEOUT_S))
        for process_id, reply in replies.items():
            if isinstance(reply, StatusReply) and reply.revision >= number:
                holding.add(process_id)
                missing.pop(process_id)
        if not missing or time.monotonic() >= deadline:
            return SpreadReport(number, tuple(sorted(holding)), tuple(sorted(missing)))
        time.sleep(SWEEP_INTERVAL_S)


def read_statuses(processes: Mapping[str, str]) -> dict[str, StatusReply | None]:
    """Return what each process holds, None for one that does not answer."""
    return _call_all(processes, lambda client: client.read_status(CALL_TIMEOUT_S))


def spread_revision(revision: Revision, machines: MachineList) -> tuple[str, ...]:
    """Hand a revision to several listed processes; return those that took it, if any."""
    try:
        return push_revision(revision, list_processes(machines).values())
    except PlatformError:
        return ()


def _read_members(address: str):
    client = PeerClient(address)
    try:
        request = SyncRequest(bytes(PACKING.size), MEMBER_LIMIT)
        return client.sync(request, CALL_TIMEOUT_S).records
    except PeerError:
        return ()
    finally:
        client.close()


def _call_all(processes: Mapping[str, str], call: Callable[[PeerClient], object]) -> dict:
    """Call many processes, a bounded number at a time; None stands for no answer."""

    def call_one(address: str):
        client = PeerClient(address)
        try:
            return call(client)
        except PeerError:
            return None
        finally:
            client.close()

    with ThreadPoolExecutor(PARALLEL_CALLS, thread_name_prefix="sweep") as pool:
        replies = list(pool.map(call_one, processes.values()))
    return dict(zip(processes, replies, strict=True))
