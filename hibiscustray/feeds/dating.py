"""When a change may have been made at the earliest, by the times of calls and responses."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CALL_DELAY_S = 0.8
"""Longest time, in seconds, for which a call of a process that runs is under way to a store that is
stable. A later one may look like one that has waited; a change then counts as made later than it
was, by that time and that of the gap before the call, at most `MAX_CALL_GAP_S`."""
MAX_RESPONSE_S = 0.25
"""Longest time, in seconds, in which a slow store responds to a call that need not wait, or to one
whose wait is over."""
MAX_CALL_GAP_S = 0.5
"""Longest time, in seconds, between a response and the next call of a process that runs."""


@dataclass(frozen=True)
class DatingLimits:
    """Limits, in seconds, by which a call counts as one that has waited for a change.

    A call that the store reads later than `call_delay_s` after it was sent looks like one that
    waited. One that takes longer than its wait and `response_s` was late on its way, too. If a call
    is sent later than `call_gap_s` after the response before, as after a pause or a connection over
    a congested link, a change may be much older than the call.
    """

    call_delay_s: float
    call_gap_s: float
    response_s: float

    def has_waited(self, wait_s: float, gap_s: float, call_s: float) -> bool:
        """Return whether a change was made while the store held a call.

        `wait_s` is how long the call was allowed to wait, `gap_s` the time from the response before
        to the call, and `call_s` that from the call to its response.
        """
        # A call that was not allowed to wait has not waited, however slow the store was.
        is_in_wait = self.call_delay_s < call_s <= wait_s + self.response_s
        return self.call_delay_s < wait_s and is_in_wait and gap_s <= self.call_gap_s


EARLIEST = DatingLimits(MAX_CALL_DELAY_S, MAX_CALL_GAP_S, MAX_RESPONSE_S)
"""For changes that must not count as made later than they were."""
LIKELY = DatingLimits(MAX_RESPONSE_S, float("inf"), float("inf"))
"""For changes whose time is an estimate; no call is made to find it."""
