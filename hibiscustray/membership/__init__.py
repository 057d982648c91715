"""Which processes exist, their state and incarnation, and the heartbeat between them."""

from hibiscustray.membership.exchange import Exchange
from hibiscustray.membership.view import MemberView

__all__ = ["Exchange", "MemberView"]
