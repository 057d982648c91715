"""Predicts the latency of a batching engine from its published profile.

An engine works in passes. A pass runs `stride` decode steps for the requests that generate tokens
and, in parallel, prefills queued prompts, at most one chunk per step. A request starts once a slot
is free, and its first event is sent with the pass after its prompt has been prefilled.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hibiscustray.catalog import EngineProfile
from hibiscustray.placement.workload import Demand

MEAN_PASS_WAIT = 0.5
"""Share of a pass that a request waits on average, as it arrives at any time during a pass."""


@dataclass(frozen=True)
class EngineEstimate:
    """Predicted seconds: until a slot is free, until the first event, and between events."""

    slot_wait_s: float
    first_event_s: float
    event_gap_s: float


def predict_latency(
    profile: EngineProfile,
    running: float,
    queued_tokens: float,
    demand: Demand,
    slowdown: float = 1.0,
) -> EngineEstimate:
    """Predict the latency of a request at a replica.

    `running` is the number of requests at the replica, `queued_tokens` the number of prompt tokens
    queued before this request, and `slowdown` how many times slower than its profile it runs.
    """
    decoding = min(running, profile.slots)
    pass_s = _pass_time(profile, decoding)
    prefill_s = _prefill_time(profile, queued_tokens) + _prefill_time(profile, demand.prompt_tokens)
    chunk_passes = math.ceil(
        (queued_tokens + demand.prompt_tokens) / (profile.chunk_tokens * profile.stride)
    )
    busy_s = pass_s * max(1, chunk_passes) if running >= 1 else profile.step_s
    wait_s = _slot_wait(profile, running, pass_s)
    first_event_s = wait_s + (MEAN_PASS_WAIT * pass_s if running >= 1 else 0.0) + prefill_s + busy_s
    typical_prefill_s = _prefill_time(profile, profile.typical_prompt_tokens)
    gap_s = pass_s + typical_prefill_s * decoding / max(1.0, _passes_per_request(profile))
    return EngineEstimate(wait_s * slowdown, first_event_s * slowdown, gap_s * slowdown)


def _pass_time(profile: EngineProfile, decoding: float) -> float:
    context = profile.typical_prompt_tokens + profile.typical_output_tokens / 2
    per_request = profile.step_per_request_s + profile.step_per_context_token_s * context
    return profile.stride * (profile.step_s + per_request * decoding)


def _prefill_time(profile: EngineProfile, tokens: float) -> float:
    chunk = min(tokens, profile.chunk_tokens)
    pairs = tokens * chunk / 2 if tokens else 0.0
    return tokens / profile.prompt_tokens_per_s + pairs * profile.pair_s


def _passes_per_request(profile: EngineProfile) -> float:
    return profile.typical_output_tokens / profile.stride


def _slot_wait(profile: EngineProfile, running: float, pass_s: float) -> float:
    """Return the wait for a slot if a full engine completes requests at a constant rate."""
    ahead = running + 1 - profile.slots
    if ahead <= 0:
        return 0.0
    prefill_s = _prefill_time(profile, profile.typical_prompt_tokens)
    # With all slots in use, every slot starts one new request on average while a request runs, so
    # a request takes its own passes plus one typical prefill for each slot.
    residence_s = _passes_per_request(profile) * pass_s + profile.slots * prefill_s
    return ahead * residence_s / profile.slots
