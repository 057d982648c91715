"""Tests of the HTTP client with addresses and requests that cannot be sent."""

from __future__ import annotations

import socket
from contextlib import closing, suppress

import pytest

from hibiscustray.exceptions import UpstreamUnreachable
from hibiscustray.web import HttpClient

ODD_ADDRESSES = (
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 400,
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:-1",
    "127.0.0.1:\u00b2",
    "127.0.0.1:",
    "::1:80",
    "[::1:80",
    "a" * 300 + ":80",
    "a..b:80",
    "\ud800:80",
    "a\x00b:80",
    "",
)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda address: ascii(address)[:30])
def test_odd_address_cannot_be_reached(address):
    with pytest.raises(UpstreamUnreachable):
        HttpClient(f"http://{address}").open("GET", "/", connect_timeout_s=0.2)


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/\x01", {}),
        ("/\u2603", {}),
        ("/", {"X-A": "\u2603"}),
        ("/", {"X-A": "a\r\nX-B: b"}),
        ("/", {"X-A": "a\rb"}),
        ("/", {"X\u2603": "a"}),
        ("/", {"X-A\r\n": "a"}),
    ],
)
def test_request_that_cannot_be_encoded_is_not_sent(path, headers):
    with closing(socket.create_server(("127.0.0.1", 0))) as server:
        client = HttpClient(f"http://127.0.0.1:{server.getsockname()[1]}")
        with pytest.raises(UpstreamUnreachable):
            client.open("POST", path, b"x", headers)
        connection, _ = server.accept()
        with closing(connection):
            connection.settimeout(1.0)
            with suppress(ConnectionResetError):
                assert connection.recv(1) == b""
