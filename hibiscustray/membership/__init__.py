"""Cluster membership: the known processes, their status, and the heartbeats between them."""

from hibiscustray.membership.exchange import Exchange
from hibiscustray.membership.spread import list_processes, push_revision, spread_revision
from hibiscustray.membership.view import MemberView

__all__ = ["Exchange", "MemberView", "list_processes", "push_revision", "spread_revision"]
