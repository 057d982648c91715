"""Shaped links: an uplink and a downlink per VM, and a link per direction between two regions.

They limit the rate between agents over loopback, independently of the agents' own rate limits.
The stand-in for the platform limits the rate of the origin.
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
STALL_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True)
class LinkShape:
    """Rates and one-way delays; `region_mbit_s` applies to each direction between two regions."""

    vm_mbit_s: float
    region_mbit_s: float
    zone_delay_s: float = 0.0005
    region_delay_s: float = 0.001


class ShapedLinks:
    """Delays transfers between VMs by the links' rates and simulates faults of links.

    Calls to and from the VMs in `stalled` wait and fail at their timeout. Chunks from the VMs in
    `corrupting` arrive with a changed byte.
    """

    def __init__(self, shape: LinkShape, origin_region: str) -> None:
        self._shape = shape
        self._regions: dict[str, str] = {ORIGIN: origin_region}
        self._vm_names: dict[str, str] = {}
        self._uplinks: dict[str, LinkRateLimiter] = {}
        self._downlinks: dict[str, LinkRateLimiter] = {}
        self._region_links: dict[tuple[str, str], LinkRateLimiter] = {}
        self._lock = threading.Lock()
        self.stalled: set[str] = set()
        self.corrupting: set[str] = set()
        self.region_bytes: dict[tuple[str, str], int] = {}
        self.messages = 0

    def add_vm(self, name: str, region: str) -> LinkWrappers:
        """Add a VM; return the wrappers that put its agent's clients behind the links."""
        self._regions[name] = region
        self._uplinks[name] = LinkRateLimiter(self._shape.vm_mbit_s)
        self._downlinks[name] = LinkRateLimiter(self._shape.vm_mbit_s)
        return LinkWrappers(
            peers=lambda pool: ShapedPeerPool(self, name, pool),
            origin=lambda origin: ShapedOrigin(self, name, origin),
        )

    def add_address(self, name: str, address: str) -> None:
        """Record the address at which a VM's agent listens."""
        self._vm_names[address] = name

    def find_vm(self, address: str) -> str:
        """Return the name of the VM at an address."""
        return self._vm_names[address]

    def count_message(self) -> None:
        """Count one call between agents."""
        with self._lock:
            self.messages += 1

    def wait_while_stalled(self, names: tuple[str, ...], timeout_s: float) -> None:
        """Wait until no VM of `names` is stalled; raise `PeerConnectionLost` at the timeout."""
        deadline = time.monotonic() + timeout_s
        while self.stalled.intersection(names):
            if time.monotonic() > deadline:
                raise PeerConnectionLost("no data received before the timeout: the link is stalled")
            time.sleep(STALL_CHECK_INTERVAL_S)

    def transfer(self, sender: str, receiver: str, size: int, timeout_s: float) -> None:
        """Wait for as long as bytes take from one VM to another.

        Delays count twice, once for the request and once for the reply.
        """
        pair = (self._regions[sender], self._regions[receiver])
        delay = self._shape.zone_delay_s
        self.wait_while_stalled((sender, receiver), timeout_s)
        if sender != ORIGIN:
            self._uplinks[sender].wait_for_start(size)
        if pair[0] != pair[1]:
            delay = self._shape.region_delay_s
            self._get_region_link(pair).wait_for_end(size)
            with self._lock:
                self.region_bytes[pair] = self.region_bytes.get(pair, 0) + size
        self._downlinks[receiver].wait_for_end(size)
        time.sleep(2 * delay)
        self.wait_while_stalled((sender, receiver), timeout_s)

    def _get_region_link(self, pair: tuple[str, str]) -> LinkRateLimiter:
        with self._lock:
            if pair not in self._region_links:
                self._region_links[pair] = LinkRateLimiter(self._shape.region_mbit_s)
            return self._region_links[pair]


class ShapedPeerPool(PeerPool):
    """Pool of one VM's peer clients, with all calls going through the shaped links."""

    def __init__(self, links: ShapedLinks, vm: str, pool: PeerPool) -> None:
        super().__init__()
        self._links = links
        self._vm = vm
        self._pool = pool

    def get(self, address: str) -> ShapedPeerClient:
        """Return a client for an address whose calls go through the shaped links."""
        return ShapedPeerClient(self._links, self._vm, address, self._pool.get(address))

    def retire_connection(self, address: str) -> None:
        """Stop using the connection to an address for new calls."""
        self._pool.retire_connection(address)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


class ShapedPeerClient:
    """Client of one peer behind the links; only chunks use bandwidth, but all calls may stall."""

    def __init__(self, links: ShapedLinks, vm: str, address: str, client) -> None:
        self._links = links
        self._vm = vm
        self._peer_vm = links.find_vm(address)
        self._client = client

    def read_chunk(self, request: ChunkRequest, timeout_s: float) -> ChunkReply:
        """Return a chunk after the time that its bytes take over the links."""
        started_at = time.monotonic()
        self._links.count_message()
        self._links.wait_while_stalled((self._vm, self._peer_vm), timeout_s)
        reply = self._client.read_chunk(request, timeout_s)
        if not reply.data:
            return reply
        self._links.transfer(self._peer_vm, self._vm, len(reply.data), timeout_s)
        if time.monotonic() - started_at > timeout_s:
            raise PeerConnectionLost("the chunk arrived after the timeout")
        if self._peer_vm in self._links.corrupting:
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
        """Exchange heartbeats with the peer."""
        return self._call("exchange", timeout_s, message)

    def _call(self, method: str, timeout_s: float, *arguments):
        self._links.count_message()
        self._links.wait_while_stalled((self._vm, self._peer_vm), timeout_s)
        return getattr(self._client, method)(*arguments, timeout_s)


class ShapedOrigin:
    """Client of the origin behind the links of one VM."""

    def __init__(self, links: ShapedLinks, vm: str, origin: Origin) -> None:
        self._links = links
        self._vm = vm
        self._origin = origin

    def read_range(self, path: str, start: int, length: int) -> bytes:
        """Return bytes of a file after the time that they take over the links."""
        data = self._origin.read_range(path, start, length)
        try:
            self._links.transfer(ORIGIN, self._vm, len(data), ORIGIN_TIMEOUT_S)
        except PeerConnectionLost as error:
            raise OriginUnavailable(str(error)) from error
        return data

    def close(self) -> None:
        """Close the idle connections."""
        self._origin.close()
