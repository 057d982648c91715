"""The proxy of a soak: what each state does to a connection."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from hibiscustray.soak import LinkState, LoopbackProxy


@pytest.fixture
def echo():
    """Yield the address of a server that sends back what it gets, and all that it got."""
    listener = socket.create_server(("127.0.0.1", 0))
    received: list[bytes] = []

    def serve(connection: socket.socket) -> None:
        with connection:
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


def ask(client: socket.socket) -> bytes:
    client.sendall(b"hello")
    return client.recv(100)


def test_a_clear_link_forwards(link):
    _, client, _ = link
    assert ask(client) == b"hello"


def test_a_slow_link_delays_each_way(link):
    proxy, client, _ = link
    client.settimeout(2.0)
    proxy.disturb(LinkState.DELAY, 0.15)
    started = time.monotonic()
    assert ask(client) == b"hello"
    assert time.monotonic() - started >= 0.3


@pytest.mark.parametrize(
    ("state", "arrives"), [(LinkState.CUT_UP, False), (LinkState.CUT_DOWN, True)]
)
def test_a_cut_holds_one_way_back_until_it_ends(link, state, arrives):
    proxy, client, received = link
    proxy.disturb(state)
    with pytest.raises(TimeoutError):
        ask(client)
    assert bool(received) == arrives
    proxy.disturb(LinkState.CLEAR)
    assert client.recv(100) == b"hello"


def test_a_reset_ends_open_connections_only(link):
    proxy, client, _ = link
    assert ask(client) == b"hello"
    proxy.disturb(LinkState.RESET)
    try:
        assert client.recv(100) == b""
    except ConnectionResetError as error:
        assert error.errno
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=1.0) as other:
        assert ask(other) == b"hello"


def test_a_silent_connection_stays_silent_while_new_ones_work(link):
    proxy, client, _ = link
    assert ask(client) == b"hello"
    proxy.disturb(LinkState.SILENCE)
    with pytest.raises(TimeoutError):
        ask(client)
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=1.0) as other:
        assert ask(other) == b"hello"
