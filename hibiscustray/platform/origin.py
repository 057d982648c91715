"""Client of the platform's origin of weights: manifests and pieces by model and version."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hibiscustray.exceptions import (
    ManifestInvalid,
    ObjectMissing,
    OriginUnavailable,
    RecordInvalid,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.platform.records import decode
from hibiscustray.platform.wire import CHUNK_PATH, MANIFEST_PATH
from hibiscustray.web import HttpClient, HttpReply
from hibiscustray.weights import Manifest

OK = 200
MISSING_STATUSES = (404, 410)
CALL_TIMEOUT_S = 3.0
"""A piece takes tens of milliseconds on a free link, and several share it."""
CONNECT_TIMEOUT_S = 0.5
DIGEST_B = 32


class _Manifest(msgspec.Struct, frozen=True, rename="camel"):
    model: str
    version: int
    chunk_bytes: int
    # SHA-256 of each piece, in hex.
    digests: tuple[str, ...]


class PlatformOrigin:
    """Reads manifests and pieces; the address may change with the configuration."""

    def __init__(self, find_address: Callable[[], str | None]) -> None:
        self._find_address = find_address

    def read_manifest(self, model: str, version: int) -> Manifest:
        """Return the manifest of one version.

        Raises `ObjectMissing`, `OriginUnavailable` or `ManifestInvalid`.
        """
        reply = self._get(f"{MANIFEST_PATH}{model}?version={version}")
        try:
            wire = decode(reply.body, _Manifest)
            digests = tuple(bytes.fromhex(text) for text in wire.digests)
        except (RecordInvalid, ValueError) as error:
            raise ManifestInvalid(f"{model} {version}: {error}") from error
        is_valid = digests and wire.chunk_bytes > 0 and all(len(d) == DIGEST_B for d in digests)
        if not is_valid or (wire.model, wire.version) != (model, version):
            raise ManifestInvalid(f"the manifest is not of {model} {version}")
        size = wire.chunk_bytes * len(digests)
        return Manifest(f"{model}?version={version}", size, wire.chunk_bytes, digests)

    def read_range(self, path: str, start: int, length: int) -> bytes:
        """Return the bytes of one piece; raise `ObjectMissing` or `OriginUnavailable`.

        All pieces of a version are of one size, so a range of that size is a piece.
        """
        return self._get(f"{CHUNK_PATH}{path}&num={start // length}").body

    def _get(self, path: str) -> HttpReply:
        address = self._find_address()
        if not address:
            raise OriginUnavailable("the configuration names no origin")
        # A connection of its own for each call: a lost answer cannot be taken for the next one.
        client = HttpClient(f"http://{address}", CALL_TIMEOUT_S, idle_connections=0)
        try:
            stream = client.open("GET", path, is_fresh=True, connect_timeout_s=CONNECT_TIMEOUT_S)
            try:
                reply = HttpReply(stream.status, stream.headers, stream.read_all())
            finally:
                stream.close()
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise OriginUnavailable(str(error)) from error
        if reply.status in MISSING_STATUSES:
            raise ObjectMissing(path)
        if reply.status != OK:
            raise OriginUnavailable(f"the origin answered {reply.status}")
        return reply
