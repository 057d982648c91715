"""Samples of the service-level counters, stored in the table as VMs have no persistent storage.

Time is divided into slots of one minute. Each entry writes its counters once in each slot, into a
row for that slot. A row is kept while a window of the burn-rate report can start in its slot: one
for each minute of the last hour, and one for each half hour of the last three days.
"""

from __future__ import annotations

import logging
import threading
import time
import uuid
from collections.abc import Callable

import msgspec
import xxhash

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import MetricsUnreadable, PlatformError
from hibiscustray.protocols import Delete, Put, Row, Table
from hibiscustray.reports.series import Series, parse_exposition
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

SLOT_S = 60.0
FINE_SLOTS = 62
"""Number of newest slots that are all kept."""
COARSE_STEP_SLOTS = 30
COARSE_SLOTS = 3 * 24 * 60 + COARSE_STEP_SLOTS
"""Number of newest slots of which one in `COARSE_STEP_SLOTS` is kept."""
LAST_PARTITION = "sample-last"


class Sample(msgspec.Struct, frozen=True):
    """The counters of one incarnation of a process at a wall-clock time in seconds."""

    process: str
    incarnation: int
    at: float
    series: tuple[Series, ...]

    @property
    def key(self) -> tuple[str, int]:
        """Return the process and incarnation, which identify the source of the counters."""
        return self.process, self.incarnation


class SampleStore:
    """Writes and reads samples in the table by slot."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def write(self, sample: Sample) -> None:
        """Store a sample as the newest and by its slot, and delete those that no window needs."""
        slot = find_slot(sample.at)
        body = msgspec.msgpack.encode(sample)
        source = f"{sample.process}/{sample.incarnation}"
        writes: list[Put | Delete] = [
            Put(Row(_make_partition(slot), source, 1, body)),
            Put(Row(LAST_PARTITION, source, 1, body)),
        ]
        writes += [Delete(_make_partition(old), source) for old in list_expired_slots(slot)]
        self._table.transact(uuid.uuid4().hex, writes)

    def read_last(self) -> list[Sample]:
        """Return the newest sample of every incarnation."""
        return self._read(LAST_PARTITION)

    def read_start(self, at: float) -> list[Sample]:
        """Return the samples at the start of a window that starts at a time.

        If a process has no sample in that slot, its sample in the following kept slot is used.
        """
        slot, step = find_slot(at), 1
        if find_slot(time.time()) - slot > FINE_SLOTS - 1:
            slot, step = slot - slot % COARSE_STEP_SLOTS, COARSE_STEP_SLOTS
        found = {sample.key: sample for sample in self._read(_make_partition(slot + step))}
        found.update({sample.key: sample for sample in self._read(_make_partition(slot))})
        return list(found.values())

    def _read(self, partition: str) -> list[Sample]:
        samples = []
        for row in self._table.query(partition):
            try:
                samples.append(msgspec.msgpack.decode(row.body, type=Sample))
            except DECODE_ERRORS:
                log.warning("skipped a sample that cannot be decoded", extra={"source": row.sort})
        return samples


class Sampler:
    """Writes the samples of an entry in a separate thread.

    Each process writes at a second of the minute derived from its id, which spreads the writes.
    """

    def __init__(
        self, store: SampleStore, metrics: Metrics, process: str, incarnation: int
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._process = process
        self._incarnation = incarnation
        self._offset_s = xxhash.xxh32_intdigest(process.encode()) % int(SLOT_S)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sampler", daemon=True)

    def start(self) -> None:
        """Start to write a sample each minute."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and write a last sample."""
        self._stopping.set()
        self._thread.join()
        self.write()

    def write(self, now: Callable[[], float] = time.time) -> None:
        """Write one sample; a failure is counted and not retried before the next minute."""
        try:
            body, _ = self._metrics.render_text()
            series = parse_exposition(body.decode())
            self._store.write(Sample(self._process, self._incarnation, now(), series))
        except (PlatformError, MetricsUnreadable) as error:
            self._metrics.count("samples_failed_total", {"kind": type(error).__name__})

    def _run(self) -> None:
        while not self._stopping.wait(self._compute_delay_s(time.time())):
            self.write()

    def _compute_delay_s(self, now: float) -> float:
        """Return the time until this process's second of the minute comes next."""
        return SLOT_S - (now - self._offset_s) % SLOT_S


def find_slot(at: float) -> int:
    """Return the number of the slot that contains a time."""
    return int(at // SLOT_S)


def list_expired_slots(slot: int) -> list[int]:
    """Return the slots in which no window can start any more once a slot has been written."""
    fine = slot - FINE_SLOTS
    coarse = slot - COARSE_SLOTS
    expired = [] if fine % COARSE_STEP_SLOTS == 0 else [fine]
    return expired + ([coarse] if coarse % COARSE_STEP_SLOTS == 0 else [])


def _make_partition(slot: int) -> str:
    return f"sample/{slot}"
