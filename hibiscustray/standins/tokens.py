"""The text that an engine's stand-in generates: a function of weights, prompt and position."""

from __future__ import annotations

import xxhash


def make_token(digest: str, prompt: str, position: int) -> str:
    """Return one token, which proves the weights and the prompt that it came from."""
    return xxhash.xxh32_hexdigest(f"{digest}/{prompt}/{position}".encode()) + " "


def make_text(digest: str, prompt: str, count: int) -> str:
    """Return a whole answer."""
    return "".join(make_token(digest, prompt, position) for position in range(count))
