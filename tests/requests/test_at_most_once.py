"""Keyed requests run at most once, whatever the order of failures.

A state machine interleaves the steps of attempts with agent deaths, lost connections and store
faults. The ledger, tickets, claims, start check of the upstream call and the entry's handling of
outcomes are the production code.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hibiscustray.agent.keyed import KeyedRequests
from hibiscustray.agent.upstream_call import NotStarted, UpstreamCall
from hibiscustray.entry.attempt import AttemptLost, AttemptNotRun, AttemptRedirected, Binding
from hibiscustray.entry.keyed import KeyedRequestContext
from hibiscustray.exceptions import NoReplica, NotRun, OutcomeUnknown, PlatformError
from hibiscustray.peers import AttemptRequest, MemberRecord
from hibiscustray.requests import (
    CallerRequest,
    ClaimedElsewhere,
    ClaimStore,
    InProgress,
    Ledger,
    NewKey,
    RecordedResponse,
    TicketIssuer,
    Uncertain,
    is_ticket,
    read_ticket,
)
from tests.requests.tables import FakeTable

NAMES = ("a", "b", "c")
FAR_DEADLINE_S = 1e12
END_STEPS = ("ended",)
indices = st.integers(0, 1000)


class QueuedWrites:
    """Replaces the outcome writer; the state machine decides when a write is made."""

    def __init__(self, claims):
        self.claims = claims
        self.waiting = []

    def put(self, claim, outcome):
        self.waiting.append((claim, outcome))

    def release(self, claim):
        self.waiting.append((claim, None))
        self.write()

    def write(self):
        if not self.waiting:
            return
        claim, outcome = self.waiting[0]
        try:
            if outcome is None:
                self.claims.release(claim, claim.body.nonce + "r")
            else:
                self.claims.record_outcome(claim, outcome, claim.body.nonce + "s")
        except PlatformError:
            return
        self.waiting.pop(0)


class Agent:
    """One incarnation of an agent."""

    def __init__(self, name, incarnation, table, clock):
        self.name, self.incarnation = name, incarnation
        self.is_dead = False
        claims = ClaimStore(table, name, incarnation, clock)
        self.writes = QueuedWrites(claims)
        self.tickets = TicketIssuer(name, incarnation, clock)
        self.keyed = KeyedRequests(Ledger(clock), self.tickets, claims, self.writes)


@dataclass
class SentRequest:
    """One request of a caller at an entry; `result` is what the caller received."""

    context: KeyedRequestContext
    reference: str
    result: Exception | RecordedResponse | None = None


@dataclass
class Attempt:
    """One attempt at an agent; it may be delayed between any two steps."""

    sent_request: SentRequest
    agent: Agent
    owner: MemberRecord | None
    keyed: object = None
    call: UpstreamCall | None = None
    step: str = "sent"
    runs: int = 0
    finish: object = field(default=None, repr=False)


def make_member(agent):
    return MemberRecord(
        agent.name, "agent", "akl", "akl-a", "", "", agent.incarnation, service="booking"
    )


class KeyedMachine(RuleBasedStateMachine):
    """Checks that keys run at most once, refusals are correct and repeats get one response."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = FakeTable()
        self.agents = {name: Agent(name, 1, self.table, lambda: self.now) for name in NAMES}
        self.keys = ["k1", "k2"]
        self.runs = Counter()
        self.responses = {}
        self.sent = Counter()
        self.all_requests = []
        self.all_attempts = []

    @rule(name=st.sampled_from(NAMES))
    @precondition(lambda self: len(self.keys) < 4)
    def issue_ticket(self, name):
        self.keys.append(self.agents[name].keyed.issue("hosts", "booking"))

    @rule(index=indices, name=st.sampled_from(NAMES), steps=st.integers(0, 4))
    def send(self, index, name, steps):
        key = self.keys[index % len(self.keys)]
        is_first = self.sent[key] == 0
        self.sent[key] += 1
        request = CallerRequest(
            id=f"r{sum(self.sent.values())}",
            team="hosts",
            service="booking",
            path="/",
            body=key.encode(),
            deadline=FAR_DEADLINE_S,
            is_idempotent=False,
            is_stream=False,
            key=key,
            is_first=is_first,
        )
        ticket = read_ticket(key) if is_ticket(key) else None
        binding = Binding(ticket.agent, ticket.incarnation) if ticket else None
        sent_request = SentRequest(KeyedRequestContext(request, binding), key)
        self.all_requests.append(sent_request)
        self.attempt(sent_request, name, steps)

    @rule(index=indices, name=st.sampled_from(NAMES), steps=st.integers(0, 4))
    @precondition(lambda self: self.idle_requests())
    def retry(self, index, name, steps):
        idle = self.idle_requests()
        self.attempt(idle[index % len(idle)], name, steps)

    @rule(index=indices)
    @precondition(lambda self: self.idle_requests())
    def finish_request(self, index):
        idle = self.idle_requests()
        sent_request = idle[index % len(idle)]
        sent_request.result = sent_request.context.make_error()

    def idle_requests(self):
        return [s for s in self.all_requests if s.result is None and not self.has_open_attempt(s)]

    def attempt(self, sent_request, name, steps):
        agent, owner = self.agents[name], None
        binding = sent_request.context.binding
        if binding is not None and not sent_request.context.is_owner_gone:
            agent = self.agents[binding.agent]
            if agent.incarnation == binding.incarnation:
                owner = make_member(agent)
            else:
                sent_request.context.is_owner_gone = True
        sent_request.context.member = make_member(agent)
        attempt = Attempt(sent_request, agent, owner)
        self.all_attempts.append(attempt)
        for _ in range(steps):
            self.step(attempt, True)

    def live_attempts(self):
        return [a for a in self.all_attempts if a.step not in END_STEPS and not a.agent.is_dead]

    @rule(index=indices, is_complete=st.booleans(), steps=st.integers(1, 3))
    @precondition(lambda self: self.live_attempts())
    def advance(self, index, is_complete, steps):
        """Run the next steps of an attempt, even if its entry no longer waits for it."""
        live = self.live_attempts()
        for _ in range(steps):
            self.step(live[index % len(live)], is_complete)

    def step(self, attempt, is_complete):
        match attempt.step.removesuffix("-lost"):
            case "sent" | "waiting":
                self.begin(attempt)
            case "accepted":
                self.prepare(attempt)
            case "prepared":
                self.start(attempt)
            case "started":
                self.finish(attempt, is_complete)

    def has_open_attempt(self, sent_request):
        return any(a.sent_request is sent_request and self.is_open(a) for a in self.all_attempts)

    def begin(self, attempt):
        request = attempt.sent_request.context.request
        message = AttemptRequest(
            "x",
            request.id,
            "hosts",
            "booking",
            "",
            "/",
            request.body,
            FAR_DEADLINE_S,
            False,
            request.key,
        )
        attempt.keyed, outcome = attempt.agent.keyed.begin(message)
        match outcome:
            case NewKey():
                prepare, attempt.finish = attempt.agent.keyed.make_callbacks(attempt.keyed)
                attempt.call = UpstreamCall(
                    None, message, FAR_DEADLINE_S, prepare, attempt.finish, False
                )
                attempt.step = attempt.step.replace("sent", "accepted").replace(
                    "waiting", "accepted"
                )
            case InProgress():
                attempt.step = attempt.step.replace("sent", "waiting")
            case _:
                self.end(attempt, outcome)

    def prepare(self, attempt):
        outcome = attempt.call._prepare()
        if outcome is None:
            attempt.step = attempt.step.replace("accepted", "prepared")
        else:
            self.end(attempt, attempt.finish(outcome))

    def start(self, attempt):
        if not attempt.call._begin():
            self.end(attempt, attempt.finish(NotStarted("deadline", "")))
            return
        attempt.step = attempt.step.replace("prepared", "started")
        attempt.runs += 1
        self.runs[attempt.sent_request.reference] += 1

    def finish(self, attempt, is_complete):
        response = RecordedResponse(
            (attempt.sent_request.context.request.id.encode(),), 200, "text/plain"
        )
        self.end(attempt, attempt.finish(response if is_complete else Uncertain("truncated")))

    @rule(index=indices)
    @precondition(lambda self: self.open_attempts())
    def abandon(self, index):
        """The deadline passes at the agent, or the call is cancelled there."""
        attempt = self.pick_open(index)
        if attempt.call is not None and not attempt.call.cancel_if_not_started():
            result = Uncertain("deadline")
        elif attempt.step == "waiting":
            result = Uncertain("the first has not finished")
        else:
            result = NotStarted("deadline", "")
        attempt.step = "ended" if attempt.call is None else attempt.step + "-lost"
        self.report_outcome(attempt.sent_request, attempt, result)

    @rule(index=indices)
    @precondition(lambda self: self.open_attempts())
    def lose_connection(self, index):
        """The entry loses the connection of an attempt, which may continue at the agent."""
        attempt = self.pick_open(index)
        attempt.step += "-lost"
        self.report_outcome(attempt.sent_request, attempt, None)

    def pick_open(self, index):
        attempts = self.open_attempts()
        return attempts[index % len(attempts)]

    def open_attempts(self):
        return [a for a in self.live_attempts() if self.is_open(a)]

    @rule(name=st.sampled_from(NAMES))
    def kill_agent(self, name):
        agent = self.agents[name]
        agent.is_dead = True
        self.agents[name] = Agent(name, agent.incarnation + 1, self.table, lambda: self.now)
        for attempt in self.all_attempts:
            if attempt.agent is agent and self.is_open(attempt):
                attempt.step = "ended"
                self.report_outcome(attempt.sent_request, attempt, None)

    def is_open(self, attempt):
        return attempt.step not in END_STEPS and not attempt.step.endswith("-lost")

    @rule(mode=st.sampled_from(["up", "up", "down", "lossy", "late"]))
    def change_table_mode(self, mode):
        self.table.mode = mode

    @rule(index=st.integers(0, 5))
    def apply_late_write(self, index):
        self.table.apply_late_write(index)

    @rule(name=st.sampled_from(NAMES))
    def write_outcome(self, name):
        self.agents[name].writes.write()

    @rule(seconds=st.sampled_from([1.0, 120.0, 400.0]))
    def advance_clock(self, seconds):
        self.now += seconds

    def end(self, attempt, outcome):
        was_open = not attempt.step.endswith("-lost")
        attempt.step = "ended"
        if was_open:
            self.report_outcome(attempt.sent_request, attempt, outcome)

    def report_outcome(self, sent_request, attempt, outcome):
        """Report an attempt's outcome to the entry, None for a lost connection."""
        if isinstance(outcome, RecordedResponse):
            sent_request.result = outcome
            return
        failure = self.make_failure(outcome)
        if sent_request.context.record_failure(failure, attempt.owner):
            sent_request.result = sent_request.context.make_error()

    def make_failure(self, outcome):
        match outcome:
            case None:
                return AttemptLost(OutcomeUnknown("connection lost"))
            case Uncertain(detail=detail):
                return AttemptLost(OutcomeUnknown(detail), is_alive=True, is_unknown_at_agent=True)
            case ClaimedElsewhere(agent=agent, incarnation=incarnation):
                return AttemptRedirected(Binding(agent, incarnation))
            case NotStarted(kind=kind, detail=detail, is_final=is_final):
                return AttemptNotRun(NoReplica(kind + detail), is_final)
        raise AssertionError(outcome)

    @invariant()
    def each_key_runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def results_are_correct(self):
        for sent_request in self.all_requests:
            if isinstance(sent_request.result, NotRun):
                own = [a for a in self.all_attempts if a.sent_request is sent_request]
                assert sum(a.runs for a in own) == 0
                if not sent_request.context.request.is_first:
                    assert self.runs[sent_request.reference] == 0
            if isinstance(sent_request.result, RecordedResponse):
                first_payloads = self.responses.setdefault(
                    sent_request.reference, sent_request.result.payloads
                )
                assert sent_request.result.payloads == first_payloads
                assert self.runs[sent_request.reference] == 1


TestKeyedMachine = KeyedMachine.TestCase
TestKeyedMachine.settings = settings(max_examples=150, stateful_step_count=50)


def test_attempt_that_starts_long_after_it_was_accepted_runs_at_most_once():
    machine = KeyedMachine()
    machine.send(index=0, name="a", steps=1)
    machine.advance_clock(seconds=920.0)
    machine.lose_connection(index=0)
    machine.advance(index=0, is_complete=False, steps=2)
    machine.retry(index=0, name="a", steps=3)
    machine.each_key_runs_at_most_once()
    machine.results_are_correct()
