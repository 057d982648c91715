"""Tests of the HTTP server and client over TLS."""

from __future__ import annotations

import http.client
import socket
import ssl

import pytest
import trustme

from hibiscustray.exceptions import SettingsError, UpstreamConnectionLost, UpstreamError
from hibiscustray.web import (
    HttpClient,
    HttpServer,
    Response,
    Router,
    make_client_context,
    make_server_context,
)
from hibiscustray.web.server import END_WITH_CONNECTION

ADDRESS = "127.0.0.1"
BODY = b"x" * 3_000_000


class CertificateFiles:
    """Files with an authority, a server certificate that it issued, and its key."""

    def __init__(self, folder) -> None:
        folder.mkdir()
        authority = trustme.CA()
        certificate = authority.issue_cert(ADDRESS)
        self.authority, self.key = str(folder / "ca.pem"), str(folder / "key.pem")
        self.certificate = str(folder / "cert.pem")
        authority.cert_pem.write_to_path(self.authority)
        certificate.private_key_pem.write_to_path(self.key)
        certificate.cert_chain_pems[0].write_to_path(self.certificate)


@pytest.fixture
def files(tmp_path):
    return CertificateFiles(tmp_path / "ours")


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


def test_transfers_large_bodies_in_both_directions(serve, files):
    client = HttpClient(serve().url, 10.0, make_client_context(files.authority))
    assert client.call("POST", "/echo", BODY).body == BODY
    assert client.call("GET", "/stream").body == b"one\ntwo\n"
    client.close()


def test_client_rejects_certificate_of_untrusted_authority(serve, tmp_path):
    context = make_client_context(CertificateFiles(tmp_path / "other").authority)
    with pytest.raises(UpstreamError):
        HttpClient(serve().url, 5.0, context).call("GET", "/stream")


def test_server_rejects_client_without_certificate(serve, files):
    server = serve(files.authority)
    without_certificate = make_client_context(files.authority)
    with pytest.raises(UpstreamError):
        HttpClient(server.url, 5.0, without_certificate).call("GET", "/stream")
    with_certificate = make_client_context(files.authority, files.certificate, files.key)
    assert HttpClient(server.url, 5.0, with_certificate).call("GET", "/stream").status == 200


def test_rejects_plain_http(serve):
    server = serve()
    connection = http.client.HTTPConnection(ADDRESS, server.port, timeout=5.0)
    with pytest.raises((OSError, http.client.HTTPException)):
        connection.request("GET", "/stream")
        connection.getresponse()


def test_silent_connection_does_not_block_others(serve, files):
    server = serve()
    with socket.create_connection((ADDRESS, server.port)):
        client = HttpClient(server.url, 5.0, make_client_context(files.authority))
        assert client.call("GET", "/stream").status == 200


def test_missing_key_file_raises_settings_error(files):
    with pytest.raises(SettingsError):
        make_server_context(files.certificate, "absent.pem")


@pytest.mark.parametrize("is_broken", [False, True], ids=["whole", "broken"])
def test_response_that_breaks_off_does_not_end_as_a_whole_one(files, is_broken):
    def application(environ, start_response):
        environ[END_WITH_CONNECTION]()
        start_response("200 OK", [])
        yield BODY
        if is_broken:
            raise UpstreamConnectionLost("lost")

    context = make_server_context(files.certificate, files.key)
    server = HttpServer(application, ADDRESS, 0, 1, context=context)
    server.start()
    try:
        if is_broken:
            with pytest.raises(ConnectionResetError):
                _read_session(server, files)
        else:
            assert _read_session(server, files).endswith(b"\r\n\r\n" + BODY)
    finally:
        server.stop()


def _read_session(server: HttpServer, files: CertificateFiles) -> bytes:
    """Send a request and return what is received before the server ends the TLS session.

    Raises `SSLEOFError` if its connection ends before that. OpenSSL would hide a reset.
    """
    received, sent = ssl.MemoryBIO(), ssl.MemoryBIO()
    context = make_client_context(files.authority)
    session = context.wrap_bio(received, sent, server_hostname=ADDRESS)
    data = b""
    with socket.create_connection((ADDRESS, server.port), timeout=5.0) as connection:
        steps = [session.do_handshake, lambda: session.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")]
        while True:
            try:
                if steps:
                    steps[0]()
                    steps.pop(0)
                elif block := session.read(65536):
                    data += block
                else:
                    return data
            except ssl.SSLWantReadError:
                connection.sendall(sent.read())
                block = connection.recv(65536)
                received.write(block) if block else received.write_eof()
