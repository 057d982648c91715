"""Reconciliation of the engine on this VM with the operator's target version."""

from __future__ import annotations

import logging
import math
import threading
import time
from collections.abc import Callable
from dataclasses import asdict

from hibiscustray.agent.interface import EngineReport, StagingEngine
from hibiscustray.agent.loader import LoadTask, WeightsLoader, choose_wave_delay
from hibiscustray.catalog import CatalogHolder, TargetVersions
from hibiscustray.clock import read_clock
from hibiscustray.exceptions import (
    ChunkCorrupt,
    ChunkMissing,
    HibiscustrayError,
    ManifestInvalid,
    ObjectMissing,
    OriginUnavailable,
    TransferOvertaken,
    UpstreamError,
    UpstreamPushback,
)
from hibiscustray.replicas import is_in_first_half
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import ReplicaSelector, Transfer, TransferEnvironment, TransferRequest
from hibiscustray.weights.cache import list_chunks
from hibiscustray.weights.manifest import Manifest, decode_manifest_body
from hibiscustray.weights.plan import sort_members

log = logging.getLogger(__name__)

INTERVAL_S = 0.2
"""Interval at which the engine's report is read; the read is local to the VM and cheap."""
FAILURE_PAUSE_S = 0.3
STAGING_INTERVAL_S = 0.1
"""Interval at which fetched chunks are written to the staging area."""
MIN_FINISH_SHARE = 0.42
"""Share of the chunks held from which a transfer is finished although a newer version is the
target. From about half on, finishing it first leaves the engine without a permitted version for
less time than fetching the newer one at once."""
MAX_OUTDATED_IDLE_S = 1.5
"""Time without a new chunk after which the transfer of an outdated version is given up."""


class OriginManifests:
    """Reads manifests from the origin, where they are identified by model and version."""

    def __init__(self, read_manifest: Callable[[str, int], Manifest]) -> None:
        self._read_manifest = read_manifest
        self._failed_label = ""

    def find(self, digest: str) -> Manifest | None:
        """Return a manifest, or None if the origin cannot provide a valid one now."""
        model, version = split_label(digest)
        try:
            manifest = self._read_manifest(model, version)
        except (OriginUnavailable, ObjectMissing, ManifestInvalid) as error:
            if self._failed_label != digest:
                log.info(
                    "failed to read manifest", extra={"version": digest, "reason": str(error)[:200]}
                )
            self._failed_label = digest
            return None
        self._failed_label = ""
        return manifest

    def check(self, body: bytes, digest: str) -> Manifest:
        """Decode a manifest that a peer sent; it is not compared with the origin's."""
        return decode_manifest_body(body)


def make_label(model: str, version: int) -> str:
    """Return the label under which agents exchange the chunks of a version."""
    return f"{model}@{version}"


def split_label(label: str) -> tuple[str, int]:
    """Return the model and the version of a label."""
    model, _, version = label.rpartition("@")
    return model, int(version)


class WeightsStager:
    """Fetches the target version and stages its chunks; a loader brings the engine to it.

    A newer version is fetched while the engine finishes its requests and loads.
    `version_bound_s` is the time after which requests may no longer begin on an older version.
    """

    def __init__(
        self,
        service: str,
        catalogs: CatalogHolder,
        versions: TargetVersions,
        engine: StagingEngine,
        environment: TransferEnvironment,
        metrics: Metrics,
        version_bound_s: float = 0.0,
    ) -> None:
        self._service = service
        self._version_bound_s = version_bound_s
        self._loader = WeightsLoader(engine, environment.cache, versions, metrics, version_bound_s)
        self._catalogs = catalogs
        self._versions = versions
        self._engine = engine
        self._environment = environment
        self._metrics = metrics
        self._transfer: Transfer | None = None
        self._is_present: bool | None = None
        self._was_present = False
        self._failure_kind = ""
        self._recovered: set[tuple[str, int]] = set()
        self._stopping = threading.Event()
        self._changed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="stager", daemon=True)

    def set_version_bound(self, seconds: float) -> None:
        """Set the time after which requests may no longer begin on an older version."""
        self._version_bound_s = seconds
        self._loader.set_version_bound(seconds)

    def start(self) -> None:
        """Start the thread."""
        self._loader.start()
        self._thread.start()

    def stop(self) -> None:
        """Cancel a running transfer and wait briefly for the thread to end."""
        self._stopping.set()
        self._loader.stop()
        self._changed.set()
        self.cancel_outdated_transfer()
        self._thread.join(timeout=2 * INTERVAL_S)

    def cancel_outdated_transfer(self) -> None:
        """Cancel the transfer of an outdated version, unless it is nearly complete.

        Also wakes the thread. This method must be called whenever the target versions change.
        """
        transfer = self._transfer
        if transfer is not None:
            model, version = split_label(transfer.digest)
            is_old = self._versions.find_newest(model) != version and not self._is_nearly_complete(
                transfer.digest
            )
            if self._stopping.is_set() or is_old:
                transfer.cancel()
        self._changed.set()

    def _is_nearly_complete(self, label: str) -> bool:
        manifest = self._environment.cache.manifest(label)
        held = self._environment.cache.held(label).bit_count()
        return manifest is not None and held >= MIN_FINISH_SHARE * manifest.count

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._changed.wait(INTERVAL_S)
            self._changed.clear()
            try:
                self._reconcile()
                self._failure_kind = ""
            except TransferOvertaken as error:
                log.info("transfer abandoned", extra={"version": str(error)})
            except HibiscustrayError as error:
                self._record_failure(error)
                self._stopping.wait(FAILURE_PAUSE_S)
            except Exception:
                # The thread must survive every failure, or the engine would never be updated again.
                log.exception("failed to load weights")
                self._metrics.count("stager_failures_total", {"kind": "unexpected"})
                self._stopping.wait(FAILURE_PAUSE_S)

    def _reconcile(self) -> None:
        catalog = self._catalogs.current
        if catalog is None:
            return
        report = self._read_report()
        if self._is_present is False and not self._was_present:
            # A replica that is still starting on this VM may already hold the weights.
            return
        for model in catalog.find_models(self._service):
            version = self._versions.find_newest(model)
            held = report.find_version(model) if report is not None else 0
            if report is not None and math.isinf(self._versions.find_age(model)):
                # An earlier process may have staged chunks of it before this one started.
                self._recover_cache(model, version)
            if report is not None and held == version:
                continue
            manifest = self._fetch(model, version, report is not None)
            if report is not None:
                self._submit_load(model, version, manifest, held)

    def _read_report(self) -> EngineReport | None:
        """Return the engine's report, None if the engine cannot be reached.

        Raises `UpstreamPushback` if the engine wants no calls for some time.
        """
        try:
            report = self._engine.read_report()
        except UpstreamPushback:
            raise
        except UpstreamError as error:
            if self._is_present is not False:
                log.info("engine absent", extra={"reason": str(error)[:200]})
            self._is_present = False
            return None
        if not self._is_present:
            log.info(
                "engine present",
                extra={"versions": [m.version for m in report.models], "born_ms": report.born_ms},
            )
        self._is_present = self._was_present = True
        return report

    def _recover_cache(self, model: str, version: int) -> None:
        """Copy the engine's staged chunks into the cache, so that peers can fetch them."""
        label = make_label(model, version)
        cache = self._environment.cache
        if (model, version) in self._recovered or cache.is_complete(label):
            return
        manifests = self._environment.manifests
        manifest = manifests.find(label) if manifests is not None else None
        if manifest is None:
            return
        cache.add_version(label, manifest)
        staged = self._engine.list_staged(model)
        for index in sorted(staged.intersection(range(manifest.count))):
            try:
                data = self._engine.read_staged(model, index, manifest.chunk_size)
                cache.put(label, index, data, "staging area")
            except (ChunkCorrupt, ChunkMissing):
                self._metrics.count("staged_chunks_rejected_total")
        self._recovered.add((model, version))
        log.info(
            "staged weights recovered",
            extra={"version": label, "chunks": cache.held(label).bit_count()},
        )

    def _fetch(self, model: str, version: int, has_engine: bool) -> Manifest:
        """Fetch a version into the cache, and stage its chunks meanwhile if there is an engine.

        Staged chunks survive a restart of this process. Raises `TransferOvertaken` if another
        version becomes the target.
        """
        label = make_label(model, version)
        cache = self._environment.cache
        if cache.is_complete(label):
            manifest = cache.manifest(label)
            assert manifest is not None
            return manifest
        started = time.monotonic()
        request = TransferRequest(
            label,
            ReplicaSelector(self._service),
            "origin_bytes",
            lambda idle_s: (
                idle_s > MAX_OUTDATED_IDLE_S and self._versions.find_newest(model) != version
            ),
        )
        self._transfer = transfer = Transfer(self._environment, request)
        log.info("transfer started", extra={"version": label})
        try:
            if self._versions.find_newest(model) != version or self._stopping.is_set():
                raise TransferOvertaken(label)
            if has_engine:
                self._start_staging(transfer, model, label)
            manifest = transfer.run()
        finally:
            self._transfer = None
            summary = transfer.summarize()
            if summary is not None:
                log.info("transfer ended", extra={"version": label, **asdict(summary)})
        taken_s = time.monotonic() - started
        self._metrics.observe("transfer_seconds", taken_s)
        log.info("transfer complete", extra={"version": label, "took_s": round(taken_s, 3)})
        return manifest

    def _start_staging(self, transfer: Transfer, model: str, label: str) -> None:
        """Start a thread that stages fetched chunks until the transfer has ended."""
        cache = self._environment.cache

        def stage_fetched_chunks() -> None:
            staged: set[int] = set()
            while self._transfer is transfer and not self._stopping.is_set():
                try:
                    for index in list_chunks(cache.held(label)):
                        if index not in staged and self._loader.stage_chunk(model, label, index):
                            staged.add(index)
                except (UpstreamError, ChunkMissing) as error:
                    log.info(
                        "staging stopped before the end of the transfer",
                        extra={"reason": str(error)[:200]},
                    )
                    return
                self._stopping.wait(STAGING_INTERVAL_S)

        threading.Thread(target=stage_fetched_chunks, name="staging", daemon=True).start()

    def _submit_load(self, model: str, version: int, manifest: Manifest, held: int) -> None:
        """Have the loader bring the engine to a version in this replica's wave."""
        label = make_label(model, version)
        delay_s = 0.0
        if held:
            left_s = self._versions.find_time_left(model, held, self._version_bound_s)
            delay_s = choose_wave_delay(self._find_place(label), left_s)
        self._loader.submit(LoadTask(model, version, label, manifest, read_clock() + delay_s))

    def _find_place(self, label: str) -> float:
        """Return the place of this VM, from 0 to below 1, in the order in which replicas swap."""
        view = self._environment.view
        ids = {m.id for m in ReplicaSelector(self._service).find(view)} | {view.own.id}
        order = sorted(sort_members(label, ids), key=lambda member: not is_in_first_half(member))
        return order.index(view.own.id) / len(order)

    def _record_failure(self, error: HibiscustrayError) -> None:
        kind = type(error).__name__
        self._metrics.count("stager_failures_total", {"kind": kind})
        if kind != self._failure_kind:
            log.warning("failed to load weights", extra={"kind": kind, "reason": str(error)[:200]})
        self._failure_kind = kind
