"""Lookup of manifests in the cache, the object store and at peers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from hibiscustray.exceptions import ObjectMissing, PeerError, StoreUnavailable, WeightsError
from hibiscustray.peers import PeerPool
from hibiscustray.protocols import ObjectStore
from hibiscustray.weights.cache import ChunkCache
from hibiscustray.weights.manifest import Manifest, decode_manifest
from hibiscustray.weights.publishing import manifest_key

CALL_TIMEOUT_S = 1.0


class ManifestSource(Protocol):
    """Reads manifests by digest and checks manifests that peers send."""

    def find(self, digest: str) -> Manifest | None:
        """Return a manifest, or None if it is not available now; raise `ManifestInvalid`."""
        ...

    def check(self, body: bytes, digest: str) -> Manifest:
        """Decode a manifest that a peer sent for a version; raise `ManifestInvalid`."""
        ...


class StoredManifests:
    """Reads manifests from the object store, where each is stored under its own digest."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    def find(self, digest: str) -> Manifest | None:
        """Return a manifest, or None if the store is unavailable or does not have it."""
        try:
            return decode_manifest(self._objects.get(manifest_key(digest)), digest)
        except (StoreUnavailable, ObjectMissing):
            return None

    def check(self, body: bytes, digest: str) -> Manifest:
        """Decode a manifest and check that it matches its digest; raise `ManifestInvalid`."""
        return decode_manifest(body, digest)


class ManifestLookup:
    """Looks a manifest up in the cache first, then at its source, then at peers."""

    def __init__(self, cache: ChunkCache, source: ManifestSource, peers: PeerPool) -> None:
        self._cache = cache
        self._source = source
        self._peers = peers

    def find(self, digest: str, addresses: Iterable[str]) -> Manifest | None:
        """Return a manifest, or None if it is not available now; raise `ManifestInvalid`."""
        known = self._cache.manifest(digest)
        if known is not None:
            return known
        return self._source.find(digest) or self.find_at_peers(digest, addresses)

    def find_at_peers(self, digest: str, addresses: Iterable[str]) -> Manifest | None:
        """Return the manifest that the first of the given peers to have it sends, or None."""
        for address in addresses:
            try:
                reply = self._peers.get(address).read_manifest(digest, CALL_TIMEOUT_S)
                if reply.body:
                    return self._source.check(reply.body, digest)
            except (PeerError, WeightsError):
                continue
        return None
