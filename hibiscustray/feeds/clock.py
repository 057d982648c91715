"""Conversion of the store's clock to the clock of this machine."""

from __future__ import annotations

WINDOW_S = 60.0
"""Age at which a measured offset is replaced, since clocks drift."""
UNKNOWN = float("-inf")


class StoreClock:
    """Finds when the store sent a response that may have been read late.

    The store's clock is ahead of this machine's by at least the difference at the time of reading a
    response, and by exactly that if the response was read at once. The largest difference of the
    last one to two windows therefore is the offset of the clocks.
    """

    def __init__(self) -> None:
        self._offset_s = UNKNOWN
        self._previous_offset_s = UNKNOWN
        self._window_started_at = UNKNOWN

    def locate(self, store_time_s: float, called_at: float, read_at: float) -> float:
        """Return the time on this machine's clock at which the store sent a response.

        It lies between `called_at`, before the call was sent, and `read_at`, even if the store's
        clock jumps. `store_time_s` is the store's time in the response, 0 if there was none. All
        times are in seconds.
        """
        if not store_time_s:
            return read_at
        min_offset_s, max_offset_s = store_time_s - read_at, store_time_s - called_at
        if read_at - self._window_started_at > WINDOW_S:
            self._previous_offset_s, self._offset_s = self._offset_s, UNKNOWN
            self._window_started_at = read_at
        if max(self._offset_s, self._previous_offset_s) > max_offset_s:
            # The store's clock was set back.
            self._offset_s = self._previous_offset_s = UNKNOWN
        self._offset_s = max(self._offset_s, min_offset_s)
        return store_time_s - max(self._offset_s, self._previous_offset_s)
