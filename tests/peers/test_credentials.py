"""Mutual TLS between processes."""

from __future__ import annotations

from dataclasses import dataclass

import grpc
import pytest
import trustme

from hibiscustray.exceptions import PeerError, SettingsError
from hibiscustray.peers import PeerClient, PeerServer, RevisionReply
from hibiscustray.peers.credentials import load_peer_credentials

ADDRESS = "127.0.0.1"
TIMEOUT_S = 3.0


@dataclass(frozen=True)
class Files:
    """The TLS files of one process."""

    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""


def write_files(folder, ca: trustme.CA) -> Files:
    folder.mkdir()
    issued = ca.issue_cert(ADDRESS)
    ca.cert_pem.write_to_path(folder / "ca.pem")
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    return Files(*(str(folder / name) for name in ("cert.pem", "key.pem", "ca.pem")))


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def server(tmp_path, authority):
    credentials = load_peer_credentials(write_files(tmp_path / "server", authority))
    handlers = {"Revision": lambda message, context: RevisionReply()}
    server = PeerServer(ADDRESS, 0, handlers, 2, credentials.server)
    server.start()
    yield server
    server.stop()


def test_peers_with_same_authority_connect(server, tmp_path, authority):
    credentials = load_peer_credentials(write_files(tmp_path / "client", authority))
    client = PeerClient(server.address, credentials.channel)
    assert client.read_revision(TIMEOUT_S).revision is None
    client.close()


def test_certificate_of_other_authority_is_rejected(server, tmp_path):
    credentials = load_peer_credentials(write_files(tmp_path / "client", trustme.CA()))
    client = PeerClient(server.address, credentials.channel)
    with pytest.raises(PeerError):
        client.read_revision(TIMEOUT_S)
    client.close()


def test_connection_without_tls_is_rejected(server):
    client = PeerClient(server.address, None)
    with pytest.raises(PeerError):
        client.read_revision(TIMEOUT_S)
    client.close()


def test_client_without_certificate_is_rejected(server, tmp_path, authority):
    files = write_files(tmp_path / "client", authority)
    with open(files.peer_authority, "rb") as source:
        channel = grpc.ssl_channel_credentials(source.read())
    client = PeerClient(server.address, channel)
    with pytest.raises(PeerError):
        client.read_revision(TIMEOUT_S)
    client.close()


def test_missing_key_file_raises_settings_error(tmp_path, authority):
    files = write_files(tmp_path / "half", authority)
    with pytest.raises(SettingsError):
        load_peer_credentials(Files(files.peer_certificate, "", files.peer_authority))
    assert load_peer_credentials(Files()).server is None
