"""Shaped links: every VM's up and down, the origin's, and one each way between two regions.

They bound what agents reach over loopback, whatever the agents themselves do.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

from hibiscustray.composition import LinkWrappers
from hibiscustray.exceptions import OriginUnavailable, PeerConnectionLost
from hibiscustray.peers import ChunkReply, ChunkRequest, PeerPool
from hibiscustray.protocols import Origin
from hibiscustray.weights import LinkRateLimiter

ORIGIN = "origin"
ORIGIN_TIMEOUT_S = 10.0
STALL_CHECK_S = 0.05


@dataclass(frozen=True)
class LinkShape:
    """Rates and one-way delays; a region pair has a rate in each direction."""

    vm_mbit_s: float
    region_mbit_s: float
    zone_delay_s: float = 0.0005
    region_delay_s: float = 0.001


class ShapedLinks:
    """Carries chunks between VMs at the links' rates, and does the links' faults."""

    def __init__(self, shape: LinkShape, origin_region: str) -> None:
        self._shape = shape
        self._regions: dict[str, str] = {ORIGIN: origin_region}
        self._names: dict[str, str] = {}
        self._up: dict[str, LinkRateLimiter] = {}
        self._down: dict[str, LinkRateLimiter] = {}
        self._pairs: dict[tuple[str, str], LinkRateLimiter] = {}
        self._lock = threading.Lock()
        self.stalled: set[str] = set()
        self.corrupting: set[str] = set()
        self.region_bytes: dict[tuple[str, str], int] = {}
        self.messages = 0

    def add_vm(self, name: str, region: str) -> LinkWrappers:
        """Add a VM and return what stands between its agent and the links."""
        self._regions[name] = region
        self._up[name] = LinkRateLimiter(self._shape.vm_mbit_s)
        self._down[name] = LinkRateLimiter(self._shape.vm_mbit_s)
        return LinkWrappers(
            peers=lambda pool: ShapedPeerPool(self, name, pool),
            origin=lambda origin: ShapedOrigin(self, name, origin),
        )

    def add_address(self, name: str, address: str) -> None:
        """Note at which address a VM's agent listens."""
        self._names[address] = name

    def find_name(self, address: str) -> str:
        """Return the VM at an address."""
        return self._names[address]

    def count_message(self) -> None:
        """Count one call between agents."""
        with self._lock:
            self.messages += 1

    def wait_out_stall(self, names: tuple[str, ...], timeout_s: float) -> None:
        """Return when no link is stalled; raise `PeerConnectionLost` at the timeout."""
        deadline = time.monotonic() + timeout_s
        while self.stalled.intersection(names):
            if time.monotonic() > deadline:
                raise PeerConnectionLost("no bytes came")
            time.sleep(STALL_CHECK_S)

    def transfer(self, sender: str, receiver: str, size: int, timeout_s: float) -> None:
        """Take the time that bytes take from a VM to another."""
        pair = (self._regions[sender], self._regions[receiver])
        delay = self._shape.zone_delay_s
        self.wait_out_stall((sender, receiver), timeout_s)
        if sender != ORIGIN:
            self._up[sender].wait_for_start(size)
        if pair[0] != pair[1]:
            delay = self._shape.region_delay_s
            self._find_pair(pair).wait_for_end(size)
            with self._lock:
                self.region_bytes[pair] = self.region_bytes.get(pair, 0) + size
        self._down[receiver].wait_for_end(size)
        time.sleep(2 * delay)
        self.wait_out_stall((sender, receiver), timeout_s)

    def _find_pair(self, pair: tuple[str, str]) -> LinkRateLimiter:
        with self._lock:
            if pair not in self._pairs:
                self._pairs[pair] = LinkRateLimiter(self._shape.region_mbit_s)
            return self._pairs[pair]


class ShapedPeerPool(PeerPool):
    """The peers of one VM behind the links."""

    def __init__(self, links: ShapedLinks, own: str, pool: PeerPool) -> None:
        super().__init__()
        self._links = links
        self._own = own
        self._pool = pool

    def get(self, address: str) -> ShapedPeerClient:
        """Return the client of an address, behind the links."""
        return ShapedPeerClient(self._links, self._own, address, self._pool.get(address))

    def retire_connection(self, address: str) -> None:
        """Forget the connection to an address."""
        self._pool.retire_connection(address)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


class ShapedPeerClient:
    """One peer behind the links; only chunks take bandwidth, all calls may stall."""

    def __init__(self, links: ShapedLinks, own: str, address: str, client) -> None:
        self._links = links
        self._own = own
        self._peer = links.find_name(address)
        self._client = client

    def read_chunk(self, request: ChunkRequest, timeout_s: float) -> ChunkReply:
        """Return a chunk once its bytes have passed the links."""
        started = time.monotonic()
        self._links.count_message()
        self._links.wait_out_stall((self._own, self._peer), timeout_s)
        reply = self._client.read_chunk(request, timeout_s)
        if not reply.data:
            return reply
        self._links.transfer(self._peer, self._own, len(reply.data), timeout_s)
        if time.monotonic() - started > timeout_s:
            raise PeerConnectionLost("the chunk came too late")
        if self._peer in self._links.corrupting:
            data = bytes([reply.data[0] ^ 1]) + reply.data[1:]
            return ChunkReply(data, busy_s=reply.busy_s, have=reply.have)
        return reply

    def read_holdings(self, request, timeout_s: float):
        """Return the peer's holdings."""
        return self._call("read_holdings", timeout_s, request)

    def read_manifest(self, digest: str, timeout_s: float):
        """Return a manifest."""
        return self._call("read_manifest", timeout_s, digest)

    def read_revision(self, timeout_s: float):
        """Return the peer's revision."""
        return self._call("read_revision", timeout_s)

    def exchange(self, message, timeout_s: float):
        """Swap heartbeats."""
        return self._call("exchange", timeout_s, message)

    def _call(self, method: str, timeout_s: float, *arguments):
        self._links.count_message()
        self._links.wait_out_stall((self._own, self._peer), timeout_s)
        return getattr(self._client, method)(*arguments, timeout_s)


class ShapedOrigin:
    """The origin behind the links of one VM."""

    def __init__(self, links: ShapedLinks, own: str, origin: Origin) -> None:
        self._links = links
        self._own = own
        self._origin = origin

    def read_range(self, path: str, start: int, length: int) -> bytes:
        """Return bytes of a file once they have passed the links."""
        data = self._origin.read_range(path, start, length)
        try:
            self._links.transfer(ORIGIN, self._own, len(data), ORIGIN_TIMEOUT_S)
        except PeerConnectionLost as error:
            raise OriginUnavailable(str(error)) from error
        return data

    def close(self) -> None:
        """Close the idle connections."""
        self._origin.close()
