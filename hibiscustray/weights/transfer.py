"""Transfer of one version into the cache by worker threads and a thread that polls peers.

Peers are polled for their holdings: the chunks that they hold or fetch.
"""

from __future__ import annotations

import logging
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import FIRST_EXCEPTION, ThreadPoolExecutor, wait
from dataclasses import dataclass

from hibiscustray.exceptions import (
    ChunkCorrupt,
    ChunkMissing,
    ObjectMissing,
    OriginUnavailable,
    PeerError,
    TransferOvertaken,
)
from hibiscustray.membership import MemberView
from hibiscustray.peers import ChunkReply, ChunkRequest, HoldingsReply, HoldingsRequest, PeerPool
from hibiscustray.protocols import ObjectStore, Origin
from hibiscustray.telemetry import Metrics
from hibiscustray.weights.arrivals import ArrivalSummary, ChunkSource
from hibiscustray.weights.cache import ChunkCache, decode_bitmap, list_chunks
from hibiscustray.weights.lookup import ManifestLookup, ManifestSource, StoredManifests
from hibiscustray.weights.manifest import Manifest
from hibiscustray.weights.plan import choose_origin_fetchers
from hibiscustray.weights.relay import ChunkRelay
from hibiscustray.weights.scheduling import (
    MAX_IMPORTS,
    MAX_ORIGIN_FETCHES,
    FetchJob,
    FetchLimits,
    FetchScheduler,
    Objective,
    OriginFetch,
    PeerFetch,
)
from hibiscustray.weights.swarm import ReplicaSelector, Swarm, SwarmRegistry

log = logging.getLogger(__name__)

WORKERS = 6
IDLE_WAIT_S = 0.1
CALL_TIMEOUT_S = 1.0
MIN_CHUNK_TIMEOUT_S = 3.0
MAX_CHUNK_TIMEOUT_S = 30.0
INITIAL_CHUNK_TIMEOUT_S = 10.0
"""Timeout of a request for a chunk until one of the same kind, import or not, has succeeded."""
CHUNK_TIMEOUT_FACTOR = 5.0
SMOOTHING_FACTOR = 0.2
"""Weight of the newest duration in the moving average of request durations."""
STALL_PAUSE_S = 5.0
FAILURE_PAUSE_S = 2.0
MIN_BUSY_PAUSE_S = 0.02
MANIFEST_RETRY_S = 0.2
ORIGIN_RETRY_S = 0.5
ORIGIN_CORRUPT_RETRY_S = 5.0
PEER_MANIFEST_WAIT_S = 1.0
"""Time for which agents that fetch nothing from the origin ask its fetchers for the manifest."""
MAX_CORRUPT_COUNT = 5
"""Number of corrupt copies of one chunk after which the manifest itself is taken for corrupt."""
START_PEERS = 3
ANNOUNCE_PEERS = 3
HOLDINGS_POLL_INTERVAL_S = 1.0
INITIAL_HOLDINGS_POLL_INTERVAL_S = 0.25
INITIAL_HOLDINGS_POLL_SHARE = 0.1
"""Share of the chunks held below which peers are polled at the initial interval."""
FALLBACK_STEP_S = 4.0
MAX_TAKEOVERS = 2
"""Number of chunks that one agent takes over at a time."""
MAX_FALLBACK_PEERS = 8
"""Number of peers queried in one pass after which the pass takes over no further chunks."""


@dataclass(frozen=True)
class TransferTuning:
    """Timeouts and intervals of a transfer in seconds, and its numbers of concurrent requests.

    The timeouts bound the wait for one chunk, `initial_timeout_s` until a request has succeeded.
    Chunks are passed on without a request; they are requested after `pull_delay_s`, or if nothing
    has arrived for `idle_s`.
    After `fallback_step_s` without a new chunk in the region, agents take over chunks that their
    fetchers have not delivered.
    """

    initial_timeout_s: float
    min_timeout_s: float
    stall_pause_s: float
    holdings_poll_interval_s: float
    fallback_step_s: float
    corrupt_pause_s: float
    workers: int = WORKERS
    requests_per_peer: int = 1
    max_origin_fetches: int = MAX_ORIGIN_FETCHES
    max_imports: int = MAX_IMPORTS
    pull_delay_s: float = 0.0
    idle_s: float = 0.0


def make_default_tuning() -> TransferTuning:
    """Return the tuning for versions whose transfer takes minutes."""
    return TransferTuning(
        INITIAL_CHUNK_TIMEOUT_S,
        MIN_CHUNK_TIMEOUT_S,
        STALL_PAUSE_S,
        HOLDINGS_POLL_INTERVAL_S,
        FALLBACK_STEP_S,
        ORIGIN_CORRUPT_RETRY_S,
    )


@dataclass(frozen=True)
class TransferEnvironment:
    """The services that all transfers of one agent share."""

    view: MemberView
    peers: PeerPool
    objects: ObjectStore | None
    origin: Origin
    cache: ChunkCache
    swarms: SwarmRegistry
    metrics: Metrics
    origin_region: str = ""
    manifests: ManifestSource | None = None
    """Source of manifests; the object store by default."""
    tuning: TransferTuning | None = None
    relay: ChunkRelay | None = None
    """Passes new chunks on; without it, agents request all chunks."""


@dataclass(frozen=True)
class TransferRequest:
    """A version to fetch, the replicas that exchange its chunks, and the objective.

    The objective is to minimize either the time or the bytes read from the origin. `is_obsolete`
    tells, given the seconds since the last new chunk, whether to give the transfer up.
    """

    digest: str
    selector: ReplicaSelector
    objective: Objective = "time"
    is_obsolete: Callable[[float], bool] = lambda _: False


class Transfer:
    """Fetches and verifies all chunks of one version into the cache."""

    def __init__(self, environment: TransferEnvironment, request: TransferRequest) -> None:
        self._env = environment
        self._request = request
        self.digest = request.digest
        self._random = random.Random(f"{environment.view.own.id}/{request.digest}")
        self._stopping = threading.Event()
        self._swarm: Swarm | None = None

    def summarize(self) -> ArrivalSummary | None:
        """Return where chunks came from and when, None before the manifest is known."""
        return self._swarm.arrivals.summarize() if self._swarm is not None else None

    def cancel(self) -> None:
        """Stop the transfer, for example because another version has superseded it."""
        self._stopping.set()

    def run(self, on_progress: Callable[[int, int], None] | None = None) -> Manifest:
        """Fetch all chunks and return the manifest.

        Raises `TransferOvertaken` if the transfer is cancelled first, `CacheFull` or
        `ManifestInvalid`.
        """
        manifest = self._find_manifest()
        self._env.cache.add_version(self.digest, manifest)
        self._swarm = swarm = self._env.swarms.add(self._make_swarm(manifest))
        tuning = self._env.tuning or make_default_tuning()
        scheduler = FetchScheduler(
            swarm,
            self._env.view,
            self._request.objective,
            self._env.origin_region,
            FetchLimits(
                tuning.requests_per_peer,
                tuning.max_origin_fetches,
                tuning.max_imports,
                tuning.pull_delay_s,
                tuning.idle_s,
                tuning.workers,
            ),
        )
        run = _Run(self, self._env, manifest, swarm, scheduler, on_progress)
        if not run.is_done():
            run.run_threads()
        if not self._env.cache.is_complete(self.digest):
            # Peers must not wait for chunks that this agent no longer fetches.
            swarm.close()
            raise TransferOvertaken(self.digest[:12])
        return manifest

    @property
    def is_cancelled(self) -> bool:
        """Return whether the transfer was cancelled."""
        return self._stopping.is_set()

    def is_obsolete(self, idle_s: float) -> bool:
        """Return whether to give the transfer up, given the seconds since the last new chunk."""
        return self._request.is_obsolete(idle_s)

    def wait(self, seconds: float) -> None:
        """Wait for some seconds, or until the transfer is cancelled."""
        self._stopping.wait(seconds)

    def _find_manifest(self) -> Manifest:
        source = self._env.manifests or StoredManifests(self._env.objects)
        lookup = ManifestLookup(self._env.cache, source, self._env.peers)
        fetchers = self._find_fetchers() if self._env.relay is not None else []
        waits_until = time.monotonic() + PEER_MANIFEST_WAIT_S
        while not self._stopping.is_set():
            if fetchers and time.monotonic() < waits_until:
                found = lookup.find_at_peers(self.digest, fetchers)
            else:
                found = lookup.find(self.digest, self._sample_replicas())
            if found is not None:
                return found
            self._stopping.wait(MANIFEST_RETRY_S)
        raise TransferOvertaken(self.digest[:12])

    def _find_fetchers(self) -> list[str]:
        """Return the region's fetchers in random order, none if this agent is one of them."""
        own = self._env.view.own
        members = {m.id: m for m in self._request.selector.find(self._env.view)}
        ids = {m.id for m in members.values() if m.region == own.region} | {own.id}
        regions = {m.region for m in members.values()} | {own.region}
        fetchers = choose_origin_fetchers(self.digest, ids, len(regions))
        if own.id in fetchers:
            return []
        return [members[i].peer_address for i in self._random.sample(fetchers, len(fetchers))]

    def _sample_replicas(self) -> list[str]:
        own = self._env.view.own.id
        others = [m for m in self._request.selector.find(self._env.view) if m.id != own]
        chosen = self._random.sample(others, min(START_PEERS, len(others)))
        return [member.peer_address for member in chosen]

    def _make_swarm(self, manifest: Manifest) -> Swarm:
        cache, digest = self._env.cache, self.digest
        return Swarm(
            self._env.view,
            self._request.selector,
            digest,
            lambda: cache.held(digest),
            manifest.count,
            self._env.origin_region,
        )


class _Run:
    """Runs the threads of one transfer and holds their shared state."""

    def __init__(
        self,
        transfer: Transfer,
        environment: TransferEnvironment,
        manifest: Manifest,
        swarm: Swarm,
        scheduler: FetchScheduler,
        on_progress: Callable[[int, int], None] | None,
    ) -> None:
        self._transfer = transfer
        self._env = environment
        self._digest = transfer.digest
        self._manifest = manifest
        self._swarm = swarm
        self._scheduler = scheduler
        self._on_progress = on_progress
        self._tuning = environment.tuning or make_default_tuning()
        # Mean durations of requests to peers, keyed by whether the request is an import.
        self._mean_s = {False: 0.0, True: 0.0}
        self._origin_paused_until = 0.0
        self._scheduling_lock = threading.Lock()
        self._available = 0
        self._last_new_chunk_at = time.monotonic()
        self._overdue_since: dict[int, float] = {}
        self._corrupt_counts: Counter[int] = Counter()

    def run_threads(self) -> None:
        """Run all threads until the version is complete or the transfer is cancelled."""
        for address in self._swarm.sample_peers(START_PEERS):
            self._exchange_holdings(address)
        self._swarm.record_initial_chunks()
        workers = self._tuning.workers
        pool = ThreadPoolExecutor(workers + 1, thread_name_prefix="transfer")
        threads = [pool.submit(self._run_holdings_poller)]
        threads += [pool.submit(self._run_worker) for _ in range(workers)]
        try:
            while not self.is_done() and not all(thread.done() for thread in threads):
                wait(threads, timeout=IDLE_WAIT_S, return_when=FIRST_EXCEPTION)
                if self._transfer.is_obsolete(self._swarm.arrivals.idle_s):
                    self._transfer.cancel()
                for thread in threads:
                    if thread.done():
                        thread.result()
        except BaseException:
            self._transfer.cancel()
            raise
        finally:
            # Running calls end by their own timeouts; their results are not needed any more.
            pool.shutdown(wait=False)

    def is_done(self) -> bool:
        """Return whether the version is complete or the transfer is cancelled."""
        return self._transfer.is_cancelled or self._env.cache.is_complete(self._digest)

    def _held(self) -> int:
        return self._env.cache.held(self._digest)

    def _run_worker(self) -> None:
        while True:
            with self._scheduling_lock:
                job = self._wait_for_job()
            if job is None:
                return
            try:
                self._run_job(job)
            finally:
                self._scheduler.finish(job)

    def _wait_for_job(self) -> FetchJob | None:
        """Wait for the next job; return None when the transfer is done."""
        while not self.is_done():
            job = self._scheduler.next_job(self._held(), self._mean_s[False])
            if job is not None:
                return job
            with self._swarm.changed:
                self._swarm.changed.wait(IDLE_WAIT_S)
        return None

    def _run_job(self, job: FetchJob) -> None:
        try:
            match job:
                case OriginFetch(index):
                    self._fetch_from_origin(index)
                case PeerFetch(index, address, is_import):
                    self._fetch_from_peer(index, address, is_import)
        except ChunkCorrupt as error:
            self._handle_corrupt_chunk(error)
        except ChunkMissing:
            # The version was evicted from the cache.
            self._transfer.cancel()
        if self._on_progress is not None:
            self._on_progress(self._held().bit_count(), self._manifest.count)

    def _fetch_from_origin(self, index: int) -> None:
        start, length = self._manifest.locate_chunk(index)
        self._transfer.wait(max(0.0, self._origin_paused_until - time.monotonic()))
        if self.is_done():
            return
        started = time.monotonic()
        self._swarm.record_fetch_start(index)
        try:
            data = self._env.origin.read_range(self._manifest.path, start, length)
        except (OriginUnavailable, ObjectMissing):
            self._env.metrics.count("origin_unavailable_total")
            self._swarm.arrivals.record_failure("origin")
            self._swarm.record_origin_response(is_success=False)
            self._transfer.wait(ORIGIN_RETRY_S * self._choose_jitter())
            return
        finally:
            self._swarm.record_fetch_end(index)
        self._swarm.record_origin_response(is_success=True)
        self._env.metrics.count("origin_bytes_total", amount=len(data))
        self._env.cache.put(self._digest, index, data, "origin")
        self._swarm.arrivals.record(ChunkSource.ORIGIN, time.monotonic() - started)
        self._spread(index)

    def _fetch_from_peer(self, index: int, address: str, is_import: bool) -> None:
        started = time.monotonic()
        request = ChunkRequest(self._digest, index, self._swarm.make_have_sets())
        if is_import:
            self._swarm.record_fetch_start(index)
        try:
            reply = self._env.peers.get(address).read_chunk(
                request, self._compute_timeout(is_import)
            )
        except PeerError:
            self._env.metrics.count("chunk_requests_failed_total")
            self._swarm.arrivals.record_failure("peer")
            self._scheduler.window.record_failure()
            # The connection may be dead although the peer can be reached over a new one.
            self._env.peers.retire_connection(address)
            self._swarm.record_failure(address, self._tuning.stall_pause_s)
            return
        finally:
            if is_import:
                self._swarm.record_fetch_end(index)
        self._swarm.record_response(address)
        self._swarm.merge_have_sets(reply.have)
        if reply.data:
            self._scheduler.window.record_arrival(time.monotonic() - started)
            self._store_chunk(index, address, is_import, reply, started)
        elif reply.is_busy:
            self._swarm.arrivals.record_failure("busy")
            self._swarm.pause(address, MIN_BUSY_PAUSE_S + reply.busy_s * self._choose_jitter())
        else:
            self._swarm.replace_have_set(address, reply.have[0].bitmap if reply.have else b"")

    def _store_chunk(
        self, index: int, address: str, is_import: bool, reply: ChunkReply, started: float
    ) -> None:
        is_repeat = self._held() >> index & 1
        self._env.cache.put(self._digest, index, reply.data, address)
        taken_s = time.monotonic() - started
        if is_repeat:
            self._env.metrics.count("chunks_repeated_total")
            self._swarm.arrivals.record_failure("repeated")
        else:
            source = ChunkSource.IMPORTED if is_import else ChunkSource.REQUESTED
            self._swarm.arrivals.record(source, taken_s)
        mean_s = self._mean_s[is_import] or taken_s
        self._mean_s[is_import] = mean_s + SMOOTHING_FACTOR * (taken_s - mean_s)
        if is_import:
            self._env.metrics.count("import_bytes_total", amount=len(reply.data))
            self._spread(index)
        elif self._env.relay is not None and not self._swarm.is_initial(index):
            # The members that were to get it from this agent still wait for it.
            self._env.relay.forward(self._digest, index)

    def _compute_timeout(self, is_import: bool) -> float:
        mean_s = self._mean_s[is_import]
        if not mean_s:
            return self._tuning.initial_timeout_s
        timeout_s = CHUNK_TIMEOUT_FACTOR * mean_s
        return min(MAX_CHUNK_TIMEOUT_S, max(self._tuning.min_timeout_s, timeout_s))

    def _handle_corrupt_chunk(self, error: ChunkCorrupt) -> None:
        self._env.metrics.count("chunks_corrupt_total", {"sender": error.sender})
        log.warning("corrupt chunk rejected", extra={"chunk": error.index, "sender": error.sender})
        self._corrupt_counts[error.index] += 1
        if self._corrupt_counts[error.index] >= MAX_CORRUPT_COUNT:
            log.warning("manifest discarded", extra={"chunk": error.index})
            self._env.cache.discard(self._digest)
            self._transfer.cancel()
        if error.sender == "origin":
            self._origin_paused_until = time.monotonic() + self._tuning.corrupt_pause_s
        else:
            self._swarm.distrust(error.sender)

    def _spread(self, index: int) -> None:
        """Pass a chunk that is new in the region on, or announce it to a few peers."""
        if self._env.relay is not None:
            self._env.relay.forward(self._digest, index, is_source=True)
            return
        for address in self._swarm.sample_peers(ANNOUNCE_PEERS):
            self._exchange_holdings(address)

    def _exchange_holdings(self, address: str) -> HoldingsReply | None:
        request = HoldingsRequest(self._digest, self._swarm.make_have_sets())
        try:
            reply = self._env.peers.get(address).read_holdings(request, CALL_TIMEOUT_S)
        except PeerError:
            self._swarm.record_failure(address, FAILURE_PAUSE_S)
            return None
        self._swarm.record_response(address)
        self._swarm.merge_have_sets(reply.have)
        self._swarm.replace_have_set(address, reply.bitmap)
        return reply

    def _run_holdings_poller(self) -> None:
        while not self.is_done():
            for address in self._swarm.sample_peers(len(self._swarm.members().by_region)):
                self._exchange_holdings(address)
            self._take_over_missing_chunks()
            is_start = self._held().bit_count() < INITIAL_HOLDINGS_POLL_SHARE * self._manifest.count
            interval = (
                INITIAL_HOLDINGS_POLL_INTERVAL_S
                if is_start
                else self._tuning.holdings_poll_interval_s
            )
            self._transfer.wait(interval * self._choose_jitter())

    def _take_over_missing_chunks(self) -> None:
        """Take over chunks that their fetchers have not delivered.

        A chunk is overdue once later ones have become available, or if no new chunk has for one
        fallback step. Each further step lets the next-ranked fetcher take over. In an outage of
        the origin nobody takes over more than a few chunks, or all would fetch all of them later.
        """
        now = time.monotonic()
        region = self._env.view.own.region
        available = self._swarm.find_available_chunks(region) | self._held()
        if available & ~self._available:
            self._last_new_chunk_at = now
        self._available = available
        idle_s = now - self._last_new_chunk_at
        frontier = (available | self._swarm.find_known_chunks()).bit_length()
        lookahead = self._scheduler.lookahead
        if self._swarm.is_failing_at_origin:
            return
        replies: dict[str, HoldingsReply | None] = {}
        for index in list_chunks(self._scheduler.find_due_fetches() & ~available):
            if index + lookahead < frontier:
                self._overdue_since.setdefault(index, now)
            waited_s = max(idle_s, now - self._overdue_since.get(index, now))
            steps = int(waited_s / self._tuning.fallback_step_s)
            under_way = self._scheduler.taken_over & ~self._held()
            if len(replies) >= MAX_FALLBACK_PEERS or under_way.bit_count() >= MAX_TAKEOVERS:
                return
            if steps > 0 and self._scheduler.rank_takeover(index) <= steps:
                self._take_over_chunk(index, replies)

    def _take_over_chunk(self, index: int, replies: dict[str, HoldingsReply | None]) -> None:
        """Take over a chunk unless a higher-ranked fetcher holds it or is fetching it."""
        for address in self._scheduler.find_better_ranked(index):
            if address not in replies:
                replies[address] = self._exchange_holdings(address)
            reply = replies[address]
            if reply is None:
                continue
            held = decode_bitmap(reply.bitmap, self._manifest.count)
            if held >> index & 1:
                self._swarm.add_chunk_peer(address)
            if (held | decode_bitmap(reply.drawing, self._manifest.count)) >> index & 1:
                return
        self._env.metrics.count("draw_fallbacks_total")
        self._scheduler.add_fetch(index)

    @staticmethod
    def _choose_jitter() -> float:
        return random.uniform(0.5, 1.0)
