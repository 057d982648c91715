"""A simulated engine that runs scheduler passes on its own simulated clock."""

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
class SimulatedRequest:
    """One request at the engine; `first_event_at` is when its first event was sent."""

    arrived_at: float
    prompt_tokens_left: float
    output_tokens_left: float
    first_event_at: float | None = None
    ended_at: float | None = None


@dataclass
class SimulatedEngine:
    """Processes requests in order of arrival, in passes.

    While any request generates output, a pass has `stride` steps. Each step generates one token
    per such request and reads up to `chunk_tokens` prompt tokens in total. A pass without
    output has one step.
    """

    profile: EngineProfile
    clock: float = 0.0
    waiting: list[SimulatedRequest] = field(default_factory=list)
    running: list[SimulatedRequest] = field(default_factory=list)

    @property
    def request_count(self) -> int:
        """Return how many requests wait or run."""
        return len(self.waiting) + len(self.running)

    def submit(self, arrived_at: float, prompt: float, output: float) -> SimulatedRequest:
        """Run the passes that start before a request's arrival, then add the request.

        The arrival must not be earlier than the engine's clock.
        """
        self.advance(arrived_at)
        request = SimulatedRequest(arrived_at, prompt, output)
        self.waiting.append(request)
        return request

    def submit_and_wait(self, arrived_at: float, prompt: float, output: float) -> float:
        """Submit a request and return the seconds until its first event."""
        request = self.submit(arrived_at, prompt, output)
        while request.first_event_at is None:
            self._run_pass()
        return request.first_event_at - arrived_at

    def advance(self, until: float) -> None:
        """Run all passes that start before the given time."""
        while self.clock < until and self.request_count:
            self._run_pass()
        self.clock = max(self.clock, until) if not self.request_count else self.clock

    def _run_pass(self) -> None:
        profile = self.profile
        arrived = [r for r in self.waiting if r.arrived_at <= self.clock]
        for request in arrived[: profile.slots - len(self.running)]:
            self.waiting.remove(request)
            self.running.append(request)
        if not self.running:
            self.clock = min(r.arrived_at for r in self.waiting)
            return
        decoding = [r for r in self.running if r.prompt_tokens_left <= 0]
        budget = profile.chunk_tokens * (profile.stride if decoding else 1)
        tokens_read = 0.0
        for request in self.running:
            tokens = min(request.prompt_tokens_left, budget - tokens_read)
            request.prompt_tokens_left -= tokens
            tokens_read += tokens
        # Every request that generates output is taken to have a context of 1000 tokens.
        per_request = profile.step_per_request_s + profile.step_per_context_token_s * 1000
        step_s = profile.step_s + per_request * len(decoding)
        steps = profile.stride if decoding else 1
        self.clock += steps * step_s + tokens_read / profile.prompt_tokens_per_s
        for request in list(self.running):
            if request.prompt_tokens_left > 0:
                continue
            if request.first_event_at is None:
                request.first_event_at = self.clock
                continue
            request.output_tokens_left -= steps
            if request.output_tokens_left <= 0:
                request.ended_at = self.clock
                self.running.remove(request)
