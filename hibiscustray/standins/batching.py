"""Continuous batching in the stand-in engine: steps, prefill, prefix cache and priorities."""

from __future__ import annotations

import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from hibiscustray.standins.tokens import make_token

BLOCK_TOKENS = 16
"""Tokens of a prompt that the prefix cache stores as one block."""
MAX_CACHE_EVENTS = 512
SILENCE_CHECK_INTERVAL_S = 0.02
DEFAULT_PRIORITY = 5


@dataclass(frozen=True)
class EngineTuning:
    """Duration of a step, and limits of the batch and the prefix cache.

    A step takes `step_s`, plus `sequence_s` per running sequence and `prefill_token_s` per
    prefilled token.
    """

    step_s: float = 0.01
    sequence_s: float = 0.0
    prefill_token_s: float = 0.0
    prefill_tokens_per_step: int = 256
    max_batch: int = 16
    cache_blocks: int = 256


@dataclass(frozen=True)
class EngineFaults:
    """Faults that the engine simulates.

    `slowdown` multiplies the duration of every step. A silent engine keeps its connections open
    but runs no steps. A crossed engine responds to each request without streaming as it should
    have responded to the previous one.
    """

    slowdown: float = 1.0
    is_silent: bool = False
    is_crossed: bool = False


@dataclass(frozen=True)
class CacheEvent:
    """A prompt block that was added to the prefix cache or evicted from it."""

    number: int
    block: str
    is_stored: bool


@dataclass
class Sequence:
    """One request in the engine; its queue receives the generated tokens and then None.

    `count` is the number of tokens in the complete response, `position` that of the next token.
    """

    request_id: str
    attempt_id: str
    prompt: str
    count: int
    digest: str
    priority: int = DEFAULT_PRIORITY
    position: int = 0
    prefill_left: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    generated: int = 0
    is_cancelled: bool = False
    tokens: queue.SimpleQueue[str | None] = field(default_factory=queue.SimpleQueue)


class PrefixCache:
    """Caches the blocks of prompts up to a capacity and evicts the least recently used block."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._event_count = 0
        self.events: list[CacheEvent] = []

    @property
    def free_share(self) -> float:
        """Return the free share of the capacity, 0 to 1."""
        return 1.0 - len(self._blocks) / self._capacity

    def add_prompt(self, digest: str, prompt: str) -> tuple[int, int]:
        """Add a prompt; return the number of its tokens and how many of them were cached."""
        words = prompt.split()
        blocks = list(_hash_blocks(digest, words))
        cached_blocks = 0
        for block in blocks:
            if block not in self._blocks:
                break
            cached_blocks += 1
        for block in blocks:
            self._store(block)
        return len(words), cached_blocks * BLOCK_TOKENS

    def _store(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._record_event(block, True)
        if len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, False)

    def _record_event(self, block: str, is_stored: bool) -> None:
        self._event_count += 1
        self.events.append(CacheEvent(self._event_count, block, is_stored))
        del self.events[:-MAX_CACHE_EVENTS]


class Batch:
    """Generates tokens for the running sequences, one step after another, in a thread."""

    def __init__(self, tuning: EngineTuning, on_finish: Callable[[Sequence], None]) -> None:
        self.tuning = tuning
        self.faults = EngineFaults()
        self.cache = PrefixCache(tuning.cache_blocks)
        self._on_finish = on_finish
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="engine", daemon=True)

    @property
    def running(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of sequences that wait for a place in the batch."""
        return len(self._waiting)

    def start(self) -> None:
        """Start the thread that runs the steps."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread that runs the steps and wait for its end."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence for the batch."""
        with self._lock:
            self._waiting.append(sequence)
        self._wake.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._running and not self._waiting:
                self._wake.wait()
                self._wake.clear()
                continue
            if self.faults.is_silent:
                time.sleep(SILENCE_CHECK_INTERVAL_S)
                continue
            self._fill_batch()
            time.sleep(self._prefill() * self.faults.slowdown)
            self._decode()

    def _fill_batch(self) -> None:
        """Move waiting sequences into the batch, lowest priority number first, until it is full."""
        with self._lock:
            self._waiting.sort(key=lambda sequence: sequence.priority)
            while self._waiting and len(self._running) < self.tuning.max_batch:
                sequence = self._waiting.pop(0)
                self._start_prefill(sequence)
                self._running.append(sequence)

    def _start_prefill(self, sequence: Sequence) -> None:
        tokens, cached = self.cache.add_prompt(sequence.digest, sequence.prompt)
        sequence.prompt_tokens = tokens
        sequence.cached_tokens = cached
        sequence.prefill_left = tokens + sequence.position - cached

    def _prefill(self) -> float:
        """Prefill running sequences in order, up to a limit; return the step's duration."""
        budget = self.tuning.prefill_tokens_per_step
        for sequence in self._running:
            prefilled = min(budget, max(0, sequence.prefill_left))
            sequence.prefill_left -= prefilled
            budget -= prefilled
        total_prefilled = self.tuning.prefill_tokens_per_step - budget
        return (
            self.tuning.step_s
            + self.tuning.sequence_s * len(self._running)
            + self.tuning.prefill_token_s * total_prefilled
        )

    def _decode(self) -> None:
        for sequence in list(self._running):
            is_ready = sequence.prefill_left <= 0 and not sequence.is_cancelled
            if is_ready and sequence.position < sequence.count:
                token = make_token(sequence.digest, sequence.prompt, sequence.position)
                sequence.position += 1
                sequence.generated += 1
                sequence.tokens.put(token)
            if sequence.position >= sequence.count or sequence.is_cancelled:
                self._finish(sequence)

    def _finish(self, sequence: Sequence) -> None:
        with self._lock:
            self._running.remove(sequence)
        self._on_finish(sequence)
        sequence.tokens.put(None)


def _hash_blocks(digest: str, words: list[str]):
    """Yield one hash per full block, computed from the weights digest and the prompt so far."""
    hasher = xxhash.xxh3_64(digest.encode())
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        hasher.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        yield hasher.hexdigest()
