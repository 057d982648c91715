"""Callers' requests: their facts, whole answers, and running at most once."""

from hibiscustray.requests.answer import AnswerDigest, AnswerReader
from hibiscustray.requests.estimate import Estimate, estimate_call, estimate_chat
from hibiscustray.requests.ledger import Fresh, Ledger, Mismatch, Repeat, Running
from hibiscustray.requests.request import CallerRequest

__all__ = [
    "AnswerDigest",
    "AnswerReader",
    "CallerRequest",
    "Estimate",
    "Fresh",
    "Ledger",
    "Mismatch",
    "Repeat",
    "Running",
    "estimate_call",
    "estimate_chat",
]
