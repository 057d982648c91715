"""Waits until a replica can be chosen for a request."""

from __future__ import annotations

import time

from hibiscustray.deployments import Service
from hibiscustray.exceptions import CallerLeft, NoReplica
from hibiscustray.requests import CallerRequest
from hibiscustray.routing import Choice, ReplicaChooser

RETRY_INTERVAL_S = 0.1
NO_REPLICA_WAIT_S = 5.0
"""Longest wait for a replica."""


class ReplicaWaiter:
    """Polls the replica chooser until it returns a replica or the wait ends."""

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
        """Return a replica, which must be released; raise `NoReplica` or `CallerLeft`.

        If all replicas are excluded, they are allowed again after a pause. If there is no replica
        for `NO_REPLICA_WAIT_S`, the request is refused without waiting for its deadline.
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
            if request.is_disconnected():
                raise CallerLeft("the caller closed its connection")
            time.sleep(RETRY_INTERVAL_S)
            excluded.clear()

    def release(self, choice: Choice, is_complete: bool) -> None:
        """Release a replica whose attempt has ended."""
        self._chooser.release(choice, is_complete)
