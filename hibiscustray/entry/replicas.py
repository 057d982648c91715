"""Picks replicas for a request, waiting for one while there is none."""

from __future__ import annotations

import time

from hibiscustray.deployments import Service
from hibiscustray.exceptions import CallerLeft, NoReplica
from hibiscustray.requests import CallerRequest
from hibiscustray.routing import Choice, ReplicaChooser

RETRY_INTERVAL_S = 0.1
NO_REPLICA_WAIT_S = 5.0


class ReplicaWaiter:
    """Asks the chooser until it has a replica or the wait is over."""

    def __init__(self, chooser: ReplicaChooser) -> None:
        self._chooser = chooser

    def wait_for_replica(
        self,
        request: CallerRequest,
        service: Service,
        excluded: set[str],
        digest: str,
        wait_until: float,
    ) -> Choice:
        """Return a replica, to be released; raise `NoReplica` or `CallerLeft`.

        When all replicas are excluded, they are taken back in after a pause. A service that has
        none for a while is refused at once rather than at the deadline.
        """
        wait_until = min(wait_until, time.monotonic() + NO_REPLICA_WAIT_S)
        while True:
            try:
                return self._chooser.choose(
                    service, excluded, digest, request.estimate, request.is_stream
                )
            except NoReplica:
                if time.monotonic() + RETRY_INTERVAL_S >= wait_until:
                    raise
            if request.is_abandoned():
                raise CallerLeft("the caller closed its connection")
            time.sleep(RETRY_INTERVAL_S)
            excluded.clear()

    def release(self, choice: Choice, is_answered: bool) -> None:
        """Note that the attempt at a replica has ended."""
        self._chooser.release(choice, is_answered)
