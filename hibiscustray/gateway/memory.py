"""Bounds the memory that buffered responses of replicas occupy."""

from __future__ import annotations

import mmap
import threading

from hibiscustray.entry.watchdog import Watch
from hibiscustray.exceptions import ResponseInvalid, UpstreamConnectionLost
from hibiscustray.gateway.interface import ReplicaResponse

MAX_RESPONSE_B = 4 * 1024 * 1024
"""Longest response that is buffered, the default limit of callers' bodies."""
MAX_TOTAL_B = 16 * 1024 * 1024
"""Bytes of all responses that are being read at the same time."""
WAIT_INTERVAL_S = 0.05
"""Interval at which a response that waits for memory asks whether its attempt was cancelled."""
MAX_HEAP_B = 64 * 1024
"""Bytes of a response that are buffered on the heap. Freed heap memory stays with the arena of its
thread, so that long responses read by many threads would add up."""


class ResponseMemory:
    """Reads whole responses within limits for each and for all together; thread-safe.

    While their memory is used up, responses wait until others end.
    """

    def __init__(self) -> None:
        self._left_b = MAX_TOTAL_B
        self._readers = 0
        self._waiting = 0
        self._changed = threading.Condition()

    def read(self, response: ReplicaResponse, watch: Watch) -> bytes:
        """Return the rest of a body.

        Raises `ResponseInvalid` if it is too long or all responses wait for memory, or
        `UpstreamConnectionLost` if it is truncated or the watch has cancelled the attempt.
        """
        with _Buffer() as buffer:
            self._change_readers(1)
            try:
                while block := response.read_block():
                    if watch.is_cancelled():
                        raise UpstreamConnectionLost("the attempt was cancelled")
                    watch.record_activity()
                    if buffer.size_b + len(block) > MAX_RESPONSE_B:
                        raise ResponseInvalid(f"the response exceeds {MAX_RESPONSE_B} bytes")
                    self._reserve(len(block), watch)
                    buffer.add(block)
                return buffer.copy()
            finally:
                self._change_readers(-1, buffer.size_b)

    def _reserve(self, size_b: int, watch: Watch) -> None:
        with self._changed:
            if size_b > self._left_b:
                self._wait(size_b, watch)
            self._left_b -= size_b

    def _wait(self, size_b: int, watch: Watch) -> None:
        self._waiting += 1
        # The replica is not silent while its response is not read.
        watch.pause()
        try:
            while size_b > self._left_b:
                if self._waiting == self._readers:
                    raise ResponseInvalid("the responses being read exceed their memory")
                if watch.is_cancelled():
                    raise UpstreamConnectionLost("the attempt was cancelled")
                self._changed.wait(WAIT_INTERVAL_S)
        finally:
            self._waiting -= 1
            watch.resume()

    def _change_readers(self, change: int, released_b: int = 0) -> None:
        with self._changed:
            self._readers += change
            self._left_b += released_b
            self._changed.notify_all()


class _Buffer:
    """Collects bytes, on the heap while they are few and otherwise in pages of its own."""

    def __init__(self) -> None:
        self.size_b = 0
        self._heap = bytearray()
        self._pages: mmap.mmap | None = None

    def __enter__(self) -> _Buffer:
        return self

    def __exit__(self, *_: object) -> None:
        if self._pages is not None:
            self._pages.close()

    def add(self, block: bytes) -> None:
        """Append bytes; the caller keeps the total within `MAX_RESPONSE_B`."""
        self.size_b += len(block)
        if self._pages is None and self.size_b <= MAX_HEAP_B:
            self._heap += block
            return
        if self._pages is None:
            # Pages that are never written take no memory.
            self._pages = mmap.mmap(-1, MAX_RESPONSE_B, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
            self._pages.write(self._heap)
            self._heap.clear()
        self._pages.write(block)

    def copy(self) -> bytes:
        """Return all bytes."""
        return bytes(self._heap) if self._pages is None else self._pages[: self.size_b]
