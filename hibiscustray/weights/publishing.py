"""Publication of manifests in the object store."""

from __future__ import annotations

from hibiscustray.protocols import ObjectStore
from hibiscustray.weights.manifest import Manifest


def manifest_key(digest: str) -> str:
    """Return the key of a manifest in the object store."""
    return f"manifests/{digest}"


def publish_weights(objects: ObjectStore, manifest: Manifest) -> str:
    """Store a manifest and return its digest, which names the version in a deployment."""
    digest = manifest.digest
    objects.put(manifest_key(digest), manifest.encode())
    return digest
