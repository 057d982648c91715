"""A model of a batching engine from its published figures.

An engine works in passes. A pass runs `stride` token steps for the requests that write and reads
queued prompts beside them, at most one chunk a step. A request starts once a slot is free, and its
first event comes with the pass after its prompt is read.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hibiscustray.catalog import EngineProfile
from hibiscustray.placement.workload import Demand

HALF_PASS = 0.5
"""A request arrives in the middle of a pass on average."""


@dataclass(frozen=True)
class EngineEstimate:
    """Predicted seconds: until a slot is free, until the first event, and between events."""

    slot_wait_s: float
    first_event_s: float
    event_gap_s: float


def predict_latency(
    profile: EngineProfile, running: float, unread_tokens: float, demand: Demand, pace: float = 1.0
) -> EngineEstimate:
    """Predict a request's times at a replica.

    `running` counts the requests there, `unread_tokens` the prompt tokens queued before this one;
    `pace` is how many times slower than published the replica works.
    """
    writing = min(running, profile.slots)
    pass_s = _pass_time(profile, writing)
    read_s = _read_time(profile, unread_tokens) + _read_time(profile, demand.prompt_tokens)
    chunk_passes = math.ceil(
        (unread_tokens + demand.prompt_tokens) / (profile.chunk_tokens * profile.stride)
    )
    busy_s = pass_s * max(1, chunk_passes) if running >= 1 else profile.step_s
    wait_s = _slot_wait(profile, running, pass_s)
    first_s = wait_s + (HALF_PASS * pass_s if running >= 1 else 0.0) + read_s + busy_s
    typical_read_s = _read_time(profile, profile.typical_prompt_tokens)
    gap_s = pass_s + typical_read_s * writing / max(1.0, _passes_per_request(profile))
    return EngineEstimate(wait_s * pace, first_s * pace, gap_s * pace)


def _pass_time(profile: EngineProfile, writing: float) -> float:
    context = profile.typical_prompt_tokens + profile.typical_output_tokens / 2
    per_request = profile.step_per_request_s + profile.step_per_context_token_s * context
    return profile.stride * (profile.step_s + per_request * writing)


def _read_time(profile: EngineProfile, tokens: float) -> float:
    chunk = min(tokens, profile.chunk_tokens)
    pairs = tokens * chunk / 2 if tokens else 0.0
    return tokens / profile.prompt_tokens_per_s + pairs * profile.pair_s


def _passes_per_request(profile: EngineProfile) -> float:
    return profile.typical_output_tokens / profile.stride


def _slot_wait(profile: EngineProfile, running: float, pass_s: float) -> float:
    """Return the wait for a slot: a full engine ends requests at an even rate."""
    ahead = running + 1 - profile.slots
    if ahead <= 0:
        return 0.0
    read_s = _read_time(profile, profile.typical_prompt_tokens)
    # With every slot writing, each request costs its own passes and the reading of one prompt
    # for each request that takes its place.
    residence_s = _passes_per_request(profile) * pass_s + profile.slots * read_s
    return ahead * residence_s / profile.slots
