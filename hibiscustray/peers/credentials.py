"""Mutual TLS between processes: both sides present a certificate of the same authority."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import grpc

from hibiscustray.exceptions import SettingsError

FILE_SETTINGS = ("peer_certificate", "peer_key", "peer_authority")


class PeerFiles(Protocol):
    """Paths of the certificate, key and authority files; all empty disables TLS."""

    peer_certificate: str
    peer_key: str
    peer_authority: str


@dataclass(frozen=True)
class PeerCredentials:
    """Server and client credentials of a process; None means connections without TLS."""

    server: grpc.ServerCredentials | None = None
    channel: grpc.ChannelCredentials | None = None


def load_peer_credentials(files: PeerFiles) -> PeerCredentials:
    """Read the configured files; raise `SettingsError` if one cannot be read."""
    if not any(getattr(files, name) for name in FILE_SETTINGS):
        return PeerCredentials()
    certificate, key, authority = (_read_file(files, name) for name in FILE_SETTINGS)
    return PeerCredentials(
        grpc.ssl_server_credentials([(key, certificate)], authority, require_client_auth=True),
        grpc.ssl_channel_credentials(authority, key, certificate),
    )


def _read_file(files: PeerFiles, name: str) -> bytes:
    path = getattr(files, name)
    try:
        return Path(path).read_bytes()
    except OSError as error:
        problem = f"[security] {name}: found {path!r}; allowed: a file that can be read"
        raise SettingsError((problem,)) from error
