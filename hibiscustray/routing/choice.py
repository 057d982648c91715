"""Chooses the replica for an attempt by load, limit, health, availability zone and prefix."""

from __future__ import annotations

import itertools
import math
import random
import threading
import time
from dataclasses import dataclass

from hibiscustray.deployments import Configuration, Deployment, Service
from hibiscustray.exceptions import NoReplica
from hibiscustray.membership import MemberView
from hibiscustray.peers import MemberRecord
from hibiscustray.requests import Estimate, estimate_call
from hibiscustray.routing.health import AttemptProgress
from hibiscustray.routing.policies import Adaptive, FirstCome, LeastOutstanding, Policy, RoundRobin
from hibiscustray.routing.replicas import (
    Candidate,
    ReplicaState,
    compute_typical_time_per_token,
    split_outliers,
)
from hibiscustray.routing.subset import rank_members, select_subset

RETRY_AFTER_S = 1.0

LISTING_TTL_S = 0.1
"""Time for which the list of a service's replicas is cached."""

NOT_SERVING = "-"
"""Digest in the record of a model replica that has no version loaded."""

SAMPLE_SIZE = 3
"""Number of random replicas of which the best is chosen."""

AFFINITY_LOAD_FACTOR = 1.25
"""Bound on the load of a replica chosen by prefix, as a multiple of the mean load."""

AFFINITY_LIMIT_SHARE = 0.8
"""Bound on the load of a replica chosen by prefix, as a share of its concurrency limit."""

OTHER_ZONE_FACTOR = 1.1
OTHER_REGION_FACTOR = 1.25
"""Factors on the score of a replica in another availability zone or region than the entry."""

DEFAULT_TIME_PER_TOKEN_S = 0.05


@dataclass(frozen=True)
class Choice:
    """A replica, the version digest for the attempt's message, and the attempt's progress."""

    member: MemberRecord
    digest: str
    progress: AttemptProgress


@dataclass(frozen=True)
class Listing:
    """A cached list of the replicas of a service that serve an allowed version."""

    read_at: float
    members: list[MemberRecord]


class ReplicaChooser:
    """Chooses replicas by a routing policy and updates their state after every attempt."""

    def __init__(
        self, view: MemberView, configuration: Configuration, policy: Policy, seed: str
    ) -> None:
        self._view = view
        self._configuration = configuration
        self._policy = policy
        self._random = random.Random(seed)
        self._round_robin_counter = itertools.count()
        self._states: dict[str, ReplicaState] = {}
        self._listings: dict[str, Listing] = {}
        self._lock = threading.Lock()

    def choose(
        self,
        service: Service,
        excluded: set[str],
        digest: str = "",
        estimate: Estimate | None = None,
        is_stream: bool = False,
    ) -> Choice:
        """Choose a replica, one that serves `digest` if given; raise `NoReplica`."""
        estimate = estimate or estimate_call()
        now = time.monotonic()
        members = [
            member
            for member in self._list_members(service, now)
            if member.id not in excluded and digest in ("", member.serving)
        ]
        if not members:
            raise NoReplica(
                f"no replica of {service.name} is available for the request", RETRY_AFTER_S
            )
        with self._lock:
            member = self._choose_member(members, estimate, now)
            state = self._get_state(member.id)
            state.outstanding += 1
            expected_tokens = max(1, estimate.output_tokens)
            progress = AttemptProgress(member.id, expected_tokens, is_stream, now, now)
            state.health.add_attempt(progress)
        return Choice(member, member.serving, progress)

    def record_load(self, member_id: str, load: int, waiting: int) -> None:
        """Record a replica's reported load, counted over all entries, and its queue length."""
        with self._lock:
            state = self._get_state(member_id)
            state.other_load = max(0, load - state.outstanding)
            state.reported_at = time.monotonic()
            state.limit.record_queue_length(waiting, state.reported_at)

    def release(self, choice: Choice, is_complete: bool) -> None:
        """Record that an attempt has ended, with a complete response if `is_complete`."""
        now = time.monotonic()
        progress = choice.progress
        with self._lock:
            state = self._get_state(choice.member.id)
            load = state.compute_load(now)
            state.outstanding -= 1
            state.health.end_attempt(progress, is_complete, now)
            if is_complete:
                first_payload_s = progress.first_payload_s if progress.is_stream else None
                response_s = now - progress.started_at
                state.limit.record_response(
                    response_s, progress.expected_tokens, first_payload_s, load, now
                )

    def record_overload(self, choice: Choice) -> None:
        """Record that a replica rejected an attempt because it is overloaded."""
        with self._lock:
            self._get_state(choice.member.id).limit.decrease(time.monotonic())

    def compute_capacity(self, service: Service) -> int:
        """Return how many requests this entry may have outstanding at a service's replicas."""
        now = time.monotonic()
        members = self._list_members(service, now)
        with self._lock:
            usable, _ = split_outliers(*self._build_candidates(members, now))
            return sum(max(0, c.state.limit.value - c.state.get_other_load(now)) for c in usable)

    def has_replica(self, service: Service) -> bool:
        """Return whether any replica may receive a service's requests."""
        return bool(self._list_members(service, time.monotonic()))

    def get_time_per_token(self, service: Service) -> float | None:
        """Return the typical time per token of a service in seconds, None if not yet known."""
        members = self._list_members(service, time.monotonic())
        with self._lock:
            time_per_token_s = compute_typical_time_per_token(
                [self._get_state(m.id) for m in members], 0.0
            )
        return time_per_token_s or None

    def _list_members(self, service: Service, now: float) -> list[MemberRecord]:
        """Return the replicas of a service that this entry may use, from the cache if recent."""
        listing = self._listings.get(service.name)
        if listing is None or now - listing.read_at > LISTING_TTL_S:
            listing = Listing(now, self._find_members(service))
            self._listings[service.name] = listing
        return listing.members

    def _find_members(self, service: Service) -> list[MemberRecord]:
        # The request's service may stem from an earlier revision than the active one.
        deployment = self._configuration.deployment
        current = deployment.find_service(service.name)
        if current is None:
            return []
        members = [
            member
            for member in self._view.replicas(service.name)
            if may_serve(deployment, current, member.serving)
        ]
        match self._policy:
            case Adaptive(subset=size) | FirstCome(subset=size):
                return select_subset(members, self._view.own.id, size)
        return members

    def _choose_member(
        self, members: list[MemberRecord], estimate: Estimate, now: float
    ) -> MemberRecord:
        match self._policy:
            case RoundRobin():
                return sorted(members, key=lambda m: m.id)[
                    next(self._round_robin_counter) % len(members)
                ]
            case LeastOutstanding():
                shuffled = self._random.sample(members, len(members))
                return min(shuffled, key=lambda m: self._get_state(m.id).outstanding)
        candidates, typical_time_per_token_s = self._build_candidates(members, now)
        usable, outliers = split_outliers(candidates, typical_time_per_token_s)
        for candidate in usable:
            candidate.state.health.reset_probes()
        for candidate in outliers:
            if candidate.state.health.try_probe(now):
                return candidate.member
        return self._choose_by_prefix(usable, estimate) or self._choose_by_load(usable)

    def _choose_by_prefix(
        self, candidates: list[Candidate], estimate: Estimate
    ) -> MemberRecord | None:
        """Return the replica below the load bound that ranks first by its hash with the prefix.

        Requests with a common prefix thus go to the same replica, which has it in its cache.
        """
        if not estimate.prefix:
            return None
        total = sum(candidate.load for candidate in candidates)
        bound = math.ceil(AFFINITY_LOAD_FACTOR * (total + 1) / len(candidates))
        below_bound = [
            c.member
            for c in candidates
            if c.load < bound and c.load < AFFINITY_LIMIT_SHARE * c.state.limit.value
        ]
        return next(iter(rank_members(below_bound, str(estimate.prefix))), None)

    def _choose_by_load(self, candidates: list[Candidate]) -> MemberRecord:
        """Return the best of a few random replicas.

        Entries that received the same load report would otherwise all choose the same one.
        """
        below_limit = [c for c in candidates if c.has_capacity] or candidates
        sample = self._random.sample(below_limit, min(SAMPLE_SIZE, len(below_limit)))
        return min(sample, key=self._compute_score).member

    def _compute_score(self, candidate: Candidate) -> float:
        """Return the expected time per token, increased with load and distance; lower is better."""
        own, member = self._view.own, candidate.member
        load = (candidate.load + 1) / candidate.state.limit.value
        factor = 1.0
        if member.region != own.region:
            factor = OTHER_REGION_FACTOR
        elif member.availability_zone != own.availability_zone:
            factor = OTHER_ZONE_FACTOR
        return candidate.time_per_token_s * (1.0 + load) * factor

    def _build_candidates(
        self, members: list[MemberRecord], now: float
    ) -> tuple[list[Candidate], float]:
        states = [self._get_state(member.id) for member in members]
        typical_time_per_token_s = compute_typical_time_per_token(states, DEFAULT_TIME_PER_TOKEN_S)
        candidates = [
            Candidate(
                m,
                s,
                s.compute_load(now),
                s.health.estimate_time_per_token(typical_time_per_token_s, now),
            )
            for m, s in zip(members, states, strict=True)
        ]
        return candidates, typical_time_per_token_s

    def _get_state(self, member_id: str) -> ReplicaState:
        return self._states.setdefault(member_id, ReplicaState())


def may_serve(deployment: Deployment, service: Service, digest: str) -> bool:
    """Return whether a replica that serves a digest may receive a service's requests.

    A replica that has not been updated yet may serve its previous version, unless the service
    forbids that; versions that the deployment still lists are always allowed.
    """
    if service.kind == "plain":
        return digest == ""
    if digest in ("", NOT_SERVING):
        return False
    current = deployment.find_version(service.version)
    if service.serves_previous or current is None:
        return service.serves_previous
    return digest in {
        version.manifest
        for version in deployment.versions
        if version.kind == "model" and version.model == current.model
    }
