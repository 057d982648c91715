"""Serves manifests, holdings and chunks to peers, and complete weights to the engine."""

from __future__ import annotations

import msgspec

from hibiscustray.exceptions import ChunkCorrupt, ChunkMissing
from hibiscustray.peers import (
    ChunkPush,
    ChunkPushReply,
    ChunkReply,
    ChunkRequest,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
)
from hibiscustray.rollout import OrderGate
from hibiscustray.telemetry import Metrics
from hibiscustray.web import Request, Response, Router
from hibiscustray.weights import ChunkCache, LinkRateLimiter, Swarm, SwarmRegistry
from hibiscustray.weights.arrivals import ChunkSource
from hibiscustray.weights.cache import encode_bitmap
from hibiscustray.weights.relay import ChunkRelay

OCTET_STREAM = "application/octet-stream"
MS_PER_S = 1000
MAX_QUEUED_UPLOADS = 4
"""Uplink backlog, in chunks, above which further chunk requests are refused."""


class ChunkServer:
    """Serves from the chunk cache; uploads to peers are rate-limited and their queue is bounded."""

    def __init__(
        self,
        cache: ChunkCache,
        swarms: SwarmRegistry,
        uplink: LinkRateLimiter,
        gate: OrderGate,
        metrics: Metrics,
        relay: ChunkRelay | None = None,
    ) -> None:
        self._cache = cache
        self._swarms = swarms
        self._uplink = uplink
        self._gate = gate
        self._metrics = metrics
        self._relay = relay

    def serve_manifest(self, request: ManifestRequest, context) -> ManifestReply:
        """Return an encoded manifest, empty if it is not cached."""
        manifest = self._cache.manifest(request.digest)
        return ManifestReply(manifest.encode() if manifest else b"")

    def serve_holdings(self, request: HoldingsRequest, context) -> HoldingsReply:
        """Return the chunks held, those being fetched, and have-sets of other peers."""
        swarm = self._swarms.get(request.digest)
        held = encode_bitmap(self._cache.held(request.digest))
        if swarm is None:
            return HoldingsReply(held)
        swarm.merge_have_sets(request.have)
        fetching = encode_bitmap(swarm.find_pending_fetches())
        queued_ms = int(self._uplink.compute_backlog() * MS_PER_S)
        return HoldingsReply(held, queued_ms, fetching, swarm.make_have_sets())

    def serve_chunk(self, request: ChunkRequest, context) -> ChunkReply:
        """Return a chunk when the uplink is free for it, or a busy reply if too many are queued."""
        swarm = self._swarms.get(request.digest)
        if swarm is not None:
            swarm.merge_have_sets(request.have)
        have = swarm.make_have_sets() if swarm is not None else ()
        try:
            data = self._cache.get(request.digest, request.index)
        except ChunkMissing:
            return ChunkReply(is_held=False, have=have)
        backlog_s = self._uplink.compute_backlog()
        chunk_s = self._uplink.compute_duration(len(data))
        if backlog_s > MAX_QUEUED_UPLOADS * chunk_s:
            self._metrics.count("chunk_requests_refused_total")
            return ChunkReply(is_busy=True, busy_s=backlog_s, have=have)
        self._uplink.wait_for_start(len(data))
        self._metrics.count("peer_bytes_total", amount=len(data))
        return ChunkReply(data, busy_s=self._uplink.compute_backlog(), have=have)

    def accept_chunk(self, push: ChunkPush, context) -> ChunkPushReply:
        """Store a chunk that a peer passes on, and pass it on; ignore one of an unknown version."""
        swarm = self._swarms.get(push.digest)
        if swarm is None or swarm.is_closed:
            return ChunkPushReply(is_known=False)
        swarm.merge_have_sets(push.have)
        if not 0 <= push.index < swarm.count:
            self._metrics.count("chunk_pushes_rejected_total", {"kind": "index"})
        elif self._cache.held(push.digest) >> push.index & 1:
            swarm.arrivals.record_failure("repeated")
        else:
            self._store_chunk(push, swarm)
        return ChunkPushReply(bitmap=encode_bitmap(self._cache.held(push.digest)))

    def _store_chunk(self, push: ChunkPush, swarm: Swarm) -> None:
        try:
            self._cache.put(push.digest, push.index, push.data, "peer")
        except (ChunkCorrupt, ChunkMissing) as error:
            kind = type(error).__name__
            self._metrics.count("chunk_pushes_rejected_total", {"kind": kind})
            return
        swarm.arrivals.record(ChunkSource.PASSED_ON)
        if self._relay is not None:
            self._relay.forward(push.digest, push.index, push.is_import)

    def add_routes(self, router: Router) -> None:
        """Add the routes from which the engine reads weights."""
        router.add("GET", "/weights/{order}/{digest}", self._serve_layout)
        router.add("GET", "/weights/{order}/{digest}/{span}", self._serve_engine_chunks)

    def _serve_layout(self, request: Request) -> Response:
        digest = request.path_parameters["digest"]
        manifest = self._cache.manifest(digest)
        is_open = self._gate.is_open(int(request.path_parameters["order"]))
        if not is_open or manifest is None or not self._cache.is_complete(digest):
            return Response.json({"title": "not held"}, 404)
        layout = {
            "path": manifest.path,
            "size": manifest.size,
            "chunk_size": manifest.chunk_size,
            "count": manifest.count,
            "base": manifest.base,
        }
        return Response(200, msgspec.json.encode(layout))

    def _serve_engine_chunks(self, request: Request) -> Response:
        digest = request.path_parameters["digest"]
        try:
            first, last = (int(part) for part in request.path_parameters["span"].split("-"))
            data = b"".join(self._cache.get(digest, i) for i in range(first, last + 1))
        except (ChunkMissing, ValueError):
            return Response.json({"title": "not held"}, 404)
        return Response(200, data, OCTET_STREAM)
