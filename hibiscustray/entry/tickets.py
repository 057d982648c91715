"""Requests tickets from agents for callers that will send a non-idempotent request."""

from __future__ import annotations

from hibiscustray.deployments import Service
from hibiscustray.exceptions import NoReplica, PeerError
from hibiscustray.peers import PeerPool, TicketReply
from hibiscustray.routing import ReplicaChooser

MAX_TICKET_TRIES = 3
TICKET_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class TicketClient:
    """Requests a ticket from one agent after another until one issues it."""

    def __init__(self, chooser: ReplicaChooser, peers: PeerPool) -> None:
        self._chooser = chooser
        self._peers = peers

    def get_ticket(self, team: str, service: Service) -> TicketReply:
        """Return a ticket; raise `NoReplica` if no agent issues one."""
        excluded: set[str] = set()
        for _ in range(MAX_TICKET_TRIES):
            choice = self._chooser.choose(service, excluded)
            excluded.add(choice.member.id)
            try:
                client = self._peers.get(choice.member.peer_address)
                reply = client.issue_ticket(team, service.name, TICKET_TIMEOUT_S)
            except PeerError:
                continue
            finally:
                self._chooser.release(choice, is_complete=False)
            if reply.key:
                return reply
        raise NoReplica("no agent issued a ticket", RETRY_AFTER_S)
