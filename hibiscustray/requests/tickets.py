"""Tickets: idempotency keys issued by an agent, which only its current incarnation accepts."""

from __future__ import annotations

import base64
import hmac
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.requests.ledger import RECORD_TTL_S

TICKET_PREFIX = "hbt1."
TICKET_LIFETIME_S = 300.0
MAC_B = 16
NONCE_B = 9


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """The content of a ticket; `expires_at_s` refers to the issuer's monotonic clock."""

    agent: str
    incarnation: int
    team: str
    service: str
    expires_at_s: float
    nonce: bytes


@dataclass(frozen=True)
class ValidTicket:
    """The ticket was issued by this incarnation and its request may run."""


@dataclass(frozen=True)
class ExpiredTicket:
    """The ticket has expired; `is_remembered` if the ledger would still know an earlier run."""

    is_remembered: bool


@dataclass(frozen=True)
class ForeignTicket:
    """The ticket was issued by another incarnation, and only that one may run its request."""


@dataclass(frozen=True)
class ForgedTicket:
    """The ticket is malformed, has a wrong signature, or is for another team or service."""


class TicketIssuer:
    """Issues and verifies the tickets of one agent incarnation."""

    def __init__(
        self, agent: str, incarnation: int, timer: Callable[[], float] = time.monotonic
    ) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._timer = timer
        self._secret = secrets.token_bytes(32)

    def issue(self, team: str, service: str) -> str:
        """Return a new ticket."""
        ticket = Ticket(
            agent=self._agent,
            incarnation=self._incarnation,
            team=team,
            service=service,
            expires_at_s=self._timer() + TICKET_LIFETIME_S,
            nonce=secrets.token_bytes(NONCE_B),
        )
        body = msgspec.msgpack.encode(ticket)
        return TICKET_PREFIX + base64.urlsafe_b64encode(self._sign(body) + body).decode()

    def check(
        self, key: str, team: str, service: str
    ) -> ValidTicket | ExpiredTicket | ForeignTicket | ForgedTicket:
        """Verify the ticket of a request."""
        ticket = read_ticket(key)
        if ticket is None:
            return ForgedTicket()
        if (ticket.agent, ticket.incarnation) != (self._agent, self._incarnation):
            return ForeignTicket()
        mac, body = _decode_key(key)
        if not hmac.compare_digest(mac, self._sign(body)):
            return ForgedTicket()
        if (ticket.team, ticket.service) != (team, service):
            return ForgedTicket()
        now = self._timer()
        if now < ticket.expires_at_s:
            return ValidTicket()
        return ExpiredTicket(now < ticket.expires_at_s - TICKET_LIFETIME_S + RECORD_TTL_S)

    def _sign(self, body: bytes) -> bytes:
        return hmac.digest(self._secret, body, "sha256")[:MAC_B]


def is_ticket(key: str) -> bool:
    """Return whether a key has the prefix of a ticket, without verifying it."""
    return key.startswith(TICKET_PREFIX)


def read_ticket(key: str) -> Ticket | None:
    """Return the unverified content of a ticket, None if it cannot be decoded."""
    try:
        return msgspec.msgpack.decode(_decode_key(key)[1], type=Ticket)
    except (*DECODE_ERRORS, ValueError):
        return None


def _decode_key(key: str) -> tuple[bytes, bytes]:
    text = key.removeprefix(TICKET_PREFIX)
    raw = base64.b64decode(text, altchars=b"-_", validate=True)
    if base64.urlsafe_b64encode(raw).decode() != text:
        raise ValueError("the ticket is not in canonical base64")
    return raw[:MAC_B], raw[MAC_B:]
