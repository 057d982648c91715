"""Silent connections are found within seconds, and a new one is tried before the VM is given up."""

from __future__ import annotations

import threading
import time

import pytest

from hibiscustray.entry.attempt import Attempter, Lost, hold_until_whole
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.exceptions import CallerLeft
from hibiscustray.peers import (
    Data,
    End,
    KeepAlive,
    MemberRecord,
    PeerPool,
    PeerServer,
    RevisionReply,
)
from hibiscustray.peers.codec import ATTEMPT, REVISION
from hibiscustray.requests import AnswerDigest, AnswerReader, CallerRequest
from hibiscustray.routing import Choice, Permit
from hibiscustray.routing.health import Progress
from tests.peers.proxies import TcpProxy

BEAT_S = 0.05
DEADLINE_S = 20.0
PERMIT = Permit(None, "hosts", False)


class NoChooser:
    """Takes the reports that attempts make."""

    def report(self, member_id, load, waiting):
        pass


class Agent:
    """A peer behind a relay; its attempts beat until they are released, then answer."""

    def __init__(self):
        self.released = threading.Event()
        self.started = threading.Event()
        handlers = {ATTEMPT.name: self.serve, REVISION.name: lambda *_: RevisionReply()}
        self.server = PeerServer("127.0.0.1", 0, handlers, 8)
        self.server.start()
        self.relay = TcpProxy(self.server.address)

    def serve(self, request, context):
        self.started.set()
        while not self.released.wait(BEAT_S):
            yield KeepAlive()
        digest = AnswerDigest(request.request_id)
        digest.add([b"seat"])
        yield Data(0, (b"seat",), digest.check())
        yield End(1, digest.value())

    def stop(self):
        self.released.set()
        self.relay.close()
        self.server.stop()


@pytest.fixture
def agent():
    agent = Agent()
    yield agent
    agent.stop()


@pytest.fixture
def pool():
    pool = PeerPool()
    yield pool
    pool.close()


@pytest.fixture
def attempter(pool):
    watchdog = Watchdog()
    watchdog.start()
    yield Attempter(NoChooser(), pool, watchdog)
    watchdog.stop()


def make_request(**changes):
    facts = {
        "id": "r1",
        "team": "hosts",
        "service": "booking",
        "path": "/",
        "body": b"{}",
        "deadline": time.monotonic() + DEADLINE_S,
        "is_idempotent": True,
        "is_stream": False,
    }
    return CallerRequest(**(facts | changes))


def start(attempter, agent, request):
    now = time.monotonic()
    member = MemberRecord("a", "agent", "akl", "akl-a", agent.relay.address, "", 1)
    choice = Choice(member, "", Progress("a", 1, False, now, now))
    return attempter.attempt(request, choice, AnswerReader(request.id), PERMIT)


def run_to_end(attempt):
    items = []
    held = hold_until_whole(attempt)
    while True:
        try:
            items.append(next(held))
        except StopIteration as stop:
            return items, stop.value


def test_silent_connection_is_replaced_and_the_vm_kept(attempter, agent, pool):
    old = pool.get(agent.relay.address)
    old.read_revision(2.0)
    agent.relay.stall()
    items, last = run_to_end(start(attempter, agent, make_request()))
    assert items == []
    assert isinstance(last, Lost)
    assert last.is_alive
    assert not agent.started.is_set()
    agent.released.set()
    items, last = run_to_end(start(attempter, agent, make_request()))
    assert (items[0], last) == (b"seat", None)
    assert agent.relay.accepted == 2


def test_connection_that_goes_silent_midway_is_found(attempter, agent):
    silencer = threading.Thread(
        target=lambda: agent.started.wait(5.0) and agent.relay.stall(), daemon=True
    )
    silencer.start()
    _, last = run_to_end(start(attempter, agent, make_request()))
    assert isinstance(last, Lost)
    assert last.is_alive


def test_vm_that_does_not_answer_a_new_connection_is_given_up(attempter, agent, pool):
    pool.get(agent.relay.address).read_revision(2.0)
    agent.relay.stall()
    agent.server.stop()
    _, last = run_to_end(start(attempter, agent, make_request()))
    assert isinstance(last, Lost)
    assert not last.is_alive


def test_first_frame_that_never_comes_ends_with_the_deadline(attempter, agent, pool):
    pool.get(agent.relay.address).read_revision(2.0)
    agent.relay.stall()
    request = make_request(deadline=time.monotonic() + 0.5)
    _, last = run_to_end(start(attempter, agent, request))
    assert isinstance(last, Lost)
    assert request.time_left() <= 0


def test_caller_that_leaves_while_waiting_ends_the_attempt(attempter, agent):
    request = make_request(is_abandoned=agent.started.is_set)
    with pytest.raises(CallerLeft):
        run_to_end(start(attempter, agent, request))


def test_reader_that_pauses_is_not_taken_for_silence(attempter, agent):
    agent.released.set()
    attempt = start(attempter, agent, make_request())
    assert next(attempt) == b"seat"
    time.sleep(3.6)
    assert isinstance(next(attempt), End)
