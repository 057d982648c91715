"""Distributes weights as verified chunks that agents fetch from the origin and from each other."""

from hibiscustray.weights.cache import ChunkCache
from hibiscustray.weights.lookup import ManifestSource, StoredManifests
from hibiscustray.weights.manifest import (
    Manifest,
    build_manifest,
    decode_manifest,
    make_version_manifest,
)
from hibiscustray.weights.publishing import manifest_key, publish_weights
from hibiscustray.weights.rate_limiter import LinkRateLimiter
from hibiscustray.weights.relay import ChunkRelay
from hibiscustray.weights.swarm import ReplicaSelector, Swarm, SwarmRegistry
from hibiscustray.weights.transfer import (
    Transfer,
    TransferEnvironment,
    TransferRequest,
    TransferTuning,
)

__all__ = [
    "ReplicaSelector",
    "ChunkCache",
    "ChunkRelay",
    "LinkRateLimiter",
    "Manifest",
    "ManifestSource",
    "StoredManifests",
    "Swarm",
    "SwarmRegistry",
    "Transfer",
    "TransferEnvironment",
    "TransferRequest",
    "TransferTuning",
    "build_manifest",
    "decode_manifest",
    "make_version_manifest",
    "manifest_key",
    "publish_weights",
]
