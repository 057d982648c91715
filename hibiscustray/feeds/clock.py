"""Conversion of the store's clock to the clock of this machine."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_S = 60.0
"""Age at which a measured offset is replaced, since clocks drift."""
TOLERANCE_S = 0.05
"""Difference between the clocks that is due to rounding and drift, not to a clock that was set."""
UNKNOWN = float("-inf")


@dataclass(frozen=True)
class ResponseTimes:
    """The times of one response in seconds.

    `store_time_s` is the store's time when it sent the response, 0 if the response has none.
    `called_at`, before the call was sent, and `read_at` are times of `read_clock`.
    """

    store_time_s: float
    called_at: float
    read_at: float


class StoreClock:
    """Finds when the store sent a response that may have been read late.

    The store's clock is ahead of this machine's by at least the difference at the time of reading a
    response: a response that lay unread makes the difference smaller, never larger. The largest
    difference of the last one to two windows is taken as the offset of the clocks. A clock that was
    set or replaced has a new offset; what was sent before is located by the old one.
    """

    def __init__(self) -> None:
        self._offset_s = UNKNOWN
        self._previous_offset_s = UNKNOWN
        self._replaced_offset_s = UNKNOWN
        self._replaced_at = UNKNOWN
        self._window_started_at = UNKNOWN
        self._last: ResponseTimes | None = None

    def record(self, times: ResponseTimes) -> bool:
        """Update the offset with the times of a response.

        Returns whether other responses confirm the offset. Otherwise this one may have been read
        late without a sign of it.
        """
        if not times.store_time_s:
            return False
        if times.read_at - self._window_started_at > WINDOW_S:
            self._previous_offset_s, self._offset_s = self._offset_s, UNKNOWN
            self._window_started_at = times.read_at
        min_offset_s = times.store_time_s - times.read_at
        # The store sent the response after the call.
        max_offset_s = times.store_time_s - times.called_at + TOLERANCE_S
        if self._find_offset() > max_offset_s or self._is_ahead(min_offset_s):
            self.replace(times.called_at)
        known_offset_s = self._find_offset()
        self._offset_s = max(self._offset_s, min_offset_s)
        self._last = times
        return min_offset_s <= known_offset_s + TOLERANCE_S

    def replace(self, now: float) -> None:
        """Forget the offset for responses to calls from now on."""
        self._replaced_offset_s, self._replaced_at = self._find_offset(), now
        self._offset_s = self._previous_offset_s = UNKNOWN
        self._last = None

    def locate(self, times: ResponseTimes) -> float:
        """Return the time of `read_clock` at which the store sent a recorded response.

        It lies between the call and the reading, even if the store's clock jumps.
        """
        if not times.store_time_s:
            return times.read_at
        is_replaced = times.called_at < self._replaced_at
        offset_s = self._replaced_offset_s if is_replaced else self._find_offset()
        responded_at = times.store_time_s - offset_s
        return min(times.read_at, max(times.called_at, responded_at))

    def _find_offset(self) -> float:
        return max(self._offset_s, self._previous_offset_s)

    def _is_ahead(self, min_offset_s: float) -> bool:
        """Return whether the store's clock was set ahead since the last response."""
        last = self._last
        if last is None:
            return False
        return min_offset_s > last.store_time_s - last.called_at + TOLERANCE_S
