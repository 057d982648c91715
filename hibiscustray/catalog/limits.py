"""When outdated weights go out of use, as sums of all that may pass before a request begins.

No request may begin on outdated weights once the bound of a newer version is over. Between the last
check of an entry and the begin at a replica lie a thread of the entry, the network, a replica that
is silent, and its queue. A replica that is silent reads late what was sent to it, and not all
replicas drop a request whose connection is closed meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

REPLICA_SILENCE_S = 1.6
"""Longest silence of a sound replica: what is sent to it is read when the silence ends."""
BEGIN_S = 0.45
"""Time from reading a request to its begin at a replica with an empty queue: a pass in which other
prompts are read, and the one of the request itself."""
SEND_S = 0.1
"""Time from the last check, with the connection open, until the replica has the request: a thread
that waits for the processor, and the network."""
MAX_DATING_ERROR_S = 0.05
"""Longest time by which a version counts as set later than it was, in a process that runs and by a
store that is stable: the shortest time for which one of the responses of the last minute was under
way (`feeds/dating.py`)."""
REJECT_S = 0.1
"""Time in which a replica rejects what is in its queue as its deadline is over, and the entry is
told."""
CLOSE_S = 0.1
"""Time from the check of a running attempt until its replica sees its connection closed: the
interval of the checks, and the network."""

SEND_LEAD_S = REPLICA_SILENCE_S + BEGIN_S + SEND_S + MAX_DATING_ERROR_S
"""Time before the bound from which replicas with outdated weights get no more requests. One that is
read after the longest silence begins in time, even at a replica that ignores closed connections."""
CLOSE_LEAD_S = CLOSE_S + MAX_DATING_ERROR_S
"""Time before the bound at which attempts that have not begun are cancelled."""
WORK_LEAD_S = REJECT_S + CLOSE_LEAD_S
"""Time before the bound at which such a replica has to stop work, by the deadline that it gets with
the request. What is in its queue then is not run, whether or not its connection is closed, and the
entry is told so before it gives the attempt up. A send takes less than that."""


@dataclass(frozen=True)
class VersionLimits:
    """The platform's bound on the time for swapping to new weights, in seconds."""

    version_bound_s: float = 8.0

    @property
    def version_swap_s(self) -> float:
        """Return the age of a target version from which older ones get no more requests."""
        return max(0.0, self.version_bound_s - SEND_LEAD_S)
