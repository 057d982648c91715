"""Checks that a response is complete: its frames are numbered and carry checksums.

The checksums depend on the request's id, so that a frame of another response is detected.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from hibiscustray.exceptions import PeerConnectionLost
from hibiscustray.peers.messages import Data, End

CHECKSUM_MASK = (1 << 64) - 1


class ResponseDigest:
    """An incremental digest of a request's id and the payloads of its response."""

    def __init__(self, request_id: str) -> None:
        self._hash = xxhash.xxh3_128(request_id.encode())
        self.count = 0

    def add(self, payloads: Iterable[bytes]) -> None:
        """Add payloads in order."""
        for payload in payloads:
            self._hash.update(len(payload).to_bytes(4, "big"))
            self._hash.update(payload)
            self.count += 1

    def copy(self) -> ResponseDigest:
        """Return an independent digest in the same state."""
        other = ResponseDigest("")
        other._hash = self._hash.copy()
        other.count = self.count
        return other

    def checksum(self) -> int:
        """Return the low 64 bits of the digest of what was added so far."""
        return self._hash.intdigest() & CHECKSUM_MASK

    def hexdigest(self) -> str:
        """Return the digest of what was added so far, in hexadecimal."""
        return self._hash.hexdigest()


class ResponseReader:
    """Checks the frames of one request's response, across attempts that resume it."""

    def __init__(self, request_id: str) -> None:
        self._digest = ResponseDigest(request_id)

    @property
    def count(self) -> int:
        """Return the number of payloads received."""
        return self._digest.count

    def accept(self, frame: Data) -> tuple[bytes, ...]:
        """Return the payloads of a frame.

        Raises `PeerConnectionLost` unless it is the next frame of this response.
        """
        if frame.number != self._digest.count:
            raise PeerConnectionLost(
                f"received payload {frame.number}, expected {self._digest.count}"
            )
        digest = self._digest.copy()
        digest.add(frame.payloads)
        if frame.check != digest.checksum():
            raise PeerConnectionLost(f"checksum mismatch at payload {frame.number}")
        self._digest = digest
        return frame.payloads

    def finish(self, frame: End) -> None:
        """Raise `PeerConnectionLost` unless all payloads were received undamaged."""
        if frame.count != self._digest.count or frame.digest != self._digest.hexdigest():
            raise PeerConnectionLost(f"response of {frame.count} payloads is incomplete or damaged")
