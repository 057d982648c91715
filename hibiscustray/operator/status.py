"""What is in force: the head revision against what each listed process says of itself."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from hibiscustray.deployments import Deployment, Revision, parse_deployment
from hibiscustray.exceptions import PeerError
from hibiscustray.peers import MemberRecord, PeerPool
from hibiscustray.protocols import VmList

ASK_TIMEOUT_S = 2.0
ASK_THREADS = 16
DIGEST_SHOWN = 12
NOTHING_SERVED = "-"


@dataclass(frozen=True)
class ProcessStatus:
    """One listed VM's process; `drift` says how it differs from the head, empty if it does not."""

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
    """The head revision and all listed processes."""

    revision: int
    operator: str
    processes: tuple[ProcessStatus, ...]

    @property
    def is_in_force(self) -> bool:
        """Tell whether every process answers and follows the head revision."""
        return all(not process.drift for process in self.processes)


def read_status(head: Revision | None, machines: VmList, peers: PeerPool) -> SiteStatus:
    """Ask every running VM on the platform's list; raise `StoreUnavailable`."""
    deployment = parse_deployment(head.text) if head else Deployment("")
    number = head.number if head else 0
    listed = [machine for machine in machines.read() if machine.is_running]

    def ask(machine) -> ProcessStatus:
        try:
            reply = peers.get(machine.peer_address).read_status(ASK_TIMEOUT_S)
        except PeerError as error:
            return ProcessStatus(machine.name, False, drift=f"does not answer: {error}")
        return _describe(reply.member, number, deployment)

    with ThreadPoolExecutor(ASK_THREADS) as pool:
        processes = tuple(pool.map(ask, listed))
    return SiteStatus(number, head.operator if head else "", processes)


def _describe(member: MemberRecord, number: int, deployment: Deployment) -> ProcessStatus:
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
    expected = _find_expected(member, deployment)
    if member.serving == expected:
        return ""
    return f"serves {member.serving[:DIGEST_SHOWN]}, deployment says {expected[:DIGEST_SHOWN]}"


def _find_expected(member: MemberRecord, deployment: Deployment) -> str:
    service = deployment.find_service(member.service)
    if service is None:
        return NOTHING_SERVED
    zones = service.availability_zones
    if zones and member.availability_zone not in zones:
        return NOTHING_SERVED
    return deployment.find_digest(service.name)
