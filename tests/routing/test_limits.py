"""Concurrency limits and retry budgets stay within their bounds for any input."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.routing.budget import RetryBudget
from hibiscustray.routing.concurrency import (
    COOLDOWN_S,
    DECREASE_FACTOR,
    MAX_LIMIT,
    MIN_LIMIT,
    ConcurrencyLimit,
)

SAMPLES = st.lists(
    st.tuples(
        st.floats(0.001, 60.0),
        st.integers(1, 200),
        st.one_of(st.none(), st.floats(0.001, 60.0)),
        st.integers(0, 300),
        st.integers(0, 50),
    ),
    max_size=200,
)


@given(samples=SAMPLES)
def test_limit_stays_in_bounds_and_falls_once_per_cooldown(samples):
    limit, now = ConcurrencyLimit(), 0.0
    for response_s, expected_tokens, first_payload_s, outstanding, waiting in samples:
        now += COOLDOWN_S / 10
        before = limit._limit
        limit.record_response(response_s, expected_tokens, first_payload_s, outstanding, now)
        limit.record_queue_length(waiting, now)
        assert MIN_LIMIT <= limit.value <= MAX_LIMIT
        assert limit._limit >= before * DECREASE_FACTOR or limit._limit == MIN_LIMIT


def test_limit_converges_to_batch_size_of_upstream():
    batch, limit, now = 12, ConcurrencyLimit(), 0.0
    for _ in range(2000):
        now += 0.05
        outstanding = limit.value
        limit.record_queue_length(max(0, outstanding - batch), now)
        limit.record_response(1.0, 32, None, outstanding, now)
    assert batch <= limit.value <= 1.5 * batch


def test_limit_falls_on_slow_first_payloads_without_queue_report():
    limit = ConcurrencyLimit(16.0)
    limit.record_response(1.0, 32, 0.1, 16, 0.0)
    for step in range(20):
        limit.record_response(3.0, 32, 1.0, 16, 1.0 + step)
    assert limit.value <= 4


@given(steps=st.lists(st.booleans(), max_size=300))
def test_retries_never_exceed_capacity_and_share(steps):
    share, capacity = 0.2, 5.0
    budget = RetryBudget(share, capacity)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.deposit()
            requests += 1
        else:
            retries += budget.withdraw()
        assert retries <= capacity + share * requests
