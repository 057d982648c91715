"""A streamed body with a callback at its end."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator


class TrackedBody:
    """Iterates over blocks and calls a function once when they end, fail or are closed early."""

    def __init__(self, blocks: Iterator[bytes], on_end: Callable[[], None]) -> None:
        self._blocks = blocks
        self._on_end = on_end
        self._lock = threading.Lock()
        self._is_ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next block."""
        try:
            return next(self._blocks)
        except BaseException:
            self._end()
            raise

    def close(self) -> None:
        """Close the iterator of blocks, even if none has been read."""
        try:
            self._blocks.close()
        finally:
            self._end()

    def _end(self) -> None:
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
        self._on_end()
