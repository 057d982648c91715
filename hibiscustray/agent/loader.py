"""Ordering of the engine on this VM to load a version whose chunks this agent holds."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass

from hibiscustray.agent.interface import (
    LoadMode,
    OrderAccepted,
    OrderConflict,
    OrderInForce,
    OrderRejected,
    StagingEngine,
)
from hibiscustray.catalog import SEND_LEAD_S, TargetVersions
from hibiscustray.clock import read_clock
from hibiscustray.exceptions import (
    ChunkCorrupt,
    ChunkMissing,
    HibiscustrayError,
)
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import ChunkCache
from hibiscustray.weights.manifest import Manifest

log = logging.getLogger(__name__)

INTERVAL_S = 0.05
"""Interval at which the engine's report is read while a load is in progress."""
FAILURE_PAUSE_S = 0.3
MAX_VERIFICATION_AGE_S = 2.0
"""Age at which the verification of staged chunks is repeated before an order, since chunks may
become corrupt in the staging area."""
MIN_WAVE_S = 0.9
MAX_WAVE_S = 1.8
"""Bounds of the interval between waves. An engine takes one to two seconds to finish its running
requests and to load."""
MIN_SERVICE_S = SEND_LEAD_S + 1.2
"""Time for which an outdated version must still be permitted for the engine to load it; loading
takes about a second, and entries use it until `SEND_LEAD_S` before the bound."""
MAX_WAVES = 4


@dataclass(frozen=True)
class LoadTask:
    """A version to load, from a time of `read_clock` on."""

    model: str
    version: int
    label: str
    manifest: Manifest
    starts_at: float


def choose_wave_delay(place: float, time_left_s: float) -> float:
    """Return the seconds after which the replica at a place in its service loads a version.

    Replicas load in waves, those with a low place (from 0 to below 1) first, so that the others
    serve meanwhile. The last wave begins when the replicas get no more requests with the version
    that they serve, which may be used for `time_left_s`.
    """
    spread_s = min(max(0.0, time_left_s - SEND_LEAD_S), (MAX_WAVES - 1) * MAX_WAVE_S)
    waves = min(MAX_WAVES, int(spread_s / MIN_WAVE_S) + 1)
    return spread_s * (int(place * waves) / (waves - 1)) if waves > 1 else 0.0


class WeightsLoader:
    """Stages and verifies the chunks of the newest task and orders the load, on its own thread.

    Only this thread sends load orders. Each has the engine's own order count as a precondition, so
    that the engine refuses a late order of an earlier process. The staging area holds one version
    at a time: other threads write to it with `stage_chunk`, which leaves out other versions until
    the engine has accepted the order and taken its copy.
    """

    def __init__(
        self,
        engine: StagingEngine,
        cache: ChunkCache,
        versions: TargetVersions,
        metrics: Metrics,
        version_bound_s: float = 0.0,
    ) -> None:
        self._engine = engine
        self._cache = cache
        self._versions = versions
        self._metrics = metrics
        self._version_bound_s = version_bound_s
        self._task: LoadTask | None = None
        self._is_loading = False
        self._failure_kind = ""
        self._lock = threading.Lock()
        self._staging_lock = threading.Lock()
        self._stopping = threading.Event()
        self._changed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="loader", daemon=True)

    def set_version_bound(self, seconds: float) -> None:
        """Set the time after which requests may no longer begin on an older version."""
        self._version_bound_s = seconds

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once the call to the engine that it is making has ended."""
        self._stopping.set()
        self._changed.set()

    def submit(self, task: LoadTask) -> None:
        """Load a version; a newer task, or one of the same version that starts sooner, comes first.

        An engine that has lost its weights meanwhile does not wait for its wave.
        """
        with self._lock:
            known = self._task
            is_same = known is not None and known.label == task.label
            if is_same and known.starts_at <= task.starts_at + INTERVAL_S:
                return
            self._task = task
        self._changed.set()

    def stage_chunk(self, model: str, label: str, index: int) -> bool:
        """Stage a cached chunk; return whether it was staged.

        It is not while the chunks of another version wait to be loaded. Raises `UpstreamError` or
        `ChunkMissing`.
        """
        with self._staging_lock:
            task = self._task
            if task is not None and task.label != label and not self._is_loading:
                return False
            self._engine.stage(model, index, self._cache.get(label, index))
            return True

    def _run(self) -> None:
        while not self._stopping.is_set():
            task = self._task
            wait_s = None if task is None else task.starts_at - read_clock()
            if task is None or wait_s is not None and wait_s > 0:
                self._changed.wait(wait_s)
                self._changed.clear()
                continue
            try:
                is_done = self._process(task)
                self._failure_kind = ""
            except HibiscustrayError as error:
                self._record_failure(error)
                is_done = False
                self._stopping.wait(FAILURE_PAUSE_S)
            except Exception:
                # The thread must survive every failure, or the engine would never be updated again.
                log.exception("failed to load weights")
                self._metrics.count("stager_failures_total", {"kind": "unexpected"})
                is_done = False
                self._stopping.wait(FAILURE_PAUSE_S)
            if is_done:
                self._finish(task)

    def _finish(self, task: LoadTask) -> None:
        with self._lock:
            if self._task is task:
                self._task = None

    def _process(self, task: LoadTask) -> bool:
        """Bring the engine closer to a task's version; return whether the task has ended."""
        if self._is_loading:
            return self._check_load(task)
        if self._is_too_late(task):
            log.info("outdated version not loaded", extra={"version": task.label})
            return True
        with self._staging_lock:
            verified_at = self._stage(task)
            report = self._engine.read_report()
            if report.find_version(task.model) == task.version:
                return True
            if report.is_loading:
                self._is_loading = True
                return False
            if read_clock() - verified_at > MAX_VERIFICATION_AGE_S:
                return False
            outcome = self._engine.order_load(
                task.model,
                task.version,
                LoadMode.FINISH_RUNNING,
                report.order_count,
                task.version,
            )
        self._metrics.count("orders_total", {"outcome": type(outcome).__name__})
        log.info(
            "load ordered",
            extra={
                "version": task.label,
                "held": report.find_version(task.model),
                "order_count": report.order_count,
                "running": report.running,
                "outcome": type(outcome).__name__,
                "newest_named_s_ago": round(min(self._versions.find_age(task.model), 9999.0), 3),
            },
        )
        match outcome:
            case OrderAccepted() | OrderInForce():
                self._is_loading = True
            case OrderConflict() | OrderRejected():
                self._stopping.wait(FAILURE_PAUSE_S)
        return False

    def _is_too_late(self, task: LoadTask) -> bool:
        """Return whether requests may no longer begin on a version once it is loaded."""
        left_s = self._versions.find_time_left(task.model, task.version, self._version_bound_s)
        return left_s < MIN_SERVICE_S

    def _check_load(self, task: LoadTask) -> bool:
        """Wait for a load in progress; return whether it has brought the engine to the version."""
        report = self._engine.read_report()
        if report.find_version(task.model) == task.version:
            log.info(
                "weights in service",
                extra={
                    "version": task.label,
                    "newest_named_s_ago": round(
                        min(self._versions.find_age(task.model), 9999.0), 3
                    ),
                },
            )
            self._is_loading = False
            return True
        self._is_loading = report.is_loading
        self._stopping.wait(INTERVAL_S)
        return False

    def _stage(self, task: LoadTask) -> float:
        """Stage all chunks and verify them; return when the verification began.

        The time is one of `read_clock`. Returns -inf if a chunk had to be staged again, so that
        the verification is repeated.
        """
        staged = self._engine.list_staged(task.model)
        for index in range(task.manifest.count):
            if index not in staged or not self._is_staged_intact(task, index):
                self._engine.stage(task.model, index, self._cache.get(task.label, index))
        verified_at = read_clock()
        for index in range(task.manifest.count):
            if not self._is_staged_intact(task, index):
                self._metrics.count("staged_chunks_rejected_total")
                self._engine.stage(task.model, index, self._cache.get(task.label, index))
                verified_at = float("-inf")
        return verified_at

    def _is_staged_intact(self, task: LoadTask, index: int) -> bool:
        try:
            data = self._engine.read_staged(task.model, index, task.manifest.chunk_size)
            task.manifest.verify(index, data, "staging area")
        except (ChunkCorrupt, ChunkMissing):
            return False
        return True

    def _record_failure(self, error: HibiscustrayError) -> None:
        kind = type(error).__name__
        self._metrics.count("stager_failures_total", {"kind": kind})
        if kind != self._failure_kind:
            log.warning("failed to load weights", extra={"kind": kind, "reason": str(error)[:200]})
        self._failure_kind = kind
