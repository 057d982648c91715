"""Tests of the shaped links between VMs."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from hibiscustray.exceptions import PeerConnectionLost
from hibiscustray.peers import ChunkReply, ChunkRequest
from hibiscustray.standins.links import LinkShape, ShapedLinks, ShapedPeerClient

SHAPE = LinkShape(vm_mbit_s=8.0, region_mbit_s=4.0)
SIZE_B = 10_000
PEER = "127.0.0.1:1"


def make_links() -> ShapedLinks:
    links = ShapedLinks(SHAPE, "akl")
    for name, region in (("a", "akl"), ("b", "akl"), ("c", "wlg")):
        links.add_vm(name, region)
    links.add_address("b", PEER)
    return links


def make_client(links: ShapedLinks) -> ShapedPeerClient:
    reply = ChunkReply(b"x" * SIZE_B)
    peer = SimpleNamespace(read_chunk=lambda request, timeout_s: reply)
    return ShapedPeerClient(links, "a", PEER, peer)


def test_only_bytes_between_regions_are_counted():
    links = make_links()
    links.transfer("a", "b", SIZE_B, 1.0)
    links.transfer("a", "c", SIZE_B, 1.0)
    assert links.region_bytes == {("akl", "wlg"): SIZE_B}


def test_a_call_over_a_stalled_link_fails_at_its_timeout():
    links = make_links()
    links.stalled.add("b")
    with pytest.raises(PeerConnectionLost):
        make_client(links).read_chunk(ChunkRequest("d", 0), 0.1)


def test_a_chunk_that_arrives_after_the_timeout_is_lost():
    with pytest.raises(PeerConnectionLost):
        make_client(make_links()).read_chunk(ChunkRequest("d", 0), SIZE_B / 2e6)


def test_a_corrupting_vm_changes_the_bytes():
    links = make_links()
    links.corrupting.add("b")
    data = make_client(links).read_chunk(ChunkRequest("d", 0), 5.0).data
    assert len(data) == SIZE_B
    assert data != b"x" * SIZE_B
