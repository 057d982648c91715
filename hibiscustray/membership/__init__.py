"""Which processes exist, their state and incarnation, and the heartbeat between them."""

from hibiscustray.membership.exchange import Exchange
from hibiscustray.membership.spread import (
    SpreadReport,
    list_processes,
    push_revision,
    read_statuses,
    spread_revision,
    wait_for_revision,
)
from hibiscustray.membership.view import MemberView

__all__ = [
    "Exchange",
    "MemberView",
    "SpreadReport",
    "list_processes",
    "push_revision",
    "read_statuses",
    "spread_revision",
    "wait_for_revision",
]
