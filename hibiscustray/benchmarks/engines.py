"""A simulated engine that works in passes, on a clock of its own."""

from __future__ import annotations

from dataclasses import dataclass, field

from hibiscustray.catalog import EngineProfile

PROFILE = EngineProfile(
    slots=16,
    step_s=0.00887,
    step_per_request_s=0.0000388,
    step_per_context_token_s=0.0227e-6,
    prompt_tokens_per_s=19100.0,
    pair_s=1.47e-9,
    chunk_tokens=2048,
    stride=5,
    report_lag_s=0.2,
    typical_prompt_tokens=977.0,
    typical_output_tokens=94.0,
    cache_tokens=1180000,
    layers=16,
    models=("m",),
)


@dataclass(eq=False)
class Work:
    """One request at the engine; `first_at` is when its first event came."""

    arrived_at: float
    unread: float
    unwritten: float
    first_at: float | None = None
    ended_at: float | None = None


@dataclass
class SimulatedEngine:
    """Requests in order of arrival; each pass reads a chunk a step and writes `stride` tokens."""

    profile: EngineProfile
    clock: float = 0.0
    waiting: list[Work] = field(default_factory=list)
    running: list[Work] = field(default_factory=list)

    @property
    def count(self) -> int:
        """Return the requests at the engine."""
        return len(self.waiting) + len(self.running)

    def submit(self, at: float, prompt: float, output: float) -> Work:
        """Add a request at a time that is not before the engine's clock."""
        self.advance(at)
        work = Work(at, prompt, output)
        self.waiting.append(work)
        return work

    def submit_and_wait(self, at: float, prompt: float, output: float) -> float:
        """Return the seconds until the first event of a request."""
        work = self.submit(at, prompt, output)
        while work.first_at is None:
            self._run_pass()
        return work.first_at - at

    def advance(self, until: float) -> None:
        """Run passes that begin before a time."""
        while self.clock < until and self.count:
            self._run_pass()
        self.clock = max(self.clock, until) if not self.count else self.clock

    def _run_pass(self) -> None:
        profile = self.profile
        arrived = [w for w in self.waiting if w.arrived_at <= self.clock]
        for work in arrived[: profile.slots - len(self.running)]:
            self.waiting.remove(work)
            self.running.append(work)
        if not self.running:
            self.clock = min(w.arrived_at for w in self.waiting)
            return
        writing = [w for w in self.running if w.unread <= 0]
        budget = profile.chunk_tokens * (profile.stride if writing else 1)
        read = 0.0
        for work in self.running:
            taken = min(work.unread, budget - read)
            work.unread -= taken
            read += taken
        per_request = profile.step_per_request_s + profile.step_per_context_token_s * 1000
        step_s = profile.step_s + per_request * len(writing)
        steps = profile.stride if writing else 1
        self.clock += steps * step_s + read / profile.prompt_tokens_per_s
        for work in list(self.running):
            if work.unread > 0:
                continue
            if work.first_at is None:
                work.first_at = self.clock
                continue
            work.unwritten -= steps
            if work.unwritten <= 0:
                work.ended_at = self.clock
                self.running.remove(work)
