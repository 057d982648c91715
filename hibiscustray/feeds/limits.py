"""Limits of calls to the store, by which silent connections are noticed in time."""

from __future__ import annotations

from dataclasses import dataclass, replace

RESERVE_S = 0.5
"""Time to connect again and read what was missed, once a call has failed."""
CALL_MARGIN_S = 1.0
"""Time for a response beyond the requested wait; the store itself takes milliseconds."""
MAX_RESERVE_SHARE, MAX_MARGIN_SHARE = 1 / 6, 1 / 3
"""Largest shares of a short contact time for the reserve and the margin."""
MAX_PAUSE_SHARE = 0.15
"""Largest share of the drain time for which changes of the list of replicas are gathered."""


@dataclass(frozen=True)
class CallLimits:
    """Limits of a process's calls to the store, in seconds.

    `wait_s` is the longest wait of a call for changes, `call_s` the time after which any call
    fails, and `pause_s` the longest pause between calls.
    """

    wait_s: float
    call_s: float
    pause_s: float = float("inf")


def find_call_limits(contact_s: float, longest_wait_s: float) -> CallLimits:
    """Return the limits with which a process knows all changes `contact_s` after a silence began.

    The open connections may go silent at any moment of a call, also as it begins, so the wait and
    the margin together must be shorter than that. Shorter waits cost calls.
    """
    call_s = contact_s - min(RESERVE_S, MAX_RESERVE_SHARE * contact_s)
    margin_s = min(CALL_MARGIN_S, MAX_MARGIN_SHARE * contact_s)
    return CallLimits(min(longest_wait_s, call_s - margin_s), call_s)


def limit_pause(limits: CallLimits, drain_s: float) -> CallLimits:
    """Return the limits with a pause that leaves most of the drain time of a replica.

    A replica that leaves gets no new requests from `drain_s` after its row has changed. The pause
    delays a process's knowledge of it only while calls succeed: no connection is open meanwhile
    that could go silent.
    """
    return replace(limits, pause_s=MAX_PAUSE_SHARE * drain_s)
