"""Tests of HTTPS in front of waitress."""

from __future__ import annotations

import http.client
import socket

import pytest
import trustme

from hibiscustray.exceptions import SettingsError, UpstreamError
from hibiscustray.web import (
    HttpClient,
    HttpServer,
    Response,
    Router,
    make_client_context,
    make_server_context,
)

ADDRESS = "127.0.0.1"
BODY = b"x" * 3_000_000


class Files:
    """Certificate files of one authority."""

    def __init__(self, folder) -> None:
        folder.mkdir()
        ca = trustme.CA()
        issued = ca.issue_cert(ADDRESS)
        self.authority, self.key = str(folder / "ca.pem"), str(folder / "key.pem")
        self.certificate = str(folder / "cert.pem")
        ca.cert_pem.write_to_path(self.authority)
        issued.private_key_pem.write_to_path(self.key)
        issued.cert_chain_pems[0].write_to_path(self.certificate)


@pytest.fixture
def files(tmp_path):
    return Files(tmp_path / "ours")


@pytest.fixture
def serve(files):
    servers = []

    def start(authority: str = "") -> HttpServer:
        router = Router(lambda error: Response.json({}, 500))
        router.add("POST", "/echo", lambda request: Response(200, request.body))
        router.add("GET", "/stream", lambda _: Response(200, iter([b"one\n", b"two\n"])))
        context = make_server_context(files.certificate, files.key, authority)
        server = HttpServer(router, ADDRESS, 0, 4, context=context)
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


def test_carries_large_bodies_both_ways(serve, files):
    client = HttpClient(serve().url, 10.0, make_client_context(files.authority))
    assert client.call("POST", "/echo", BODY).body == BODY
    assert client.call("GET", "/stream").body == b"one\ntwo\n"
    client.close()


def test_a_wrong_authority_is_refused(serve, tmp_path):
    context = make_client_context(Files(tmp_path / "other").authority)
    with pytest.raises(UpstreamError):
        HttpClient(serve().url, 5.0, context).call("GET", "/stream")


def test_a_client_without_its_certificate_is_refused(serve, files):
    server = serve(files.authority)
    bare = make_client_context(files.authority)
    with pytest.raises(UpstreamError):
        HttpClient(server.url, 5.0, bare).call("GET", "/stream")
    shown = make_client_context(files.authority, files.certificate, files.key)
    assert HttpClient(server.url, 5.0, shown).call("GET", "/stream").status == 200


def test_plain_http_is_refused(serve):
    server = serve()
    connection = http.client.HTTPConnection(ADDRESS, server.port, timeout=5.0)
    with pytest.raises((OSError, http.client.HTTPException)):
        connection.request("GET", "/stream")
        connection.getresponse()


def test_a_silent_connection_does_not_hold_up_others(serve, files):
    server = serve()
    with socket.create_connection((ADDRESS, server.port)):
        client = HttpClient(server.url, 5.0, make_client_context(files.authority))
        assert client.call("GET", "/stream").status == 200


def test_a_missing_key_file_is_a_settings_error(files):
    with pytest.raises(SettingsError):
        make_server_context(files.certificate, "absent.pem")
