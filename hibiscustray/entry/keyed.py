"""Sends a non-idempotent request with a key to the one agent incarnation that may run it."""

from __future__ import annotations

import time
from collections.abc import Iterator

from hibiscustray.deployments import Service
from hibiscustray.entry.attempt import (
    DEADLINE_ERRORS,
    AttemptLost,
    AttemptNotRun,
    AttemptRedirected,
    AttemptRunner,
    Binding,
    buffer_until_complete,
)
from hibiscustray.entry.replicas import ReplicaWaiter
from hibiscustray.exceptions import (
    ClaimUnavailable,
    DeadlinePassedRunning,
    KeyReused,
    NoReplica,
    NotRun,
    OutcomeUnknown,
    TicketInvalid,
)
from hibiscustray.membership import MemberView
from hibiscustray.peers import End, MemberRecord
from hibiscustray.peers.messages import DEAD, LEFT
from hibiscustray.requests import CallerRequest, ResponseReader, is_ticket, read_ticket
from hibiscustray.routing import Choice, Permit
from hibiscustray.routing.health import AttemptProgress
from hibiscustray.telemetry import Metrics

MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.2
RETRY_AFTER_S = 1.0


class KeyedDispatcher:
    """Runs attempts with the same key, of which the agents execute at most one."""

    def __init__(
        self,
        replica_waiter: ReplicaWaiter,
        view: MemberView,
        attempt_runner: AttemptRunner,
        metrics: Metrics,
    ) -> None:
        self._replica_waiter = replica_waiter
        self._view = view
        self._attempt_runner = attempt_runner
        self._metrics = metrics

    def run(
        self, request: CallerRequest, service: Service, permit: Permit
    ) -> Iterator[bytes | End]:
        """Yield the response to the first request with the key; raises like `Dispatcher.run`."""
        context = KeyedRequestContext(request, _read_binding(request.key))
        for _ in range(MAX_ATTEMPTS):
            owner = self._find_owner(context)
            attempt = self._run_attempt(context, service, owner, permit)
            failure = yield from attempt if request.is_stream else buffer_until_complete(attempt)
            if failure is None:
                return
            self._metrics.count("attempts_failed_total", {"service": service.name})
            if context.record_failure(failure, owner):
                break
            time.sleep(max(0.0, min(RETRY_PAUSE_S, request.time_left())))
        raise context.make_error()

    def _find_owner(self, context: KeyedRequestContext) -> MemberRecord | None:
        """Return the only agent that may run the key, None if any agent may or if it is gone."""
        binding = context.binding
        if binding is None or context.is_owner_gone:
            return None
        member = self._view.get(binding.agent)
        is_present = (
            member is not None
            and member.incarnation == binding.incarnation
            and member.status not in (DEAD, LEFT)
        )
        context.is_owner_gone = not is_present
        return member if is_present else None

    def _run_attempt(
        self,
        context: KeyedRequestContext,
        service: Service,
        owner: MemberRecord | None,
        permit: Permit,
    ):
        request, reader = context.request, context.get_reader()
        if owner is not None:
            choice = _bind_choice(owner, request)
            attempt = self._attempt_runner.run(request, choice, reader, permit, owner.incarnation)
            return (yield from attempt)
        try:
            choice = self._replica_waiter.wait_for_replica(
                request, service, context.excluded, "", request.deadline
            )
        except NoReplica as error:
            return AttemptNotRun(error)
        context.member = choice.member
        is_complete = False
        try:
            failure = yield from self._attempt_runner.run(request, choice, reader, permit)
            is_complete = failure is None
            return failure
        finally:
            self._replica_waiter.release(choice, is_complete)


class KeyedRequestContext:
    """The state of one keyed request across its attempts."""

    def __init__(self, request: CallerRequest, binding: Binding | None) -> None:
        self.request = request
        self.binding = binding
        self.is_owner_gone = False
        self.excluded: set[str] = set()
        self.member: MemberRecord | None = None
        self._is_ticket = binding is not None
        self._may_have_run = not request.is_first
        self._error: Exception = NoReplica("no replica was tried", RETRY_AFTER_S)
        self._reader = ResponseReader(request.id)

    def get_reader(self) -> ResponseReader:
        """Return the reader for the next attempt: a new one, except for a stream to resume."""
        if not self.request.is_stream:
            self._reader = ResponseReader(self.request.id)
        return self._reader

    def record_failure(self, failure, owner: MemberRecord | None) -> bool:
        """Record how an attempt failed; return whether another attempt is pointless."""
        match failure:
            case AttemptRedirected(binding=binding):
                self._may_have_run = True
                self._error = OutcomeUnknown(f"agent {binding.agent} holds the key")
                if binding == self.binding:
                    return self.is_owner_gone
                self.binding = binding
                self.is_owner_gone = False
            case AttemptLost(error=error, is_unknown_at_agent=is_unknown_at_agent):
                # Agents other than its issuer only look up a ticket's outcome and never run it.
                is_looked_up = self._is_ticket and owner is None
                self._may_have_run = self._may_have_run or not is_looked_up
                self._error = error
                self._bind_to(owner or self.member)
                return is_unknown_at_agent or self.request.time_left() <= 0
            case AttemptNotRun(error=error):
                self._error = error
                return self._record_refusal(failure, owner)
        return False

    def make_error(self) -> Exception:
        """Return the error for the caller from what is known about the key."""
        if isinstance(self._error, KeyReused | TicketInvalid):
            return self._error
        if self._may_have_run and (
            isinstance(self._error, DEADLINE_ERRORS) or self.request.time_left() <= 0
        ):
            return DeadlinePassedRunning(
                "the deadline passed; repeat the request with the same key"
            )
        if self._may_have_run:
            detail = f"a request with this key may have run: {self._error}"
            return OutcomeUnknown(detail, RETRY_AFTER_S)
        if isinstance(self._error, ClaimUnavailable):
            return ClaimUnavailable(
                f"the store is down; a ticket from /v1/services/{self.request.service}/tickets "
                f"can be used as a new key: {self._error}",
                self._error.retry_after_s,
            )
        if isinstance(self._error, NotRun):
            return self._error
        return NoReplica(f"no replica accepted the request: {self._error}", RETRY_AFTER_S)

    def _bind_to(self, member: MemberRecord | None) -> None:
        # The agent may have the key in its ledger, so that a repeat there cannot run twice.
        if member is not None and not self._is_ticket and not self.is_owner_gone:
            self.binding = Binding(member.id, member.incarnation)

    def _record_refusal(self, failure: AttemptNotRun, owner: MemberRecord | None) -> bool:
        if failure.is_final or isinstance(
            failure.error, (ClaimUnavailable, KeyReused, *DEADLINE_ERRORS)
        ):
            return True
        if self.request.time_left() <= 0:
            return True
        if owner is not None and failure.is_gone:
            self.is_owner_gone = True
        elif owner is not None and not self._is_ticket:
            self.binding = None
            self.excluded.add(owner.id)
        elif owner is None and self.member is not None:
            self.excluded.add(self.member.id)
        return False


def _bind_choice(owner: MemberRecord, request: CallerRequest) -> Choice:
    """Return the key's owner as a choice, bypassing the replica chooser."""
    now = time.monotonic()
    expected_tokens = max(1, request.estimate.output_tokens)
    return Choice(
        owner,
        owner.serving,
        AttemptProgress(owner.id, expected_tokens, request.is_stream, now, now),
    )


def _read_binding(key: str) -> Binding | None:
    if not is_ticket(key):
        return None
    ticket = read_ticket(key)
    if ticket is None:
        raise TicketInvalid("the ticket cannot be decoded")
    return Binding(ticket.agent, ticket.incarnation)
