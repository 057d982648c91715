"""Compares the head, the newest accepted revision, with the status that each process reports."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from hibiscustray.deployments import Deployment, Revision, parse_deployment
from hibiscustray.exceptions import PeerError
from hibiscustray.peers import MemberRecord, PeerPool
from hibiscustray.protocols import VmList

STATUS_TIMEOUT_S = 2.0
STATUS_THREADS = 16
DIGEST_CHARS = 12
NOTHING_SERVED = "-"
"""Value of `serving` that an agent of a model reports while it serves no version."""


@dataclass(frozen=True)
class ProcessStatus:
    """The process on one VM of the platform's list, and its `drift` from the head, if any."""

    id: str
    is_answering: bool
    role: str = ""
    availability_zone: str = ""
    status: str = ""
    service: str = ""
    serving: str = ""
    adapters: tuple[str, ...] = ()
    revision: int = 0
    http_url: str = ""
    drift: str = ""


@dataclass(frozen=True)
class SiteStatus:
    """The head revision and the processes on all running VMs of the platform's list."""

    revision: int
    operator: str
    processes: tuple[ProcessStatus, ...]

    @property
    def is_in_force(self) -> bool:
        """Return whether every process answers and has no drift from the head revision."""
        return all(not process.drift for process in self.processes)


def read_status(head: Revision | None, machines: VmList, peers: PeerPool) -> SiteStatus:
    """Read the status of every running VM on the platform's list; raise `StoreUnavailable`."""
    deployment = parse_deployment(head.text) if head else Deployment("")
    number = head.number if head else 0
    listed = [vm for vm in machines.read() if vm.is_running]

    def read_process(vm) -> ProcessStatus:
        try:
            reply = peers.get(vm.peer_address).read_status(STATUS_TIMEOUT_S)
        except PeerError as error:
            return ProcessStatus(vm.name, False, drift=f"does not answer: {error}")
        return _make_process_status(reply.member, number, deployment)

    with ThreadPoolExecutor(STATUS_THREADS) as pool:
        processes = tuple(pool.map(read_process, listed))
    return SiteStatus(number, head.operator if head else "", processes)


def _make_process_status(
    member: MemberRecord, number: int, deployment: Deployment
) -> ProcessStatus:
    return ProcessStatus(
        id=member.id,
        is_answering=True,
        role=member.role,
        availability_zone=member.availability_zone,
        status=member.status,
        service=member.service,
        serving=member.serving,
        adapters=member.adapters,
        revision=member.revision,
        http_url=member.http_url,
        drift=_find_drift(member, number, deployment),
    )


def _find_drift(member: MemberRecord, number: int, deployment: Deployment) -> str:
    if member.revision != number:
        return f"revision {member.revision}, head is {number}"
    if member.role != "agent":
        return ""
    expected = _find_expected_digest(member, deployment)
    if member.serving == expected:
        return ""
    return f"serves {member.serving[:DIGEST_CHARS]}, deployment says {expected[:DIGEST_CHARS]}"


def _find_expected_digest(member: MemberRecord, deployment: Deployment) -> str:
    service = deployment.find_service(member.service)
    if service is None:
        return NOTHING_SERVED
    zones = service.availability_zones
    if zones and member.availability_zone not in zones:
        return NOTHING_SERVED
    return deployment.find_digest(service.name)
