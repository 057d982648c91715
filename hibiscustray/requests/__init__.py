"""Callers' requests: their parameters, complete responses and at-most-once execution."""

from hibiscustray.requests.claims import Claim, ClaimedElsewhere, ClaimStore
from hibiscustray.requests.estimate import Estimate, estimate_call, estimate_chat
from hibiscustray.requests.ledger import (
    BodyMismatch,
    InProgress,
    Ledger,
    LedgerFull,
    NewKey,
    RecordedResponse,
    Uncertain,
)
from hibiscustray.requests.request import CallerRequest
from hibiscustray.requests.response import ResponseDigest, ResponseReader
from hibiscustray.requests.tickets import (
    TICKET_LIFETIME_S,
    ExpiredTicket,
    ForeignTicket,
    ForgedTicket,
    TicketIssuer,
    ValidTicket,
    is_ticket,
    read_ticket,
)

__all__ = [
    "TICKET_LIFETIME_S",
    "BodyMismatch",
    "CallerRequest",
    "Claim",
    "ClaimStore",
    "ClaimedElsewhere",
    "Estimate",
    "ExpiredTicket",
    "ForeignTicket",
    "ForgedTicket",
    "InProgress",
    "Ledger",
    "LedgerFull",
    "NewKey",
    "RecordedResponse",
    "ResponseDigest",
    "ResponseReader",
    "TicketIssuer",
    "Uncertain",
    "ValidTicket",
    "estimate_call",
    "estimate_chat",
    "is_ticket",
    "read_ticket",
]
