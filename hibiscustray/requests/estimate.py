"""Estimates of the token cost of a request, made before it runs."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256

MAX_OUTPUT_TOKENS = 100_000
"""Largest `max_tokens` that is used; above it the default applies."""

PREFIX_BYTES = 256
"""Length of the hashed prefix; shorter prompts have none."""


@dataclass(frozen=True)
class Estimate:
    """Estimated tokens of a request, and a hash of its prompt's prefix (0 for none)."""

    prompt_tokens: int
    output_tokens: int
    prefix: int = 0

    @property
    def cost(self) -> int:
        """Return the tokens that are charged to the team in fair queueing."""
        return self.prompt_tokens + self.output_tokens


def estimate_chat(body: dict) -> Estimate:
    """Estimate a chat request from its messages and `max_tokens`; invalid fields are ignored."""
    prompt = _join_messages(body.get("messages")).encode()
    max_tokens = body.get("max_tokens")
    is_usable = isinstance(max_tokens, int) and 0 < max_tokens <= MAX_OUTPUT_TOKENS
    output = max_tokens if is_usable else DEFAULT_OUTPUT_TOKENS
    prefix = xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES]) if len(prompt) >= PREFIX_BYTES else 0
    return Estimate(len(prompt) // BYTES_PER_TOKEN, output, prefix)


def estimate_call() -> Estimate:
    """Estimate a call of a plain service; all have the same cost."""
    return Estimate(0, 1)


def _join_messages(messages: object) -> str:
    if not isinstance(messages, list):
        return ""
    contents = (item.get("content") for item in messages if isinstance(item, dict))
    return "".join(content for content in contents if isinstance(content, str))
