"""Idempotency keys that an agent issues and that only its present incarnation can run."""

from __future__ import annotations

import base64
import binascii
import hmac
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hibiscustray.requests.ledger import RECORD_TTL_S

TICKET_PREFIX = "hbt1."
TICKET_LIFETIME_S = 300.0
MAC_B = 16
NONCE_B = 9


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """What a ticket says; `expires_at_s` is on the issuer's monotonic clock."""

    agent: str
    incarnation: int
    team: str
    service: str
    expires_at_s: float
    nonce: bytes


@dataclass(frozen=True)
class ValidTicket:
    """The ticket is of this incarnation and may run."""


@dataclass(frozen=True)
class ExpiredTicket:
    """The ticket may not run; `is_remembered` tells whether an earlier run would be known."""

    is_remembered: bool


@dataclass(frozen=True)
class ForeignTicket:
    """The ticket is of another incarnation, which alone could run it."""


@dataclass(frozen=True)
class ForgedTicket:
    """The ticket names this incarnation, team or service falsely."""


class TicketIssuer:
    """Issues and checks the tickets of one agent incarnation."""

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
        """Judge a ticket that a request carries."""
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
    """Tell whether a key claims to be a ticket."""
    return key.startswith(TICKET_PREFIX)


def read_ticket(key: str) -> Ticket | None:
    """Return what a ticket says, unverified; None if it cannot be read."""
    try:
        return msgspec.msgpack.decode(_decode_key(key)[1], type=Ticket)
    except (msgspec.DecodeError, binascii.Error, ValueError):
        return None


def _decode_key(key: str) -> tuple[bytes, bytes]:
    text = key.removeprefix(TICKET_PREFIX)
    raw = base64.b64decode(text, altchars=b"-_", validate=True)
    if base64.urlsafe_b64encode(raw).decode() != text:
        raise ValueError("another spelling of a ticket")
    return raw[:MAC_B], raw[MAC_B:]
