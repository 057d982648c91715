"""At-most-once execution of non-idempotent requests that carry an idempotency key."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.agent.outcomes import OutcomeWriter
from hibiscustray.agent.upstream_call import AttemptOutcome, NotStarted
from hibiscustray.exceptions import ClaimUnavailable, KeyReused, PlatformError
from hibiscustray.peers import AttemptRequest
from hibiscustray.requests import (
    BodyMismatch,
    Claim,
    ClaimedElsewhere,
    ClaimStore,
    ExpiredTicket,
    ForeignTicket,
    ForgedTicket,
    InProgress,
    Ledger,
    LedgerFull,
    NewKey,
    RecordedResponse,
    TicketIssuer,
    Uncertain,
    ValidTicket,
    is_ticket,
)
from hibiscustray.requests.ledger import MAX_RESPONSE_B

STORE_RETRY_AFTER_S = 2.0


@dataclass(frozen=True)
class KeyedRequest:
    """A request with its key in the form that the ledger and the table use."""

    request: AttemptRequest
    key: str
    body_digest: str

    @property
    def is_ticket(self) -> bool:
        """Return whether the key has the form of a ticket."""
        return is_ticket(self.request.key)


class KeyedRequests:
    """Combines the ledger, the tickets and the claims of one agent incarnation.

    Ticket keys are tracked in the ledger only; other keys are also claimed in the table.
    """

    def __init__(
        self, ledger: Ledger, tickets: TicketIssuer, claims: ClaimStore, writer: OutcomeWriter
    ) -> None:
        self._ledger = ledger
        self._tickets = tickets
        self._claims = claims
        self._writer = writer
        self._held: dict[str, Claim] = {}

    def start(self) -> None:
        """Start to write outcomes."""
        self._writer.start()

    def stop(self, grace_s: float) -> None:
        """Stop writing outcomes.

        Within the grace time, the outcomes of ticket requests are first written to the table, so
        that other agents can look them up.
        """
        if grace_s > 0:
            self._write_tickets()
            self._writer.flush(grace_s)
        self._writer.stop()

    def issue(self, team: str, service: str) -> str:
        """Issue a ticket for a team and a service."""
        return self._tickets.issue(team, service)

    def begin(
        self, request: AttemptRequest
    ) -> tuple[KeyedRequest, NewKey | InProgress | AttemptOutcome]:
        """Add the request's key to the ledger, or return the outcome if it must not run."""
        name = f"{request.team}/{request.service}/{request.key}"
        digest = hashlib.sha256(request.body).hexdigest()
        keyed = KeyedRequest(request, name, digest)
        if not keyed.is_ticket:
            return keyed, self._begin_ledger(keyed)
        match self._check(keyed):
            case ForgedTicket():
                return keyed, NotStarted(
                    "ticket", "the ticket is not valid for this agent, team and service", 0.0, True
                )
            case ForeignTicket():
                return keyed, self._look_up(keyed)
            case ExpiredTicket(is_remembered=is_remembered):
                return keyed, self._resolve_expired(keyed, is_remembered)
        return keyed, self._begin_ledger(keyed)

    def wait(self, keyed: KeyedRequest, timeout_s: float) -> InProgress | AttemptOutcome:
        """Wait up to `timeout_s` for the outcome of the request that holds the key."""
        outcome = self._ledger.wait(keyed.key, timeout_s)
        if outcome is None:
            return NotStarted("not-started", "the first request with this key did not run")
        return outcome

    def make_callbacks(self, keyed: KeyedRequest) -> tuple[Callable, Callable]:
        """Return functions that claim the key before the call and record the outcome after it."""
        return lambda: self._prepare(keyed), lambda outcome: self.finish(keyed, outcome)

    def finish(self, keyed: KeyedRequest, outcome: AttemptOutcome) -> AttemptOutcome:
        """Record the outcome of the request that holds the key, and return it."""
        claim = self._held.pop(keyed.key, None)
        match outcome:
            case RecordedResponse() | Uncertain():
                self._ledger.finish(keyed.key, outcome)
                if claim is not None:
                    self._writer.put(claim, _limit_response_size(outcome))
            case _:
                if claim is not None:
                    self._writer.release(claim)
                self._ledger.release(keyed.key)
        return outcome

    def _write_tickets(self) -> None:
        for key, record in self._ledger.list_finished():
            if is_ticket(key.rsplit("/", 1)[-1]):
                claim = self._claims.make_unwritten_claim(key, record.body_digest)
                self._writer.put(claim, record.outcome)

    def _begin_ledger(self, keyed: KeyedRequest) -> NewKey | InProgress | AttemptOutcome:
        match self._ledger.begin(keyed.key, keyed.body_digest):
            case BodyMismatch():
                return _refuse_reuse()
            case LedgerFull():
                return NotStarted("ledger-full", "the agent remembers too many keys", 2.0)
            case outcome:
                return outcome

    def _prepare(self, keyed: KeyedRequest) -> AttemptOutcome | None:
        if keyed.is_ticket:
            return self._recheck_ticket(keyed)
        try:
            claimed = self._claims.claim(keyed.key, keyed.body_digest)
        except PlatformError as error:
            return NotStarted(ClaimUnavailable.kind, str(error), STORE_RETRY_AFTER_S)
        match claimed:
            case Claim():
                self._held[keyed.key] = claimed
                return None
            case BodyMismatch():
                return _refuse_reuse()
            case ClaimedElsewhere() | RecordedResponse() | Uncertain():
                return claimed

    def _recheck_ticket(self, keyed: KeyedRequest) -> AttemptOutcome | None:
        """Refuse a ticket that expired while its request waited for a thread."""
        if isinstance(self._check(keyed), ValidTicket):
            return None
        return NotStarted("ticket-expired", "the ticket has expired", 0.0, True)

    def _check(
        self, keyed: KeyedRequest
    ) -> ValidTicket | ExpiredTicket | ForeignTicket | ForgedTicket:
        request = keyed.request
        return self._tickets.check(request.key, request.team, request.service)

    def _look_up(self, keyed: KeyedRequest) -> AttemptOutcome:
        """Return the outcome that the issuer of a ticket wrote to the table at its planned stop."""
        try:
            found = self._claims.look_up(keyed.key, keyed.body_digest)
        except PlatformError as error:
            return Uncertain(
                f"the ticket's agent has stopped and the table is unavailable: {error}"
            )
        match found:
            case None:
                return Uncertain("the ticket's agent has stopped and left no outcome")
            case BodyMismatch():
                return _refuse_reuse()
            case outcome:
                return outcome

    def _resolve_expired(
        self, keyed: KeyedRequest, is_remembered: bool
    ) -> InProgress | AttemptOutcome:
        outcome = self._begin_ledger(keyed)
        if not isinstance(outcome, NewKey):
            return outcome
        self._ledger.release(keyed.key)
        if is_remembered:
            return NotStarted("ticket-expired", "the ticket has expired", 0.0, True)
        return Uncertain("the ticket expired too long ago to tell whether it was used")


def _limit_response_size(outcome: RecordedResponse | Uncertain) -> RecordedResponse | Uncertain:
    if isinstance(outcome, RecordedResponse) and outcome.size > MAX_RESPONSE_B:
        return Uncertain("the request ran, but its response is too large to be stored")
    return outcome


def _refuse_reuse() -> NotStarted:
    detail = "the idempotency key was already used with a different body"
    return NotStarted(KeyReused.kind, detail, 0.0)
