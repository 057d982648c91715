"""Tests of the stand-in engine: batches, prefill, prefix cache, priorities and cancellation."""

from __future__ import annotations

from hibiscustray.standins.batching import BLOCK_TOKENS, Batch, EngineTuning, PrefixCache, Sequence

TUNING = EngineTuning(
    step_s=0.02, sequence_s=0.001, prefill_token_s=0.0001, prefill_tokens_per_step=32, max_batch=2
)


def make_sequence(name: str, words: int = 1, count: int = 4, priority: int = 5) -> Sequence:
    """Return a sequence whose prompt repeats its name."""
    prompt = " ".join([name] * words)
    return Sequence(name, name, prompt, count, "digest", priority)


def run_steps(batch: Batch, steps: int) -> list[float]:
    """Run steps without sleeping; return the duration of each step in seconds."""
    seconds = []
    for _ in range(steps):
        batch._fill_batch()
        seconds.append(batch._prefill())
        batch._decode()
    return seconds


def test_step_duration_grows_with_batch_size_and_prefill():
    batch = Batch(TUNING, lambda sequence: None)
    batch.add(make_sequence("a", words=40))
    first, second, third = run_steps(batch, 3)
    assert (round(first, 4), round(second, 4), round(third, 4)) == (0.0242, 0.0218, 0.021)
    batch.add(make_sequence("b"))
    assert run_steps(batch, 1)[0] > third


def test_waiting_sequences_run_in_order_of_priority():
    finished = []
    batch = Batch(TUNING, lambda sequence: finished.append(sequence.request_id))
    for name, priority in (("a", 5), ("b", 5), ("late", 6), ("urgent", 1)):
        batch.add(make_sequence(name, count=2, priority=priority))
    run_steps(batch, 10)
    assert finished[0] == "urgent"
    assert finished[-1] == "late"


def test_a_cancelled_sequence_leaves_the_batch_at_the_next_step():
    finished = []
    batch = Batch(TUNING, finished.append)
    sequence = make_sequence("a", count=100)
    batch.add(sequence)
    run_steps(batch, 3)
    sequence.is_cancelled = True
    run_steps(batch, 1)
    assert (finished, batch.running, sequence.generated) == ([sequence], 0, 3)


def test_a_resumed_sequence_generates_only_the_remaining_tokens():
    batch = Batch(TUNING, lambda sequence: None)
    complete, resumed = make_sequence("a"), make_sequence("a")
    resumed.position = 3
    batch.add(complete)
    batch.add(resumed)
    run_steps(batch, 4)
    tokens = [complete.tokens.get() for _ in range(4)]
    assert resumed.tokens.get() == tokens[3]
    assert resumed.tokens.get() is None


def test_shared_prefixes_are_cached_until_evicted():
    cache = PrefixCache(4)
    shared = " ".join(f"w{index}" for index in range(2 * BLOCK_TOKENS))
    assert cache.add_prompt("d", f"{shared} one") == (33, 0)
    assert cache.add_prompt("d", f"{shared} two") == (33, 2 * BLOCK_TOKENS)
    assert cache.add_prompt("other weights", f"{shared} two") == (33, 0)
    cache.add_prompt("d", " ".join(["x"] * 4 * BLOCK_TOKENS))
    assert cache.add_prompt("d", f"{shared} one") == (33, 0)
    assert [event.number for event in cache.events] == sorted({e.number for e in cache.events})
