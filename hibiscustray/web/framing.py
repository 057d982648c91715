"""How an HTTP/1.1 response marks the end of its body."""

from __future__ import annotations

from enum import StrEnum


class Framing(StrEnum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Only the end of the connection: a body that ends early looks like a whole one."""

    @property
    def is_delimited(self) -> bool:
        """Return whether a body that ends early can be told from a whole one."""
        return self is not Framing.CONNECTION
