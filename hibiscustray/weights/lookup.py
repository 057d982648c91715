"""Finding of a manifest by its digest: in the cache, the object store or at a peer."""

from __future__ import annotations

from collections.abc import Iterable

from hibiscustray.exceptions import ObjectMissing, PeerError, StoreUnavailable, WeightsError
from hibiscustray.peers import PeerPool
from hibiscustray.protocols import ObjectStore
from hibiscustray.weights.cache import ChunkCache
from hibiscustray.weights.manifest import Manifest, decode_manifest
from hibiscustray.weights.publishing import manifest_key

CALL_TIMEOUT_S = 1.0


class ManifestLookup:
    """Looks a manifest up wherever it may be."""

    def __init__(self, cache: ChunkCache, objects: ObjectStore, peers: PeerPool) -> None:
        self._cache = cache
        self._objects = objects
        self._peers = peers

    def find(self, digest: str, addresses: Iterable[str]) -> Manifest | None:
        """Return a manifest, or None if it cannot be had now; raise `ManifestInvalid`."""
        known = self._cache.manifest(digest)
        if known is not None:
            return known
        try:
            return decode_manifest(self._objects.get(manifest_key(digest)), digest)
        except (StoreUnavailable, ObjectMissing):
            return self._ask_peers(digest, addresses)

    def _ask_peers(self, digest: str, addresses: Iterable[str]) -> Manifest | None:
        for address in addresses:
            try:
                reply = self._peers.get(address).read_manifest(digest, CALL_TIMEOUT_S)
                if reply.body:
                    return decode_manifest(reply.body, digest)
            except (PeerError, WeightsError):
                continue
        return None
