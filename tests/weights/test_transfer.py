"""Tests of transfers between agents, without and with faults."""

from __future__ import annotations

import random
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hibiscustray.exceptions import CacheFull, TransferOvertaken, WeightsError
from hibiscustray.weights import ChunkCache, transfer
from tests.weights.network import CHUNK_B, SHORT_INTERVALS, Network

CHUNKS = 24
TIMEOUT_S = 30.0
FILE = random.Random(1).randbytes(CHUNK_B * CHUNKS - 7)
OTHER_FILE = random.Random(2).randbytes(CHUNK_B * CHUNKS)


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    for name, value in SHORT_INTERVALS.items():
        monkeypatch.setattr(transfer, name, value)


def run_all(nodes, digest: str, objective: str = "origin_bytes") -> list:
    """Run transfers at all nodes concurrently; return the result or exception of each."""
    with ThreadPoolExecutor(len(nodes)) as pool:
        runs = [pool.submit(n.make_transfer(digest, objective).run) for n in nodes]
        return [run.exception(TIMEOUT_S) or run.result() for run in runs]


@pytest.mark.parametrize("objective", ["time", "origin_bytes"])
def test_each_chunk_is_read_from_the_origin_once_without_faults(tmp_path, objective):
    network = Network(5)
    digest = network.publish(FILE, tmp_path)
    run_all(list(network.nodes.values()), digest, objective)
    assert all(node.read_file(digest) == FILE for node in network.nodes.values())
    if objective == "origin_bytes":
        assert Counter(network.origin_reads) == dict.fromkeys(range(CHUNKS), 1)


def test_each_chunk_crosses_each_link_between_regions_at_most_once(tmp_path):
    network = Network(6, regions=3)
    digest = network.publish(FILE, tmp_path)
    run_all(list(network.nodes.values()), digest)
    links = Counter(network.cross_region_transfers)
    assert Counter(network.origin_reads) == dict.fromkeys(range(CHUNKS), 1)
    assert sum(links.values()) == 2 * CHUNKS
    assert set(links) == {
        ("region-0", "region-1"),
        ("region-0", "region-2"),
        ("region-1", "region-2"),
        ("region-2", "region-1"),
    }


@settings(max_examples=12, suppress_health_check=list(HealthCheck))
@given(
    seed=st.integers(0, 1 << 16),
    loss=st.sampled_from([0.0, 0.1, 0.3]),
    corrupting=st.sets(st.integers(0, 4), max_size=2),
    silent=st.sets(st.integers(0, 4), max_size=2),
)
def test_transfers_complete_despite_loss_and_corruption(tmp_path, seed, loss, corrupting, silent):
    network = Network(5, seed, loss)
    nodes = list(network.nodes.values())
    network.corrupting = {nodes[i].record.peer_address for i in corrupting}
    network.silent = {nodes[i].record.peer_address for i in silent}
    digest = network.publish(FILE, tmp_path)
    run_all(nodes, digest)
    assert all(node.read_file(digest) == FILE for node in nodes)


@settings(max_examples=8, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 1 << 16), st.integers(0, CHUNKS), st.integers(0, 3))
def test_a_change_of_version_ends_with_one_complete_version(
    tmp_path, seed, reads_before_change, restarted
):
    """A superseded transfer raises `TransferOvertaken` when the origin's file changes midway."""
    network = Network(4, seed, 0.05)
    nodes = list(network.nodes.values())
    first = network.publish(FILE, tmp_path)
    has_changed = threading.Event()
    read_range = network.read_range

    def read_until_changed(path, start, length):
        if len(network.origin_reads) >= reads_before_change:
            network.file = OTHER_FILE
            has_changed.set()
        return read_range(path, start, length)

    network.read_range = read_until_changed
    transfers = [node.make_transfer(first) for node in nodes]
    with ThreadPoolExecutor(len(nodes)) as pool:
        runs = [pool.submit(each.run) for each in transfers]
        has_changed.wait(0.5)
        for each in transfers:
            each.cancel()
        failures = [run.exception(TIMEOUT_S) for run in runs]
    for node, failure in zip(nodes, failures, strict=True):
        assert isinstance(failure, TransferOvertaken) or node.read_file(first) == FILE
    nodes[restarted].restart()
    second = network.publish(OTHER_FILE, tmp_path)
    run_all(nodes, second)
    assert all(node.read_file(second) == OTHER_FILE for node in nodes)
    for node in nodes:
        assert not node.cache.is_complete(first) or node.read_file(first) == FILE


def test_a_late_joiner_reads_nothing_from_the_origin(tmp_path):
    network = Network(4)
    nodes = list(network.nodes.values())
    digest = network.publish(FILE, tmp_path)
    run_all(nodes, digest)
    nodes[2].restart()
    network.origin_reads.clear()
    run_all([nodes[2]], digest)
    assert nodes[2].read_file(digest) == FILE
    assert network.origin_reads == []


def test_the_chunks_of_an_unresponsive_fetcher_are_read_once_by_the_next(tmp_path):
    network = Network(4)
    nodes = list(network.nodes.values())
    network.silent = {nodes[0].record.peer_address}
    digest = network.publish(FILE, tmp_path)
    run_all(nodes[1:], digest)
    assert all(node.read_file(digest) == FILE for node in nodes[1:])
    assert max(Counter(network.origin_reads).values()) == 1


def test_a_sender_of_corrupt_chunks_is_distrusted_and_not_asked_again(tmp_path):
    network = Network(3)
    nodes = list(network.nodes.values())
    digest = network.publish(FILE, tmp_path)
    run_all(nodes, digest)
    corrupt_sender = nodes[0].record.peer_address
    network.corrupting = {corrupt_sender}
    nodes[1].restart()
    run_all([nodes[1]], digest)
    assert nodes[1].read_file(digest) == FILE
    assert nodes[1].metrics.read_total("chunks_corrupt_total") <= transfer.WORKERS
    assert nodes[1].swarms.get(digest).distrusted <= {corrupt_sender}


def test_no_chunk_is_read_twice_after_an_origin_outage(tmp_path):
    network = Network(4)
    digest = network.publish(FILE, tmp_path)
    network.is_origin_down = True
    timer = threading.Timer(1.0, lambda: setattr(network, "is_origin_down", False))
    timer.start()
    run_all(list(network.nodes.values()), digest)
    timer.join()
    assert Counter(network.origin_reads) == dict.fromkeys(range(CHUNKS), 1)


def test_a_full_cache_raises_a_weights_error(tmp_path):
    network = Network(1)
    node = next(iter(network.nodes.values()))
    digest = network.publish(FILE, tmp_path)
    node.cache = ChunkCache(CHUNK_B)
    with pytest.raises(CacheFull) as caught:
        node.make_transfer(digest).run()
    assert isinstance(caught.value, WeightsError)
