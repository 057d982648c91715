"""Silent connections are detected and replaced before their VM is considered lost."""

from __future__ import annotations

import threading
import time

import pytest

from hibiscustray.entry.attempt import AttemptLost, AttemptRunner, buffer_until_complete
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
from hibiscustray.requests import CallerRequest, ResponseDigest, ResponseReader
from hibiscustray.routing import Choice, Permit
from hibiscustray.routing.health import AttemptProgress
from tests.peers.proxies import TcpProxy

KEEP_ALIVE_INTERVAL_S = 0.05
DEADLINE_S = 20.0
PERMIT = Permit(None, "hosts", False)


class IgnoringChooser:
    """Ignores the load reports of attempts."""

    def record_load(self, member_id, load, waiting):
        pass


class Agent:
    """A peer behind a TCP proxy; attempts send keep-alive frames until released, then respond."""

    def __init__(self):
        self.released = threading.Event()
        self.started = threading.Event()
        handlers = {ATTEMPT.name: self.serve, REVISION.name: lambda *_: RevisionReply()}
        self.server = PeerServer("127.0.0.1", 0, handlers, 8)
        self.server.start()
        self.proxy = TcpProxy(self.server.address)

    def serve(self, request, context):
        self.started.set()
        while not self.released.wait(KEEP_ALIVE_INTERVAL_S):
            yield KeepAlive()
        digest = ResponseDigest(request.request_id)
        digest.add([b"seat"])
        yield Data(0, (b"seat",), digest.checksum())
        yield End(1, digest.hexdigest())

    def stop(self):
        self.released.set()
        self.proxy.close()
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
def attempt_runner(pool):
    watchdog = Watchdog()
    watchdog.start()
    yield AttemptRunner(IgnoringChooser(), pool, watchdog)
    watchdog.stop()


def make_request(**changes):
    fields = {
        "id": "r1",
        "team": "hosts",
        "service": "booking",
        "path": "/",
        "body": b"{}",
        "deadline": time.monotonic() + DEADLINE_S,
        "is_idempotent": True,
        "is_stream": False,
    }
    return CallerRequest(**(fields | changes))


def start(attempt_runner, agent, request):
    now = time.monotonic()
    member = MemberRecord("a", "agent", "akl", "akl-a", agent.proxy.address, "", 1)
    choice = Choice(member, "", AttemptProgress("a", 1, False, now, now))
    return attempt_runner.run(request, choice, ResponseReader(request.id), PERMIT)


def run_to_end(attempt):
    items = []
    buffered = buffer_until_complete(attempt)
    while True:
        try:
            items.append(next(buffered))
        except StopIteration as stop:
            return items, stop.value


def test_silent_connection_is_replaced_and_vm_is_used_again(attempt_runner, agent, pool):
    old = pool.get(agent.proxy.address)
    old.read_revision(2.0)
    agent.proxy.stall()
    items, last = run_to_end(start(attempt_runner, agent, make_request()))
    assert items == []
    assert isinstance(last, AttemptLost)
    assert last.is_alive
    assert not agent.started.is_set()
    agent.released.set()
    items, last = run_to_end(start(attempt_runner, agent, make_request()))
    assert (items[0], last) == (b"seat", None)
    assert agent.proxy.accepted == 2


def test_connection_that_goes_silent_during_attempt_is_detected(attempt_runner, agent):
    silencer = threading.Thread(
        target=lambda: agent.started.wait(5.0) and agent.proxy.stall(), daemon=True
    )
    silencer.start()
    _, last = run_to_end(start(attempt_runner, agent, make_request()))
    assert isinstance(last, AttemptLost)
    assert last.is_alive


def test_vm_that_does_not_respond_on_new_connection_is_lost(attempt_runner, agent, pool):
    pool.get(agent.proxy.address).read_revision(2.0)
    agent.proxy.stall()
    agent.server.stop()
    _, last = run_to_end(start(attempt_runner, agent, make_request()))
    assert isinstance(last, AttemptLost)
    assert not last.is_alive


def test_attempt_without_frames_ends_at_deadline(attempt_runner, agent, pool):
    pool.get(agent.proxy.address).read_revision(2.0)
    agent.proxy.stall()
    request = make_request(deadline=time.monotonic() + 0.5)
    _, last = run_to_end(start(attempt_runner, agent, request))
    assert isinstance(last, AttemptLost)
    assert request.time_left() <= 0


def test_disconnected_caller_ends_waiting_attempt(attempt_runner, agent):
    request = make_request(is_disconnected=agent.started.is_set)
    with pytest.raises(CallerLeft):
        run_to_end(start(attempt_runner, agent, request))


def test_slow_reader_is_not_mistaken_for_silence(attempt_runner, agent):
    agent.released.set()
    attempt = start(attempt_runner, agent, make_request())
    assert next(attempt) == b"seat"
    time.sleep(3.6)
    assert isinstance(next(attempt), End)
