"""The guarantee that a replica's silence does not end a request before its deadline.

Quiet replicas are sound: they read, run and send nothing for a while and then go on. A request that
may be at one has to be waited for, whatever else the entry tries meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable

from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.records import MAX_VERSION_AGE_S, SoakOutcome

DEADLINE_MARGIN_S = 0.1
"""Part of a deadline that an entry may keep for sending its own response to the caller."""
FAULT_MARGIN_S = 0.5
"""Time after a fault or before its record in which its effects may still reach an entry."""
STREAM_KIND = "draft"
MAX_ANNOUNCED_S = 1.0
"""Time before the bound on outdated weights from which no stream may begin on these."""
MAX_OUTDATED_S = 1.6 * MAX_VERSION_AGE_S + 1.0
"""Time after a target version was set by which all replicas hold it."""
STOP_SERVES_S = 2.5
"""Time after SIGTERM until which an entry certainly reads requests on open connections."""
STOP_ENDS_S = 7.0
"""Time after SIGTERM until which an entry certainly waits for its requests."""
FAILED_STATUSES = (0, 500, 502, 504)


class QuietCheck:
    """Finds requests that ended without a response although replicas were only quiet.

    Of the logs, `entries` has the disturbances of entries, `links` those of the links to replicas,
    `quiet` the silences of sound replicas, `ends` the ends of replicas, and `faults` their wrong
    responses. `replicas` has the replicas that may run a request, by its kind.
    """

    def __init__(self, entries: DisturbanceLog, links: DisturbanceLog) -> None:
        self.quiet = DisturbanceLog()
        self.ends = DisturbanceLog()
        self.faults = DisturbanceLog()
        self.replicas: dict[str, tuple[int, ...]] = {}
        self._entries = entries
        self._links = links

    def applies_to(
        self, outcome: SoakOutcome, run_replicas: Iterable[int], version_times: Iterable[float]
    ) -> bool:
        """Return whether a request met quiet replicas and nothing that may rightly end it.

        `run_replicas` has the replicas that ran it, and `version_times` the times at which target
        versions were set. A replica that reads nothing leaves no record of what was sent to it, so
        each replica that may run the request counts. A disturbance of the store excuses nothing.
        """
        request, end = outcome.request, outcome.ended_at
        begin = request.sent_at
        replicas = self.replicas.get(request.kind, ())
        if all(self.quiet.is_undisturbed(replica, begin, end) for replica in replicas):
            return False
        since = begin - FAULT_MARGIN_S
        if not all(
            log.is_undisturbed(replica, since, end)
            for log in (self._links, self.ends)
            for replica in replicas
        ):
            return False
        if not all(self.faults.is_undisturbed(replica, since, end) for replica in run_replicas):
            return False
        if not self._entries.is_process_undisturbed(request.entry, since, end):
            return False
        stop_at = self._entries.find_graceful_stop(request.entry, begin, end)
        if stop_at is not None:
            is_unread = outcome.status == 0 and begin > stop_at + STOP_SERVES_S
            if is_unread or end > stop_at + STOP_ENDS_S:
                return False
        if request.kind != STREAM_KIND or outcome.status == 200:
            return True
        # A stream that has not begun must not begin on outdated weights.
        return not any(_may_be_outdated(set_at, begin, end) for set_at in version_times)


def is_unanswered(outcome: SoakOutcome) -> bool:
    """Return whether a request ended before its deadline without a whole response."""
    request = outcome.request
    if outcome.ended_at - request.sent_at >= request.deadline_s - DEADLINE_MARGIN_S:
        return False
    if outcome.status in FAILED_STATUSES:
        return not outcome.is_sealed
    return 200 <= outcome.status < 300 and not outcome.is_ended


def _may_be_outdated(set_at: float, begin: float, end: float) -> bool:
    bound_at = set_at + MAX_VERSION_AGE_S - MAX_ANNOUNCED_S
    return begin <= set_at + MAX_OUTDATED_S and end >= bound_at
