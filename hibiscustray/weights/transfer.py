"""Fetching of one version: which chunk is drawn from the origin, which from whom."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import xxhash

from hibiscustray.exceptions import (
    ChunkCorrupt,
    ObjectMissing,
    OriginUnavailable,
    PeerError,
    StoreUnavailable,
    TransferOvertaken,
    WeightsError,
)
from hibiscustray.membership import MemberView
from hibiscustray.peers import PeerPool
from hibiscustray.platform import ObjectStore, Origin
from hibiscustray.telemetry import Metrics
from hibiscustray.weights.cache import ChunkCache, read_bitmap
from hibiscustray.weights.manifest import Manifest, decode_manifest
from hibiscustray.weights.publishing import manifest_key

log = logging.getLogger(__name__)

WORKERS = 6
HOLDINGS_INTERVAL_S = 0.2
HOLDINGS_PEERS = 8
FALLBACK_STEP_S = 4.0
IDLE_WAIT_S = 0.05
CHUNK_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class TransferEnvironment:
    """What every transfer of one agent shares."""

    view: MemberView
    peers: PeerPool
    objects: ObjectStore
    origin: Origin
    cache: ChunkCache
    metrics: Metrics


class Transfer:
    """Brings one version into the cache, whole and verified."""

    def __init__(
        self, environment: TransferEnvironment, service: str, digest: str, seed: str = ""
    ) -> None:
        self._env = environment
        self._service = service
        self.digest = digest
        self._random = random.Random(seed or environment.view.own.id)
        self._lock = threading.Lock()
        self._holders: dict[int, set[str]] = {}
        self._in_flight: set[int] = set()
        self._distrusted: set[str] = set()
        self._started_at = time.monotonic()
        self._stopping = threading.Event()

    def cancel(self) -> None:
        """Stop the transfer, since another version is wanted."""
        self._stopping.set()

    def run(self, on_progress: Callable[[int, int], None] | None = None) -> Manifest:
        """Fetch until whole; raise `TransferOvertaken`, `CacheFull` or `ManifestInvalid`."""
        manifest = self._fetch_manifest()
        self._env.cache.open(self.digest, manifest)
        self._started_at = time.monotonic()
        with ThreadPoolExecutor(WORKERS + 1, thread_name_prefix="transfer") as pool:
            watching = pool.submit(self._watch_holdings, manifest)
            workers = [pool.submit(self._work, manifest, on_progress) for _ in range(WORKERS)]
            for worker in workers:
                worker.result()
            watching.result()
        if not self._env.cache.is_whole(self.digest):
            raise TransferOvertaken(self.digest[:12])
        return manifest

    def _fetch_manifest(self) -> Manifest:
        known = self._env.cache.manifest(self.digest)
        while known is None:
            if self._stopping.is_set():
                raise TransferOvertaken(self.digest[:12])
            try:
                body = self._env.objects.get(manifest_key(self.digest))
                return decode_manifest(body, self.digest)
            except (StoreUnavailable, ObjectMissing):
                known = self._fetch_manifest_from_peer()
            if known is None:
                self._stopping.wait(HOLDINGS_INTERVAL_S)
        return known

    def _fetch_manifest_from_peer(self) -> Manifest | None:
        for peer in self._choose_peers():
            try:
                reply = self._env.peers.get(peer).read_manifest(self.digest, CALL_TIMEOUT_S)
                if reply.body:
                    return decode_manifest(reply.body, self.digest)
            except (PeerError, WeightsError):
                continue
        return None

    def _is_done(self) -> bool:
        return self._stopping.is_set() or self._env.cache.is_whole(self.digest)

    def _watch_holdings(self, manifest: Manifest) -> None:
        while not self._is_done():
            for peer in self._choose_peers():
                try:
                    reply = self._env.peers.get(peer).read_holdings(self.digest, CALL_TIMEOUT_S)
                except PeerError:
                    self._forget_holder(peer)
                    continue
                with self._lock:
                    for index in read_bitmap(reply.bitmap, manifest.count):
                        self._holders.setdefault(index, set()).add(peer)
            self._stopping.wait(HOLDINGS_INTERVAL_S)

    def _work(self, manifest: Manifest, on_progress) -> None:
        while not self._is_done():
            choice = self._choose_chunk(manifest)
            if choice is None:
                time.sleep(IDLE_WAIT_S)
                continue
            index, peer = choice
            try:
                self._fetch_chunk(manifest, index, peer)
            finally:
                with self._lock:
                    self._in_flight.discard(index)
            if on_progress is not None:
                on_progress(len(self._env.cache.held(self.digest)), manifest.count)

    def _choose_chunk(self, manifest: Manifest) -> tuple[int, str] | None:
        held = self._env.cache.held(self.digest)
        with self._lock:
            missing = [i for i in range(manifest.count) if i not in held | self._in_flight]
            self._random.shuffle(missing)
            choice = self._choose_from_origin(missing) or self._choose_from_peers(missing)
            if choice is not None:
                self._in_flight.add(choice[0])
            return choice

    def _choose_from_origin(self, missing: list[int]) -> tuple[int, str] | None:
        ids = sorted(m.id for m in self._env.view.replicas(self._service))
        allowed_rank = int((time.monotonic() - self._started_at) / FALLBACK_STEP_S)
        for index in missing:
            if self._holders.get(index, set()) - self._distrusted:
                continue
            if rank_drawer(self.digest, index, ids, self._env.view.own.id) <= allowed_rank:
                return index, ""
        return None

    def _choose_from_peers(self, missing: list[int]) -> tuple[int, str] | None:
        rated = [(len(self._holders[i]), i) for i in missing if self._holders.get(i)]
        for _, index in sorted(rated, key=lambda pair: pair[0]):
            peers = sorted(self._holders[index] - self._distrusted)
            if peers:
                return index, self._random.choice(peers)
        return None

    def _fetch_chunk(self, manifest: Manifest, index: int, peer: str) -> None:
        start, length = manifest.span(index)
        try:
            if peer:
                reply = self._env.peers.get(peer).read_chunk(self.digest, index, CHUNK_TIMEOUT_S)
                if not reply.is_held:
                    self._forget_holder(peer)
                    return
                data, sender = reply.data, peer
            else:
                data, sender = self._env.origin.read_range(manifest.path, start, length), "origin"
                self._env.metrics.count("origin_bytes_total", amount=len(data))
            self._env.cache.put(self.digest, index, data, sender)
        except ChunkCorrupt as error:
            self._env.metrics.count("chunks_corrupt_total", {"sender": error.sender})
            with self._lock:
                self._distrusted.add(error.sender)
        except PeerError:
            self._forget_holder(peer)
        except (OriginUnavailable, ObjectMissing):
            self._env.metrics.count("origin_unavailable_total")
            self._stopping.wait(HOLDINGS_INTERVAL_S)

    def _forget_holder(self, peer: str) -> None:
        with self._lock:
            for holders in self._holders.values():
                holders.discard(peer)

    def _choose_peers(self) -> list[str]:
        own = self._env.view.own.id
        replicas = [m for m in self._env.view.replicas(self._service) if m.id != own]
        self._random.shuffle(replicas)
        return [m.peer_address for m in replicas[:HOLDINGS_PEERS]]


def rank_drawer(digest: str, index: int, ids: list[str], own: str) -> int:
    """Return this member's place among those that may draw a chunk from the origin, 0 first."""
    own_score = _score(digest, index, own)
    return sum(1 for other in ids if _score(digest, index, other) > own_score)


def _score(digest: str, index: int, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{digest}/{index}/{member}".encode())
