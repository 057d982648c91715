"""Serves manifests, holdings and chunks to peers, and whole weights to the engine."""

from __future__ import annotations

import msgspec

from hibiscustray.exceptions import ChunkMissing
from hibiscustray.peers import (
    ChunkReply,
    ChunkRequest,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
)
from hibiscustray.telemetry import Metrics
from hibiscustray.web import Request, Response, Router
from hibiscustray.weights import ChunkCache, LinkBudget

OCTETS = "application/octet-stream"


class ChunkServer:
    """Reads from the chunk cache; uploads to peers are paced by the link budget."""

    def __init__(self, cache: ChunkCache, uplink: LinkBudget, metrics: Metrics) -> None:
        self._cache = cache
        self._uplink = uplink
        self._metrics = metrics

    def serve_manifest(self, request: ManifestRequest, context) -> ManifestReply:
        """Return an encoded manifest, empty if it is not held."""
        manifest = self._cache.manifest(request.digest)
        return ManifestReply(manifest.encode() if manifest else b"")

    def serve_holdings(self, request: HoldingsRequest, context) -> HoldingsReply:
        """Return a bitmap of the chunks held."""
        return HoldingsReply(self._cache.bitmap(request.digest))

    def serve_chunk(self, request: ChunkRequest, context) -> ChunkReply:
        """Return a chunk after its turn on the uplink."""
        try:
            data = self._cache.get(request.digest, request.index)
        except ChunkMissing:
            return ChunkReply(is_held=False)
        self._uplink.take(len(data))
        self._metrics.count("peer_bytes_total", amount=len(data))
        return ChunkReply(data)

    def add_routes(self, router: Router) -> None:
        """Register the engine's routes."""
        router.add("GET", "/weights/{digest}", self._serve_layout)
        router.add("GET", "/weights/{digest}/{index}", self._serve_engine_chunk)

    def _serve_layout(self, request: Request) -> Response:
        digest = request.groups["digest"]
        manifest = self._cache.manifest(digest)
        if manifest is None or not self._cache.is_whole(digest):
            return Response.json({"title": "not held"}, 404)
        layout = {
            "path": manifest.path,
            "size": manifest.size,
            "chunk_size": manifest.chunk_size,
            "count": manifest.count,
            "base": manifest.base,
        }
        return Response(200, msgspec.json.encode(layout))

    def _serve_engine_chunk(self, request: Request) -> Response:
        try:
            data = self._cache.get(request.groups["digest"], int(request.groups["index"]))
        except (ChunkMissing, ValueError):
            return Response.json({"title": "not held"}, 404)
        return Response(200, data, OCTETS)
