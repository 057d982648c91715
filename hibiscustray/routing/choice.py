"""Chooses replicas by own outstanding work and the load that they last reported."""

from __future__ import annotations

import random
import threading
from collections import Counter
from dataclasses import dataclass

from hibiscustray.deployments import Configuration, Deployment, Service
from hibiscustray.exceptions import NoReplica
from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord

RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Choice:
    """A replica and the version digest that an attempt at it must name."""

    member: MemberRecord
    digest: str


class ReplicaChooser:
    """Picks the less loaded of two random replicas that serve an allowed version."""

    def __init__(self, view: MemberView, configuration: Configuration, seed: str) -> None:
        self._view = view
        self._configuration = configuration
        self._random = random.Random(seed)
        self._outstanding: Counter[str] = Counter()
        self._reported: dict[str, int] = {}
        self._lock = threading.Lock()

    def choose(self, service: Service, excluded: set[str], digest: str = "") -> Choice:
        """Return a replica, of one digest if given; raise `NoReplica`."""
        allowed = {digest} if digest else allowed_digests(self._configuration.deployment, service)
        candidates = [
            member
            for member in self._view.replicas(service.name)
            if member.id not in excluded and member.serving in allowed
        ]
        if not candidates:
            raise NoReplica(f"no replica of {service.name} can take the request", RETRY_AFTER_S)
        with self._lock:
            pair = self._random.sample(candidates, min(2, len(candidates)))
            member = min(pair, key=lambda m: self._outstanding[m.id] + self._reported.get(m.id, 0))
            self._outstanding[member.id] += 1
        return Choice(member, member.serving)

    def report(self, member_id: str, load: int) -> None:
        """Note the load that a replica reported, in requests of other entries."""
        with self._lock:
            self._reported[member_id] = max(0, load - self._outstanding[member_id])

    def release(self, member_id: str) -> None:
        """Note that an attempt has ended."""
        with self._lock:
            self._outstanding[member_id] -= 1


def allowed_digests(deployment: Deployment, service: Service) -> set[str]:
    """Return the digests that may serve: all listed versions of the service's model."""
    if service.kind == "plain":
        return {""}
    current = deployment.find_version(service.version)
    if current is None:
        return set()
    return {
        version.manifest
        for version in deployment.versions
        if version.kind == "model" and version.model == current.model
    }
