"""Tests of transfers whose chunks are passed on, without and with faults."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter

import pytest

from hibiscustray.exceptions import TransferOvertaken
from hibiscustray.peers import ChunkPush, HoldingsRequest
from hibiscustray.weights import transfer
from hibiscustray.weights.cache import decode_bitmap
from tests.waiting import wait_until
from tests.weights.network import CHUNK_B, SHORT_INTERVALS, Network
from tests.weights.test_transfer import CHUNKS, FILE, run_all

pytestmark = pytest.mark.timed


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    for name, value in SHORT_INTERVALS.items():
        monkeypatch.setattr(transfer, name, value)


@pytest.mark.parametrize("regions", [1, 3])
def test_chunks_reach_all_members_without_requests(tmp_path, regions):
    network = Network(9, regions=regions, has_relay=True)
    digest = network.publish(FILE, tmp_path)
    nodes = list(network.nodes.values())
    network.is_origin_down = True
    opener = threading.Thread(target=_open_origin_once_all_started, args=(network, digest))
    opener.start()
    run_all(nodes, digest)
    opener.join()
    assert all(node.read_file(digest) == FILE for node in nodes)
    assert Counter(network.origin_reads) == dict.fromkeys(range(CHUNKS), 1)
    assert network.chunk_requests <= CHUNKS // 4
    assert len(network.cross_region_transfers) == (regions - 1) * CHUNKS


def _open_origin_once_all_started(network: Network, digest: str) -> None:
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        if all(node.swarms.get(digest) is not None for node in network.nodes.values()):
            break
        time.sleep(0.01)
    network.is_origin_down = False


def test_members_behind_a_silent_one_get_the_chunks_from_its_sender(tmp_path):
    network = Network(9, has_relay=True)
    nodes = list(network.nodes.values())
    network.silent = {nodes[3].record.peer_address}
    digest = network.publish(FILE, tmp_path)
    alive = [node for node in nodes if node is not nodes[3]]
    started = time.monotonic()
    run_all(alive, digest)
    assert all(node.read_file(digest) == FILE for node in alive)
    assert max(Counter(network.origin_reads).values()) == 1
    assert time.monotonic() - started < 10.0


def test_chunks_do_not_queue_up_in_front_of_requests_on_a_congested_link(tmp_path):
    """Guards against requests that wait for seconds behind chunks (GONE, VERSION)."""
    network = Network(9, has_relay=True)
    nodes = list(network.nodes.values())
    congested = nodes[3].record.peer_address
    network.congested = {congested: 1.0}
    digest = network.publish(FILE, tmp_path)
    others = [node for node in nodes if node is not nodes[3]]
    started = time.monotonic()
    run_all(others, digest)
    assert all(node.read_file(digest) == FILE for node in others)
    assert time.monotonic() - started < 10.0
    pushes = {key: most for key, most in network.most_under_way.items() if key[1] == congested}
    assert max(pushes.values()) == 1


def test_a_receiver_that_was_slow_gets_no_chunks_until_its_link_may_be_free(tmp_path):
    """Guards against a standing queue of one chunk of each sender (VERSION)."""
    network = Network(2, has_relay=True)
    sender, receiver = network.nodes.values()
    address = receiver.record.peer_address
    digest = network.publish(FILE, tmp_path)
    run_all([sender], digest)
    network.sent_chunks.clear()
    network.congested = {address: 1.0}
    thread = threading.Thread(target=receiver.make_transfer(digest).run)
    thread.start()
    wait_until(lambda: receiver.swarms.get(digest))
    began = time.monotonic()
    for index in itertools.cycle(range(CHUNKS)):
        sender.relay.forward(digest, index, is_source=True)
        time.sleep(0.1)
        if time.monotonic() - began > 4.0:
            break
    sent = network.sent_chunks[address]
    wait_until(lambda: sender.relay.forward(digest, 1) or network.sent_chunks[address] > sent)
    network.congested = {}
    thread.join(10.0)
    assert sent == 1
    assert receiver.read_file(digest) == FILE


def test_requests_for_chunks_become_few_while_none_is_answered(tmp_path):
    """Guards against an agent whose repeated requests keep its own link congested."""
    network = Network(4, has_relay=True)
    nodes = list(network.nodes.values())
    digest = network.publish(FILE, tmp_path)
    run_all(nodes, digest)
    nodes[2].restart()
    congested = nodes[2].record.peer_address
    network.congested = {congested: 0.05}
    run = nodes[2].make_transfer(digest)
    thread = threading.Thread(target=run.run)
    thread.start()
    wait_until(lambda: network.most_under_way["", congested] > 1)
    time.sleep(1.0)
    network.most_under_way.clear()
    time.sleep(1.0)
    most = network.most_under_way["", congested]
    network.congested = {}
    thread.join(10.0)
    assert most == 1
    assert nodes[2].read_file(digest) == FILE


def test_chunks_of_a_member_that_the_origin_fails_are_fetched_by_others(tmp_path):
    network = Network(4, has_relay=True)
    nodes = list(network.nodes.values())
    network.failing_at_origin = {nodes[1].record.id}
    digest = network.publish(FILE, tmp_path)
    run_all(nodes, digest)
    assert all(node.read_file(digest) == FILE for node in nodes)
    assert Counter(network.origin_reads) == dict.fromkeys(range(CHUNKS), 1)


def test_a_superseded_transfer_claims_no_fetches(tmp_path):
    network = Network(2, has_relay=True)
    node = next(iter(network.nodes.values()))
    digest = network.publish(FILE, tmp_path)
    network.is_origin_down = True
    run = node.make_transfer(digest)
    thread = threading.Thread(target=lambda: pytest.raises(TransferOvertaken, run.run))
    thread.start()
    deadline = time.monotonic() + 5.0
    while not _read_claims(node, digest) and time.monotonic() < deadline:
        time.sleep(0.01)
    assert _read_claims(node, digest)
    run.cancel()
    thread.join(5.0)
    assert _read_claims(node, digest) == 0


def _read_claims(node, digest: str) -> int:
    reply = node.server.serve_holdings(HoldingsRequest(digest), None)
    return decode_bitmap(reply.drawing, CHUNKS)


def test_a_chunk_of_an_unknown_version_is_ignored():
    node = next(iter(Network(1, has_relay=True).nodes.values()))
    reply = node.server.accept_chunk(ChunkPush("unknown", 0, b"data"), None)
    assert not reply.is_known


@pytest.mark.parametrize("index", [-1, 0, CHUNKS])
def test_a_chunk_that_does_not_match_the_manifest_is_neither_kept_nor_passed_on(tmp_path, index):
    network = Network(2, has_relay=True)
    nodes = list(network.nodes.values())
    digest = network.publish(FILE, tmp_path)
    network.is_origin_down = True
    runs = [node.make_transfer(digest) for node in nodes]
    threads = [
        threading.Thread(target=lambda run=run: pytest.raises(TransferOvertaken, run.run))
        for run in runs
    ]
    for thread in threads:
        thread.start()
    deadline = time.monotonic() + 5.0
    while nodes[0].swarms.get(digest) is None and time.monotonic() < deadline:
        time.sleep(0.01)
    reply = nodes[0].server.accept_chunk(ChunkPush(digest, index, b"x" * CHUNK_B), None)
    assert reply.is_known
    assert decode_bitmap(reply.bitmap, CHUNKS) == 0
    assert all(node.cache.held(digest) == 0 for node in nodes)
    for run, thread in zip(runs, threads, strict=True):
        run.cancel()
        thread.join(5.0)


def test_only_fetchers_read_the_manifest_at_its_source(tmp_path, monkeypatch):
    monkeypatch.setattr("hibiscustray.weights.plan.MAX_ORIGIN_FETCHERS", 2)
    network = Network(8, has_relay=True)
    digest = network.publish(FILE, tmp_path)
    reads = []
    get = network.get
    network.get = lambda key: reads.append(key) or get(key)
    run_all(list(network.nodes.values()), digest)
    assert len(reads) <= 2
    assert all(node.read_file(digest) == FILE for node in network.nodes.values())


def test_a_joiner_requests_what_the_others_hold(tmp_path):
    network = Network(4, has_relay=True)
    nodes = list(network.nodes.values())
    digest = network.publish(FILE, tmp_path)
    run_all(nodes, digest)
    nodes[2].restart()
    network.origin_reads.clear()
    started = time.monotonic()
    run_all([nodes[2]], digest)
    assert nodes[2].read_file(digest) == FILE
    assert network.origin_reads == []
    assert time.monotonic() - started < 3.0


def test_a_transfer_goes_on_after_an_outage_of_the_origin(tmp_path):
    """The outage begins in the middle and lasts longer than fetchers wait to cede their chunks."""
    network = Network(9, regions=3, has_relay=True)
    digest = network.publish(FILE, tmp_path)
    read_range = network.read_range

    def fail_from_the_middle_on(path: str, start: int, length: int) -> bytes:
        if len(network.origin_reads) >= CHUNKS // 2 and not has_begun.is_set():
            has_begun.set()
            network.is_origin_down = True
            timer.start()
        return read_range(path, start, length)

    has_begun = threading.Event()
    timer = threading.Timer(4.0, lambda: setattr(network, "is_origin_down", False))
    network.read_range = fail_from_the_middle_on
    started = time.monotonic()
    run_all(list(network.nodes.values()), digest)
    timer.join()
    assert all(node.read_file(digest) == FILE for node in network.nodes.values())
    assert time.monotonic() - started < 10.0
    assert len(network.origin_reads) <= 1.2 * CHUNKS
