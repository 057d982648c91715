"""Whole answers: payloads are numbered, and the end carries their count and digest."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from hibiscustray.exceptions import PeerConnectionLost
from hibiscustray.peers.messages import Data, End


class AnswerDigest:
    """A running digest over the payloads of one answer."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_128()
        self.count = 0

    def add(self, payloads: Iterable[bytes]) -> None:
        """Take in payloads in order."""
        for payload in payloads:
            self._hash.update(len(payload).to_bytes(4, "big"))
            self._hash.update(payload)
            self.count += 1

    def value(self) -> str:
        """Return the digest so far, in hex."""
        return self._hash.hexdigest()


class AnswerReader:
    """Checks the frames of one answer, across attempts that resume it."""

    def __init__(self) -> None:
        self._digest = AnswerDigest()

    @property
    def count(self) -> int:
        """Return the number of payloads received."""
        return self._digest.count

    def accept(self, frame: Data) -> tuple[bytes, ...]:
        """Return the payloads of the next frame; raise `PeerConnectionLost` on a gap."""
        if frame.number != self._digest.count:
            raise PeerConnectionLost(f"payload {frame.number} came, {self._digest.count} expected")
        self._digest.add(frame.payloads)
        return frame.payloads

    def finish(self, frame: End) -> None:
        """Raise `PeerConnectionLost` unless all payloads were received unchanged."""
        if frame.count != self._digest.count or frame.digest != self._digest.value():
            raise PeerConnectionLost(f"answer of {frame.count} payloads is not whole")
