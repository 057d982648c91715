"""Keyed requests over agents that die, pause and lose their store, step by step.

The ledger, tickets, claims, gate of the upstream call and the entry's reading of outcomes are the
product's own; the machine chooses which step of which attempt comes next.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hibiscustray.agent.keyed import KeyedRequests
from hibiscustray.agent.upstream_call import NotStarted, UpstreamCall
from hibiscustray.entry.attempt import Binding, Lost, NotTaken, TakenElsewhere
from hibiscustray.entry.keyed import Journey
from hibiscustray.exceptions import NoReplica, NotRun, OutcomeUnknown, PlatformError
from hibiscustray.peers import AttemptRequest, MemberRecord
from hibiscustray.requests import (
    CallerRequest,
    ClaimStore,
    Elsewhere,
    Fresh,
    Ledger,
    Repeat,
    Running,
    TicketIssuer,
    Uncertain,
    is_ticket,
    read_ticket,
)
from tests.requests.tables import FakeTable

NAMES = ("a", "b", "c")
FAR_S = 1e12
ENDED = ("over",)
indices = st.integers(0, 1000)


class QueuedWrites:
    """Takes the place of the outcome writer; the machine decides when a write is made."""

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
                self.claims.settle(claim, outcome, claim.body.nonce + "s")
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
class Sending:
    """One sending of a key by its caller, as an entry carries it."""

    journey: Journey
    reference: str
    told: Exception | Repeat | None = None


@dataclass
class Attempt:
    """One attempt of a sending at an agent; it may be stuck between any two steps."""

    sending: Sending
    agent: Agent
    owner: MemberRecord | None
    keyed: object = None
    call: UpstreamCall | None = None
    step: str = "sent"
    runs: int = 0
    settle: object = field(default=None, repr=False)


def make_member(agent):
    return MemberRecord(
        agent.name, "agent", "akl", "akl-a", "", "", agent.incarnation, service="booking"
    )


class KeyedMachine(RuleBasedStateMachine):
    """Every key runs at most once, refusals are true, and repeats get the same answer."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = FakeTable()
        self.agents = {name: Agent(name, 1, self.table, lambda: self.now) for name in NAMES}
        self.keys = ["k1", "k2"]
        self.runs = Counter()
        self.answers = {}
        self.sent = Counter()
        self.all_sendings = []
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
            deadline=FAR_S,
            is_idempotent=False,
            is_stream=False,
            key=key,
            is_first=is_first,
        )
        ticket = read_ticket(key) if is_ticket(key) else None
        binding = Binding(ticket.agent, ticket.incarnation) if ticket else None
        sending = Sending(Journey(request, binding), key)
        self.all_sendings.append(sending)
        self.attempt(sending, name, steps)

    @rule(index=indices, name=st.sampled_from(NAMES), steps=st.integers(0, 4))
    @precondition(lambda self: self.idle_sendings())
    def retry(self, index, name, steps):
        idle = self.idle_sendings()
        self.attempt(idle[index % len(idle)], name, steps)

    @rule(index=indices)
    @precondition(lambda self: self.idle_sendings())
    def conclude(self, index):
        idle = self.idle_sendings()
        sending = idle[index % len(idle)]
        sending.told = sending.journey.conclude()

    def idle_sendings(self):
        return [s for s in self.all_sendings if s.told is None and not self.has_open_attempt(s)]

    def attempt(self, sending, name, steps):
        agent, owner = self.agents[name], None
        binding = sending.journey.binding
        if binding is not None and not sending.journey.is_owner_gone:
            agent = self.agents[binding.agent]
            if agent.incarnation == binding.incarnation:
                owner = make_member(agent)
            else:
                sending.journey.is_owner_gone = True
        sending.journey.member = make_member(agent)
        attempt = Attempt(sending, agent, owner)
        self.all_attempts.append(attempt)
        for _ in range(steps):
            self.step(attempt, True)

    def live_attempts(self):
        return [a for a in self.all_attempts if a.step not in ENDED and not a.agent.is_dead]

    @rule(index=indices, is_whole=st.booleans(), steps=st.integers(1, 3))
    @precondition(lambda self: self.live_attempts())
    def advance(self, index, is_whole, steps):
        """Take the next steps of an attempt, also of one that its entry has given up on."""
        live = self.live_attempts()
        for _ in range(steps):
            self.step(live[index % len(live)], is_whole)

    def step(self, attempt, is_whole):
        match attempt.step.removesuffix("-lost"):
            case "sent" | "waiting":
                self.begin(attempt)
            case "taken":
                self.prepare(attempt)
            case "prepared":
                self.start(attempt)
            case "started":
                self.finish(attempt, is_whole)

    def has_open_attempt(self, sending):
        return any(a.sending is sending and self.is_open(a) for a in self.all_attempts)

    def begin(self, attempt):
        request = attempt.sending.journey.request
        message = AttemptRequest(
            "x", request.id, "hosts", "booking", "", "/", request.body, FAR_S, False, request.key
        )
        attempt.keyed, outcome = attempt.agent.keyed.begin(message)
        match outcome:
            case Fresh():
                prepare, attempt.settle = attempt.agent.keyed.make_callbacks(attempt.keyed)
                attempt.call = UpstreamCall(None, message, FAR_S, prepare, attempt.settle, False)
                attempt.step = attempt.step.replace("sent", "taken").replace("waiting", "taken")
            case Running():
                attempt.step = attempt.step.replace("sent", "waiting")
            case _:
                self.end(attempt, outcome)

    def prepare(self, attempt):
        early = attempt.call._prepare()
        if early is None:
            attempt.step = attempt.step.replace("taken", "prepared")
        else:
            self.end(attempt, attempt.settle(early))

    def start(self, attempt):
        if not attempt.call._begin():
            self.end(attempt, attempt.settle(NotStarted("deadline", "")))
            return
        attempt.step = attempt.step.replace("prepared", "started")
        attempt.runs += 1
        self.runs[attempt.sending.reference] += 1

    def finish(self, attempt, is_whole):
        answer = Repeat((attempt.sending.journey.request.id.encode(),), 200, "text/plain")
        self.end(attempt, attempt.settle(answer if is_whole else Uncertain("cut")))

    @rule(index=indices)
    @precondition(lambda self: self.open_attempts())
    def give_up(self, index):
        """The deadline passes at the agent, or the call is cancelled there."""
        attempt = self.pick_open(index)
        if attempt.call is not None and not attempt.call.cancel_if_not_started():
            told = Uncertain("deadline")
        elif attempt.step == "waiting":
            told = Uncertain("the first has not finished")
        else:
            told = NotStarted("deadline", "")
        attempt.step = "over" if attempt.call is None else attempt.step + "-lost"
        self.tell(attempt.sending, attempt, told)

    @rule(index=indices)
    @precondition(lambda self: self.open_attempts())
    def lose_connection(self, index):
        """The entry loses touch with an attempt, which may still go on at the agent."""
        attempt = self.pick_open(index)
        attempt.step += "-lost"
        self.tell(attempt.sending, attempt, None)

    def pick_open(self, index):
        attempts = self.open_attempts()
        return attempts[index % len(attempts)]

    def open_attempts(self):
        return [a for a in self.live_attempts() if self.is_open(a)]

    @rule(name=st.sampled_from(NAMES))
    def die(self, name):
        agent = self.agents[name]
        agent.is_dead = True
        self.agents[name] = Agent(name, agent.incarnation + 1, self.table, lambda: self.now)
        for attempt in self.all_attempts:
            if attempt.agent is agent and self.is_open(attempt):
                attempt.step = "over"
                self.tell(attempt.sending, attempt, None)

    def is_open(self, attempt):
        return attempt.step not in ENDED and not attempt.step.endswith("-lost")

    @rule(mode=st.sampled_from(["up", "up", "down", "lossy", "late"]))
    def change_store(self, mode):
        self.table.mode = mode

    @rule(index=st.integers(0, 5))
    def land_late_write(self, index):
        self.table.land(index)

    @rule(name=st.sampled_from(NAMES))
    def write_outcome(self, name):
        self.agents[name].writes.write()

    @rule(seconds=st.sampled_from([1.0, 120.0, 400.0]))
    def let_time_pass(self, seconds):
        self.now += seconds

    def end(self, attempt, settlement):
        was_open = not attempt.step.endswith("-lost")
        attempt.step = "over"
        if was_open:
            self.tell(attempt.sending, attempt, settlement)

    def tell(self, sending, attempt, settlement):
        """Let the entry take in how an attempt ended; None when its connection was lost."""
        if isinstance(settlement, Repeat):
            sending.told = settlement
            return
        last = self.read_frame(settlement)
        if sending.journey.is_over(last, attempt.owner):
            sending.told = sending.journey.conclude()

    def read_frame(self, settlement):
        match settlement:
            case None:
                return Lost(OutcomeUnknown("cut"))
            case Uncertain(detail=detail):
                return Lost(OutcomeUnknown(detail), is_alive=True, is_settled=True)
            case Elsewhere(agent=agent, incarnation=incarnation):
                return TakenElsewhere(Binding(agent, incarnation))
            case NotStarted(kind=kind, detail=detail, is_final=is_final):
                return NotTaken(NoReplica(kind + detail), is_final)
        raise AssertionError(settlement)

    @invariant()
    def no_key_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def what_was_told_is_true(self):
        for sending in self.all_sendings:
            if isinstance(sending.told, NotRun):
                own = [a for a in self.all_attempts if a.sending is sending]
                assert sum(a.runs for a in own) == 0
                if not sending.journey.request.is_first:
                    assert self.runs[sending.reference] == 0
            if isinstance(sending.told, Repeat):
                kept = self.answers.setdefault(sending.reference, sending.told.payloads)
                assert sending.told.payloads == kept
                assert self.runs[sending.reference] == 1


TestKeyedMachine = KeyedMachine.TestCase
TestKeyedMachine.settings = settings(max_examples=150, stateful_step_count=50)
