"""Whole answers: payloads are numbered, and each frame carries a digest bound to the request."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from hibiscustray.exceptions import PeerConnectionLost
from hibiscustray.peers.messages import Data, End

CHECKSUM_MASK = (1 << 64) - 1


class ResponseDigest:
    """A running digest over a request's id and the payloads of its answer."""

    def __init__(self, request_id: str) -> None:
        self._hash = xxhash.xxh3_128(request_id.encode())
        self.count = 0

    def add(self, payloads: Iterable[bytes]) -> None:
        """Take in payloads in order."""
        for payload in payloads:
            self._hash.update(len(payload).to_bytes(4, "big"))
            self._hash.update(payload)
            self.count += 1

    def copy(self) -> ResponseDigest:
        """Return an independent digest with the same content."""
        other = ResponseDigest("")
        other._hash = self._hash.copy()
        other.count = self.count
        return other

    def checksum(self) -> int:
        """Return a short form of the digest so far."""
        return self._hash.intdigest() & CHECKSUM_MASK

    def hexdigest(self) -> str:
        """Return the digest so far, in hex."""
        return self._hash.hexdigest()


class ResponseReader:
    """Checks the frames of one request's answer, across attempts that resume it."""

    def __init__(self, request_id: str) -> None:
        self._digest = ResponseDigest(request_id)

    @property
    def count(self) -> int:
        """Return the number of payloads received."""
        return self._digest.count

    def accept(self, frame: Data) -> tuple[bytes, ...]:
        """Return the payloads of the next frame; raise `PeerConnectionLost` on any other."""
        if frame.number != self._digest.count:
            raise PeerConnectionLost(f"payload {frame.number} came, {self._digest.count} expected")
        digest = self._digest.copy()
        digest.add(frame.payloads)
        if frame.check != digest.checksum():
            raise PeerConnectionLost(f"payload {frame.number} is not of this answer")
        self._digest = digest
        return frame.payloads

    def finish(self, frame: End) -> None:
        """Raise `PeerConnectionLost` unless all payloads were received unchanged."""
        if frame.count != self._digest.count or frame.digest != self._digest.hexdigest():
            raise PeerConnectionLost(f"answer of {frame.count} payloads is not whole")
