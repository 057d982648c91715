"""Text that the stand-in engine generates, derived from weights, prompt and position."""

from __future__ import annotations

import xxhash


def make_token(digest: str, prompt: str, position: int) -> str:
    """Return one token, from which a test can check the weights and the prompt that were used."""
    return xxhash.xxh32_hexdigest(f"{digest}/{prompt}/{position}".encode()) + " "


def make_text(digest: str, prompt: str, count: int) -> str:
    """Return the complete text of a response."""
    return "".join(make_token(digest, prompt, position) for position in range(count))
