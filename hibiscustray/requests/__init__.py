"""Callers' requests: their facts, whole answers, and running at most once."""

from hibiscustray.requests.answer import AnswerDigest, AnswerReader
from hibiscustray.requests.claims import Claim, ClaimStore, Elsewhere
from hibiscustray.requests.estimate import Estimate, estimate_call, estimate_chat
from hibiscustray.requests.ledger import (
    Fresh,
    Full,
    Ledger,
    Mismatch,
    Repeat,
    Running,
    Uncertain,
)
from hibiscustray.requests.request import CallerRequest
from hibiscustray.requests.tickets import (
    TICKET_LIFETIME_S,
    Expired,
    Foreign,
    Forged,
    TicketIssuer,
    Valid,
    is_ticket,
    read_ticket,
)

__all__ = [
    "TICKET_LIFETIME_S",
    "AnswerDigest",
    "AnswerReader",
    "CallerRequest",
    "Claim",
    "ClaimStore",
    "Elsewhere",
    "Estimate",
    "Expired",
    "Foreign",
    "Forged",
    "Fresh",
    "Full",
    "Ledger",
    "Mismatch",
    "Repeat",
    "Running",
    "TicketIssuer",
    "Uncertain",
    "Valid",
    "estimate_call",
    "estimate_chat",
    "is_ticket",
    "read_ticket",
]
