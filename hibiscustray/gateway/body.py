"""A streamed body that reports its end."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator


class EndedBody:
    """Calls a function once when its blocks have ended, failed or been closed early."""

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
        """Close the blocks, also if none was read."""
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
