"""Continuous batching of an engine's stand-in: steps, prefill, prefix cache and priorities."""

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
CACHE_EVENTS_KEPT = 512
PAUSE_CHECK_S = 0.02
DEFAULT_PRIORITY = 5


@dataclass(frozen=True)
class EngineTuning:
    """How long a step takes, and how much runs and is cached at once."""

    step_s: float = 0.01
    sequence_s: float = 0.0
    prefill_token_s: float = 0.0
    prefill_tokens_per_step: int = 256
    max_batch: int = 16
    cache_blocks: int = 256


@dataclass(frozen=True)
class EngineFaults:
    """What is wrong with the engine now; a silent one keeps its connections and does nothing."""

    slowdown: float = 1.0
    is_silent: bool = False
    is_crossed: bool = False


@dataclass(frozen=True)
class CacheEvent:
    """A prefix block that came into the cache or left it."""

    number: int
    block: str
    is_stored: bool


@dataclass
class Sequence:
    """One request in the engine: tokens go to its queue, None ends it."""

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
    """Prompt blocks in limited memory, least recently used out first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._count = 0
        self.events: list[CacheEvent] = []

    @property
    def free(self) -> float:
        """Return the free share of the memory, 0 to 1."""
        return 1.0 - len(self._blocks) / self._capacity

    def admit(self, digest: str, prompt: str) -> tuple[int, int]:
        """Take a prompt in; return its tokens and how many of them were cached."""
        words = prompt.split()
        blocks = list(_hash_blocks(digest, words))
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            self._store(block)
        return len(words), hits * BLOCK_TOKENS

    def _store(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._note(block, True)
        if len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._note(evicted, False)

    def _note(self, block: str, is_stored: bool) -> None:
        self._count += 1
        self.events.append(CacheEvent(self._count, block, is_stored))
        del self.events[:-CACHE_EVENTS_KEPT]


class Batch:
    """Runs sequences step by step in its own thread."""

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
        """Return the number of sequences that wait for a place."""
        return len(self._waiting)

    def start(self) -> None:
        """Begin to run steps."""
        self._thread.start()

    def stop(self) -> None:
        """End the step thread."""
        self._stopping.set()
        self._wake.set()
        self._thread.join()

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence."""
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
                time.sleep(PAUSE_CHECK_S)
                continue
            self._fill()
            time.sleep(self._prefill() * self.faults.slowdown)
            self._decode()

    def _fill(self) -> None:
        """Give free places to waiting sequences, lowest priority number first."""
        with self._lock:
            self._waiting.sort(key=lambda sequence: sequence.priority)
            while self._waiting and len(self._running) < self.tuning.max_batch:
                sequence = self._waiting.pop(0)
                self._admit(sequence)
                self._running.append(sequence)

    def _admit(self, sequence: Sequence) -> None:
        tokens, cached = self.cache.admit(sequence.digest, sequence.prompt)
        sequence.prompt_tokens = tokens
        sequence.cached_tokens = cached
        sequence.prefill_left = tokens + sequence.position - cached

    def _prefill(self) -> float:
        """Spend this step's prefill tokens in order; return the seconds that the step takes."""
        budget = self.tuning.prefill_tokens_per_step
        for sequence in self._running:
            spent = min(budget, max(0, sequence.prefill_left))
            sequence.prefill_left -= spent
            budget -= spent
        prefilled = self.tuning.prefill_tokens_per_step - budget
        return (
            self.tuning.step_s
            + self.tuning.sequence_s * len(self._running)
            + self.tuning.prefill_token_s * prefilled
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
    """Yield a chained hash per whole block of a prompt."""
    running = xxhash.xxh3_64(digest.encode())
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        running.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        yield running.hexdigest()
