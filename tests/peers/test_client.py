"""Error classes show whether a request was sent; retiring a connection keeps running calls."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from hibiscustray.exceptions import PeerConnectionLost, PeerUnreachable
from hibiscustray.peers import AttemptRequest, End, KeepAlive, PeerPool, PeerServer, RevisionReply
from hibiscustray.peers.codec import ATTEMPT, REVISION

KEEP_ALIVE_INTERVAL_S = 0.05
BODY = b"reference 4711"


class Peer:
    """A server whose attempts send keep-alive frames until they are released."""

    def __init__(self):
        self.released = threading.Event()
        self.started = threading.Event()
        handlers = {ATTEMPT.name: self.serve, REVISION.name: lambda *_: RevisionReply()}
        self.server = PeerServer("127.0.0.1", 0, handlers, 4)
        self.server.start()

    def serve(self, request, context):
        self.started.set()
        while not self.released.wait(KEEP_ALIVE_INTERVAL_S):
            yield KeepAlive()
        yield End(0, "")


def make_attempt(timeout_s=10.0):
    return AttemptRequest("a", "r", "hosts", "booking", "", "/", BODY, timeout_s)


@pytest.fixture
def peer():
    peer = Peer()
    yield peer
    peer.released.set()
    peer.server.stop()


@pytest.fixture
def pool():
    pool = PeerPool()
    yield pool
    pool.close()


def test_closed_port_is_unreachable(pool):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    with pytest.raises(PeerUnreachable):
        list(pool.get(address).open_attempt(make_attempt()))


def test_server_stop_during_attempt_is_connection_lost(pool, peer):
    call = pool.get(peer.server.address).open_attempt(make_attempt())
    assert peer.started.wait(5.0)
    peer.server.stop()
    with pytest.raises(PeerConnectionLost):
        list(call)


def test_unreachable_peer_receives_no_request_body(pool):
    received = []

    def accept(listener):
        connection = listener.accept()[0]
        received.append(connection.recv(65536))
        connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        accepting = threading.Thread(target=accept, args=(listener,), daemon=True)
        accepting.start()
        with pytest.raises(PeerUnreachable):
            list(pool.get(address).open_attempt(make_attempt(1.0)))
        accepting.join()
    assert received[0]
    assert BODY not in received[0]


def test_retiring_connection_keeps_running_call(pool, peer):
    address = peer.server.address
    first = pool.get(address)
    call = first.open_attempt(make_attempt())
    assert peer.started.wait(5.0)
    pool.retire_connection(address, first)
    assert pool.get(address) is not first
    pool.get(address).read_revision(2.0)
    peer.released.set()
    assert isinstance(list(call)[-1], End)


def test_retiring_replaced_client_changes_nothing(pool, peer):
    first = pool.get(peer.server.address)
    pool.retire_connection(peer.server.address, first)
    second = pool.get(peer.server.address)
    pool.retire_connection(peer.server.address, first)
    assert pool.get(peer.server.address) is second


def test_retired_connection_is_closed_once_idle(pool, peer):
    first = pool.get(peer.server.address)
    call = first.open_attempt(make_attempt())
    assert peer.started.wait(5.0)
    pool.retire_connection(peer.server.address)
    peer.released.set()
    list(call)
    deadline = time.monotonic() + 5.0
    while not first.is_idle and time.monotonic() < deadline:
        time.sleep(0.01)
    pool.get(peer.server.address)
    pool.retire_connection(peer.server.address)
    with pytest.raises(PeerUnreachable):
        first.read_revision(1.0)
