"""Which processes exist, their state and incarnation, and the heartbeat between them."""

from hibiscustray.membership.exchange import Exchange
from hibiscustray.membership.spread import list_processes, push_revision, spread_revision
from hibiscustray.membership.view import MemberView

__all__ = ["Exchange", "MemberView", "list_processes", "push_revision", "spread_revision"]
