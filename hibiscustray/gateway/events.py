"""Splitting of a server-sent event stream into whole events."""

from __future__ import annotations

from collections.abc import Iterator

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
LARGEST_EVENT_B = 1 << 20


class EventSplitter:
    """Collects bytes and gives out whole events, so that a cut stream ends between two events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_rest(self) -> bool:
        """Tell whether an event is incomplete."""
        return bool(self._buffer.strip())

    def add(self, block: bytes) -> Iterator[bytes]:
        """Yield the events that are whole with these bytes."""
        self._buffer += block
        while (end := self._buffer.find(EVENT_END)) >= 0:
            event = bytes(self._buffer[: end + len(EVENT_END)])
            del self._buffer[: end + len(EVENT_END)]
            yield event
        if len(self._buffer) > LARGEST_EVENT_B:
            raise ValueError(f"an event is over {LARGEST_EVENT_B} bytes")


def read_event_id(event: bytes) -> str:
    """Return the id that an event carries, empty if none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
