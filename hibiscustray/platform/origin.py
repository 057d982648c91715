"""HTTP client of the platform's weights origin, which serves manifests and chunks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from hibiscustray.decoding import decode_json
from hibiscustray.exceptions import (
    ManifestInvalid,
    ObjectMissing,
    OriginUnavailable,
    RecordInvalid,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.platform.records import ExactNumber
from hibiscustray.platform.wire import CHUNK_PATH, MANIFEST_PATH
from hibiscustray.web import ClientResponse, HttpClient
from hibiscustray.weights import Manifest, make_version_manifest

OK = 200
MISSING_STATUSES = (404, 410)
CALL_TIMEOUT_S = 3.0
"""A chunk takes tens of milliseconds on an idle link, and several requests share the link."""
CONNECT_TIMEOUT_S = 0.5
MAX_MANIFEST_B = 4 * 1024 * 1024
"""Longest manifest: digests of over 60,000 chunks."""
MAX_ERROR_B = 64 * 1024


class _Manifest(msgspec.Struct, frozen=True, rename="camel"):
    model: str
    version: int
    chunk_bytes: ExactNumber
    # SHA-256 of each chunk as hexadecimal text.
    digests: tuple[str, ...]


class PlatformOrigin:
    """Reads manifests and chunks at an address that may change with the configuration."""

    def __init__(self, find_address: Callable[[], str | None]) -> None:
        self._find_address = find_address

    def read_manifest(self, model: str, version: int) -> Manifest:
        """Return the manifest of one version of a model.

        Raises `ObjectMissing`, `OriginUnavailable` or `ManifestInvalid`.
        """
        response = self._get(f"{MANIFEST_PATH}{model}?version={version}", MAX_MANIFEST_B)
        try:
            wire = decode_json(response.body, _Manifest)
        except RecordInvalid as error:
            raise ManifestInvalid(f"{model} {version}: {error}") from error
        if (wire.model, wire.version) != (model, version):
            raise ManifestInvalid(f"the manifest does not describe {model} {version}")
        return make_version_manifest(f"{model}?version={version}", wire.chunk_bytes, wire.digests)

    def read_range(self, path: str, start: int, length: int) -> bytes:
        """Return the bytes of one chunk; raise `ObjectMissing` or `OriginUnavailable`.

        All chunks of a version have the same size, so the start of a range gives the chunk index.
        """
        return self._get(f"{CHUNK_PATH}{path}&num={start // length}", length).body

    def _get(self, path: str, max_b: int) -> ClientResponse:
        address = self._find_address()
        if not address:
            raise OriginUnavailable("the configuration contains no weights origin")
        try:
            # Each call opens a new connection, so a late response cannot be read by the next call.
            client = HttpClient(f"http://{address}", CALL_TIMEOUT_S, max_idle_connections=0)
            max_b = max(max_b, MAX_ERROR_B)
            response = client.call(
                "GET", path, connect_timeout_s=CONNECT_TIMEOUT_S, max_body_b=max_b
            )
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise OriginUnavailable(str(error)) from error
        if response.status in MISSING_STATUSES:
            raise ObjectMissing(path)
        if response.status != OK:
            raise OriginUnavailable(f"the origin returned HTTP status {response.status}")
        return response
