"""Tickets cannot be forged, used by another team or incarnation, or used after expiry."""

from __future__ import annotations

import base64

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.requests import (
    TICKET_LIFETIME_S,
    ExpiredTicket,
    ForeignTicket,
    ForgedTicket,
    TicketIssuer,
    ValidTicket,
    read_ticket,
)
from hibiscustray.requests.ledger import RECORD_TTL_S
from hibiscustray.requests.tickets import TICKET_PREFIX


def flip_bit(key, position):
    raw = bytearray(base64.urlsafe_b64decode(key.removeprefix(TICKET_PREFIX)))
    raw[position // 8 % len(raw)] ^= 1 << position % 8
    return TICKET_PREFIX + base64.urlsafe_b64encode(bytes(raw)).decode()


def test_ticket_is_valid_for_its_team_and_service_only():
    issuer = TicketIssuer("a", 1)
    key = issuer.issue("hosts", "booking")
    assert len(key) < 200
    assert issuer.check(key, "hosts", "booking") == ValidTicket()
    assert issuer.check(key, "crew", "booking") == ForgedTicket()
    assert issuer.check(key, "hosts", "roster") == ForgedTicket()


@pytest.mark.parametrize(("agent", "incarnation"), [("a", 2), ("b", 1)])
def test_other_incarnations_reject_ticket(agent, incarnation):
    key = TicketIssuer("a", 1).issue("hosts", "booking")
    assert TicketIssuer(agent, incarnation).check(key, "hosts", "booking") == ForeignTicket()
    assert TicketIssuer("a", 1).check(key, "hosts", "booking") == ForgedTicket()


@given(st.integers(0, 10_000))
def test_modified_ticket_is_never_valid(position):
    issuer = TicketIssuer("a", 1)
    changed = flip_bit(issuer.issue("hosts", "booking"), position)
    assert issuer.check(changed, "hosts", "booking") != ValidTicket()


@given(st.text(max_size=60))
def test_arbitrary_text_is_rejected_without_exception(text):
    assert read_ticket(TICKET_PREFIX + text) is None
    assert TicketIssuer("a", 1).check(TICKET_PREFIX + text, "hosts", "booking") == ForgedTicket()


def test_expired_ticket_is_remembered_as_long_as_ledger_records():
    now = [0.0]
    issuer = TicketIssuer("a", 1, lambda: now[0])
    key = issuer.issue("hosts", "booking")
    now[0] = TICKET_LIFETIME_S
    assert issuer.check(key, "hosts", "booking") == ExpiredTicket(is_remembered=True)
    now[0] = RECORD_TTL_S
    assert issuer.check(key, "hosts", "booking") == ExpiredTicket(is_remembered=False)
