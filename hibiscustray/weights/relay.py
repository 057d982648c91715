"""Passing new chunks on to other members, along the relay plan of each version."""

from __future__ import annotations

import logging
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from hibiscustray.exceptions import ChunkMissing, PeerError
from hibiscustray.peers import ChunkPush, PeerPool
from hibiscustray.telemetry import Metrics
from hibiscustray.weights.cache import ChunkCache
from hibiscustray.weights.rate_limiter import LinkRateLimiter
from hibiscustray.weights.swarm import Swarm, SwarmRegistry

log = logging.getLogger(__name__)

SENDERS = 3
"""Chunks under way at a time; their starts are spread by the rate limiter of the uplink."""
PUSH_TIMEOUT_S = 1.5
SLOW_PUSH_S = 0.4
"""Time after which a chunk that is not acknowledged shows that the link of its receiver is
congested. What is sent there after it would only wait in front of requests."""
CONGESTED_PUSH_S = 0.8
"""Time from which on an acknowledgement is so late that its sender pauses."""
PUSH_PAUSES = 4.0
"""Pause in multiples of the time that the chunk took. The members that send to the same receiver do
not know of each other."""
FAILURE_PAUSE_S = 2.0
"""Time without pull requests to a member that did not accept a chunk."""


class ChunkRelay:
    """Passes chunks on in the order in which they arrive, at the rate of the uplink.

    One chunk is under way to a member at a time, and none for some time after one that took long.
    The members behind one whose link is congested get the chunks in its place.
    """

    def __init__(
        self,
        peers: PeerPool,
        cache: ChunkCache,
        swarms: SwarmRegistry,
        uplink: LinkRateLimiter,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._cache = cache
        self._swarms = swarms
        self._uplink = uplink
        self._metrics = metrics
        self._senders = ThreadPoolExecutor(SENDERS, thread_name_prefix="relay")
        self._under_way: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}
        self._push_ended = threading.Condition()

    def stop(self) -> None:
        """Drop the chunks that are still queued; those under way end by their timeouts."""
        self._senders.shutdown(wait=False, cancel_futures=True)

    def forward(self, digest: str, index: int, is_source: bool = False) -> None:
        """Queue a new chunk for the members that this agent passes it on to.

        `is_source` tells that it came from the origin or from another region.
        """
        swarm = self._swarms.get(digest)
        if swarm is not None and not swarm.is_closed:
            self._submit(swarm, index, frozenset(), is_source)

    def _submit(self, swarm: Swarm, index: int, tried: frozenset[str], is_source: bool) -> None:
        chosen = swarm.choose_relay_targets(index, is_source, self._is_congested)
        targets = [address for address in chosen if address not in tried]
        tried = tried.union(targets)
        for address in targets:
            try:
                queued_at = time.monotonic()
                self._senders.submit(self._send, swarm, index, address, tried, is_source, queued_at)
            except RuntimeError:
                # The relay was stopped meanwhile.
                return

    def _send(
        self,
        swarm: Swarm,
        index: int,
        address: str,
        tried: frozenset[str],
        is_source: bool,
        queued_at: float,
    ) -> None:
        try:
            if swarm.is_closed or swarm.is_known_to_hold(address, index):
                return
            data = self._cache.get(swarm.digest, index)
            self._uplink.wait_for_start(len(data))
            if not self._begin_push(address):
                self._metrics.count("chunk_pushes_diverted_total")
                swarm.arrivals.record_failure("diverted")
                self._submit(swarm, index, tried, is_source)
                return
            started = time.monotonic()
            push = ChunkPush(
                swarm.digest,
                index,
                data,
                not swarm.is_in_own_region(address),
                swarm.make_have_sets(),
            )
            try:
                reply = self._peers.get(address).pass_chunk(push, PUSH_TIMEOUT_S)
            finally:
                self._end_push(address)
        except ChunkMissing:
            return
        except PeerError:
            self._metrics.count("chunk_pushes_failed_total")
            swarm.arrivals.record_failure("push")
            self._peers.retire_connection(address)
            swarm.record_failure(address, FAILURE_PAUSE_S)
            self._submit(swarm, index, tried, is_source)
            return
        except Exception:
            # The executor would keep the error to itself.
            log.exception("failed to pass a chunk on", extra={"peer": address, "chunk": index})
            return
        self._metrics.count("peer_bytes_total", amount=len(data))
        swarm.arrivals.record_sent(started - queued_at, time.monotonic() - started)
        if reply.is_known:
            swarm.record_response(address)
            swarm.replace_have_set(address, reply.bitmap)

    def _is_congested(self, address: str) -> bool:
        """Return whether the link of a member is congested, as far as this agent knows."""
        with self._push_ended:
            now = time.monotonic()
            is_slow = now - self._under_way.get(address, now) > SLOW_PUSH_S
            return is_slow or now < self._paused_until.get(address, now)

    def _begin_push(self, address: str) -> bool:
        """Wait for the chunk under way to a member; return False if its link is congested."""
        with self._push_ended:
            while (started := self._under_way.get(address)) is not None:
                left_s = started + SLOW_PUSH_S - time.monotonic()
                if left_s <= 0:
                    return False
                self._push_ended.wait(left_s)
            if self._is_congested(address):
                return False
            self._under_way[address] = time.monotonic()
            return True

    def _end_push(self, address: str) -> None:
        with self._push_ended:
            now = time.monotonic()
            taken_s = now - self._under_way.pop(address)
            if taken_s > CONGESTED_PUSH_S:
                self._paused_until[address] = now + PUSH_PAUSES * taken_s
            self._push_ended.notify_all()
