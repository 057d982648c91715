"""Baselines of the weights benchmark: all replicas fetch from the origin, or a relay tree.

They use the same shaped links but no agents, so that only the link rates limit the transfer.
"""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from hibiscustray.benchmarks.fleet import (
    ORIGIN_COPIES_PER_WINDOW,
    VM_COPIES_PER_WINDOW,
    FleetShape,
)
from hibiscustray.standins.links import ORIGIN, LinkShape, ShapedLinks
from hibiscustray.weights import LinkRateLimiter

CHUNKS = 64
"""Number of chunks in which a baseline transfers its share of the model."""
CHILDREN_PER_REPLICA = 2
MAX_BASELINE_S = 6.0
"""Maximum expected duration of a baseline; a longer one transfers only a share of the model."""
NO_TIMEOUT_S = 1e9


@dataclass(frozen=True)
class Baseline:
    """Result of a baseline, extrapolated from the transferred share to the whole model."""

    seconds_to_n: float
    origin_copies: float
    model_share: float


def run_origin_baseline(shape: FleetShape) -> Baseline:
    """Measure every replica fetching every chunk from the origin."""
    windows = shape.replicas / ORIGIN_COPIES_PER_WINDOW
    if shape.regions > 1:
        copies = shape.replicas / shape.regions
        windows = max(windows, copies * shape.copy_mbit_s / shape.region_mbit_s)
    share = min(1.0, MAX_BASELINE_S / (shape.window_s * windows))
    run = _BaselineRun(shape, share)
    seconds = run.measure(lambda index: run.fetch_all(index))
    return Baseline(seconds / share, run.origin_b / run.transferred_b, share)


def run_tree_baseline(shape: FleetShape) -> Baseline:
    """Measure a binary relay tree in which only the root fetches chunks from the origin."""
    windows = 1.0
    if shape.regions > 1:
        windows = shape.replicas / shape.regions * shape.copy_mbit_s / shape.region_mbit_s
    share = min(1.0, MAX_BASELINE_S / (shape.window_s * windows))
    run = _BaselineRun(shape, share)
    seconds = run.measure(lambda index: run.relay_all(index))
    return Baseline(seconds / share, run.origin_b / run.transferred_b, share)


class _BaselineRun:
    """The links of one baseline and the chunks that each replica has received.

    `transferred_b` is the size of the share of the model that the baseline transfers.
    """

    def __init__(self, shape: FleetShape, share: float) -> None:
        self.transferred_b = shape.model_b * share
        self.origin_b = 0.0
        self._chunk_b = self.transferred_b / CHUNKS
        self._names = [f"vm-{index}" for index in range(shape.replicas)]
        rate = VM_COPIES_PER_WINDOW * shape.copy_mbit_s
        self._links = ShapedLinks(LinkShape(rate, shape.region_mbit_s), "region-0")
        for index, name in enumerate(self._names):
            self._links.add_vm(name, shape.locate(index)[1])
        self._origin = LinkRateLimiter(ORIGIN_COPIES_PER_WINDOW * shape.copy_mbit_s)
        self._received = [[threading.Event() for _ in range(CHUNKS)] for _ in self._names]
        self._lock = threading.Lock()

    def measure(self, run_replica) -> float:
        """Run a function for all replicas in parallel and return the elapsed seconds."""
        started = time.monotonic()
        with ThreadPoolExecutor(len(self._names)) as pool:
            for future in [pool.submit(run_replica, index) for index in range(len(self._names))]:
                future.result()
        return time.monotonic() - started

    def fetch_all(self, index: int) -> None:
        """Fetch all chunks from the origin."""
        for chunk in range(CHUNKS):
            self._fetch(index, chunk)

    def relay_all(self, index: int) -> None:
        """Fetch all chunks from the parent in the tree, or from the origin at the root."""
        for chunk in range(CHUNKS):
            if index == 0:
                self._fetch(index, chunk)
            else:
                parent = (index - 1) // CHILDREN_PER_REPLICA
                self._received[parent][chunk].wait()
                self._transfer(self._names[parent], index)
            self._received[index][chunk].set()

    def _fetch(self, index: int, chunk: int) -> None:
        self._origin.wait_for_end(self._chunk_b)
        with self._lock:
            self.origin_b += self._chunk_b
        self._transfer(ORIGIN, index)

    def _transfer(self, sender: str, index: int) -> None:
        self._links.transfer(sender, self._names[index], self._chunk_b, NO_TIMEOUT_S)
