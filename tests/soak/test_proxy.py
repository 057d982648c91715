"""The proxy of a soak: how each state affects a connection."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from hibiscustray.soak import LinkState, LoopbackProxy
from hibiscustray.soak.proxy import RESET_ON_CLOSE


@pytest.fixture
def echo():
    """Yield the address of an echo server and the list of the blocks that it receives."""
    listener = socket.create_server(("127.0.0.1", 0))
    received: list[bytes] = []

    def serve(connection: socket.socket) -> None:
        with contextlib.suppress(ConnectionResetError), connection:
            while data := connection.recv(100):
                received.append(data)
                connection.sendall(data)

    def accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}", received
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


@pytest.fixture
def link(echo):
    address, received = echo
    proxy = LoopbackProxy(address)
    host, _, port = proxy.address.rpartition(":")
    client = socket.create_connection((host, int(port)), timeout=0.4)
    yield proxy, client, received
    client.close()
    proxy.close()


def exchange(client: socket.socket) -> bytes:
    client.sendall(b"hello")
    return client.recv(100)


def test_a_clear_link_forwards_both_ways(link):
    _, client, _ = link
    assert exchange(client) == b"hello"


def test_a_delayed_link_delays_each_way(link):
    proxy, client, _ = link
    client.settimeout(2.0)
    proxy.apply_state(LinkState.DELAY, 0.15)
    started = time.monotonic()
    assert exchange(client) == b"hello"
    assert time.monotonic() - started >= 0.3


@pytest.mark.parametrize(
    ("state", "is_received"), [(LinkState.CUT_UP, False), (LinkState.CUT_DOWN, True)]
)
def test_a_cut_holds_back_one_direction_until_it_ends(link, state, is_received):
    proxy, client, received = link
    proxy.apply_state(state)
    with pytest.raises(TimeoutError):
        exchange(client)
    assert bool(received) == is_received
    proxy.apply_state(LinkState.CLEAR)
    assert client.recv(100) == b"hello"


def test_a_quiet_target_accepts_connections_and_goes_on(link):
    proxy, client, received = link
    proxy.hold(0.8)
    with pytest.raises(TimeoutError):
        exchange(client)
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=2.0) as other:
        assert exchange(other) == b"hello"
    assert client.recv(100) == b"hello"
    assert received == [b"hello", b"hello"]


@pytest.mark.parametrize("is_closed_dropped", [True, False])
def test_a_quiet_target_may_get_what_was_given_up_meanwhile(link, is_closed_dropped):
    proxy, client, received = link
    proxy.hold(0.6, is_closed_dropped)
    client.sendall(b"hello")
    client.close()
    time.sleep(0.4)
    assert received == []
    time.sleep(0.4)
    assert received == [b"hello"] * (not is_closed_dropped)


def test_a_quiet_target_does_not_get_the_parts_of_what_was_given_up_meanwhile(link):
    proxy, client, received = link
    proxy.hold(0.6)
    client.sendall(b"head")
    time.sleep(0.1)
    client.sendall(b"body")
    client.close()
    time.sleep(0.8)
    assert received == []


def test_a_reset_affects_only_open_connections(link):
    proxy, client, _ = link
    assert exchange(client) == b"hello"
    proxy.apply_state(LinkState.RESET)
    with pytest.raises(ConnectionResetError):
        client.recv(100)
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=1.0) as other:
        assert exchange(other) == b"hello"


def test_silence_affects_only_open_connections(link):
    proxy, client, _ = link
    assert exchange(client) == b"hello"
    proxy.apply_state(LinkState.SILENCE)
    with pytest.raises(TimeoutError):
        exchange(client)
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=1.0) as other:
        assert exchange(other) == b"hello"


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_a_reset_of_the_target_does_not_look_like_an_orderly_end(is_reset):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        proxy = LoopbackProxy(f"127.0.0.1:{listener.getsockname()[1]}")
        host, _, port = proxy.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=2.0) as client:
            target, _ = listener.accept()
            client.sendall(b"hello")
            assert target.recv(100) == b"hello"
            if is_reset:
                target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            target.close()
            if is_reset:
                with pytest.raises(ConnectionResetError):
                    client.recv(100)
            else:
                assert client.recv(100) == b""
        proxy.close()
