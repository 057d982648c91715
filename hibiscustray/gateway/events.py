"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

from collections.abc import Iterator

from hibiscustray.exceptions import ResponseInvalid

EVENT_DELIMITER = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_B = 256 * 1024
"""Longest event; one of each running stream may be buffered."""


class EventSplitter:
    """Buffers bytes and yields complete events, so that a truncated stream ends between events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def add(self, block: bytes) -> Iterator[bytes]:
        """Append bytes and yield the events that are now complete."""
        # What was searched before has no delimiter, except that its last byte may begin one.
        start = max(0, len(self._buffer) - len(EVENT_DELIMITER) + 1)
        self._buffer += block
        while (end := self._buffer.find(EVENT_DELIMITER, start)) >= 0:
            event = bytes(self._buffer[: end + len(EVENT_DELIMITER)])
            del self._buffer[: end + len(EVENT_DELIMITER)]
            start = 0
            yield event
        if len(self._buffer) > MAX_EVENT_B:
            raise ResponseInvalid(f"an event exceeds {MAX_EVENT_B} bytes")


def read_event_id(event: bytes) -> str:
    """Return the id of an event, empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
