"""Reconciliation of an agent's upstream with the deployment configuration."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from hibiscustray.agent.state import ServingState
from hibiscustray.deployments import Configuration, Deployment, Service
from hibiscustray.exceptions import (
    ActivationAbandoned,
    AdapterMismatch,
    HibiscustrayError,
    NoConfiguration,
    TransferOvertaken,
    UpstreamError,
)
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.rollout import Activation, TargetWeights, WaveSlot, WaveSlotAllocator
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import ReplicaSelector, Transfer, TransferEnvironment, TransferRequest

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.5
AUDIT_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 120.0
"""Time for running attempts to end before a swap is abandoned."""

Progress = Callable[[int, int], None]


class Deployer:
    """Runs a thread that brings the upstream from the served version to the configured one."""

    def __init__(
        self,
        service: str,
        configuration: Configuration,
        view: MemberView,
        exchange: Exchange,
        state: ServingState,
        environment: TransferEnvironment,
        activation: Activation,
        slots: WaveSlotAllocator,
        metrics: Metrics,
        stopping: threading.Event,
    ) -> None:
        self._service = service
        self._configuration = configuration
        self._view = view
        self._exchange = exchange
        self._state = state
        self._environment = environment
        self._activation = activation
        self._slots = slots
        self._metrics = metrics
        self._stopping = stopping
        self._changed = threading.Event()
        self._transfers: tuple[Transfer, ...] = ()
        self._progress: Progress | None = None
        self._active: TargetWeights | None = None
        self._pinned: frozenset[str] = frozenset()
        self._slot: WaveSlot | None = None
        self._failure_kind = ""
        self._audit_at = 0.0
        self._thread = threading.Thread(target=self._run, name="deployer", daemon=True)
        configuration.add_listener(self._handle_change)

    def start(self, on_progress: Progress | None = None) -> None:
        """Start the thread; `on_progress` receives the model's held and total chunk counts."""
        self._progress = on_progress
        self._thread.start()

    def stop(self) -> None:
        """Cancel running transfers and wait for the thread to end."""
        self._stopping.set()
        self._changed.set()
        for transfer in self._transfers:
            transfer.cancel()
        self._thread.join()

    def _handle_change(self, revision, deployment: Deployment) -> None:
        target = self._find_target()
        wanted = target.digests if target else ()
        for transfer in self._transfers:
            if transfer.digest not in wanted:
                transfer.cancel()
        self._changed.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._changed.wait(RETRY_INTERVAL_S)
            self._changed.clear()
            try:
                self._reconcile()
                self._failure_kind = ""
            except NoConfiguration:
                continue
            except (TransferOvertaken, ActivationAbandoned) as error:
                log.info("deployment step abandoned", extra={"reason": str(error)})
            except Exception as error:
                # The thread must survive every failure, or the VM would never be updated again.
                self._record_failure(error)
                self._stopping.wait(RETRY_INTERVAL_S)
        self._release_slot()

    def _record_failure(self, error: Exception) -> None:
        kind = type(error).__name__
        self._metrics.count("deploy_failures_total", {"kind": kind})
        if kind != self._failure_kind:
            is_known = isinstance(error, HibiscustrayError)
            log.error(
                "deployment failed",
                extra={"kind": kind, "detail": str(error)},
                exc_info=None if is_known else error,
            )
        self._failure_kind = kind

    def _find_target(self) -> TargetWeights | None:
        """Return what this agent should serve, None if it should serve nothing."""
        deployment = self._configuration.deployment
        service = deployment.find_service(self._service)
        if service is None or not self._is_assigned_here(service):
            return None
        adapters = (deployment.find_version(name) for name in service.adapters)
        return TargetWeights(
            service=service.name,
            digest=deployment.find_digest(service.name),
            revision=self._configuration.number,
            max_unavailable=service.max_unavailable,
            adapters=tuple(adapter.manifest for adapter in adapters if adapter),
        )

    def _is_assigned_here(self, service: Service) -> bool:
        zones = service.availability_zones
        return not zones or self._view.own.availability_zone in zones

    def _is_wanted(self, target: TargetWeights) -> bool:
        current = self._find_target()
        return current is not None and current.digests == target.digests

    def _may_load(self, target: TargetWeights) -> bool:
        return self._configuration.is_justified() and self._is_wanted(target)

    def _reconcile(self) -> None:
        target = self._find_target()
        if target is None:
            self._suspend()
            self._active = None
            self._release_slot()
            return
        active = self._active if self._state.digest is not None else None
        if active is not None and active.digests == target.digests:
            self._audit(active)
            return
        if target.digest:
            self._fetch(target)
            self._activate(target)
        self._serve(target)

    def _audit(self, active: TargetWeights) -> None:
        """Refuse new attempts and reload if the engine holds other weights than expected."""
        now = time.monotonic()
        if not active.digest or now < self._audit_at:
            return
        self._audit_at = now + AUDIT_INTERVAL_S
        try:
            is_loaded = self._activation.is_loaded(active)
        except UpstreamError:
            self._metrics.count("engine_audits_failed_total")
            return
        if not is_loaded:
            log.error("engine holds unexpected weights", extra={"digest": active.digest})
            self._metrics.count("engine_audits_mismatched_total")
            self._suspend()
            self._active = None

    def _fetch(self, target: TargetWeights) -> None:
        """Fetch the model and its adapters into the cache concurrently."""
        environment = self._environment
        self._pin({*target.digests, *(self._active.digests if self._active else ())})
        service = self._configuration.deployment.find_service(self._service)
        if service is None:
            raise TransferOvertaken(target.digest[:12])
        self._transfers = tuple(
            Transfer(environment, _make_transfer_request(service, digest))
            for digest in target.digests
        )
        if self._stopping.is_set() or not self._is_wanted(target):
            raise TransferOvertaken(target.digest[:12])
        try:
            self._run_transfers()
        finally:
            self._transfers = ()
        environment.swarms.retain(environment.cache.versions())
        for adapter in target.adapters:
            manifest = environment.cache.manifest(adapter)
            if manifest is None or manifest.base != target.digest:
                raise AdapterMismatch(
                    f"adapter {adapter[:12]} does not belong to model {target.digest[:12]}"
                )

    def _run_transfers(self) -> None:
        transfers = self._transfers
        with ThreadPoolExecutor(len(transfers), thread_name_prefix="version") as pool:
            progresses = (self._progress, *(None for _ in transfers[1:]))
            pairs = zip(transfers, progresses, strict=True)
            runs = [pool.submit(transfer.run, progress) for transfer, progress in pairs]
            try:
                for run in runs:
                    run.result()
            except Exception:
                for transfer in transfers:
                    transfer.cancel()
                raise

    def _activate(self, target: TargetWeights) -> None:
        """Load the target under a wave slot, which is held until the engine serves again."""
        if not self._may_load(target):
            raise ActivationAbandoned("the configuration is not justified by the store or by peers")
        is_swap = self._state.digest is not None or self._slot is not None
        if self._slot is not None and not self._slot.is_valid():
            self._release_slot()
        if is_swap and self._slot is None:
            self._slot = self._slots.acquire(
                target.service, target.max_unavailable, lambda: self._is_wanted(target)
            )
            if self._slot is None:
                raise ActivationAbandoned("no wave slot was acquired")
        self._suspend()
        try:
            if not self._state.wait_until_idle(DRAIN_TIMEOUT_S):
                raise ActivationAbandoned("attempts are still running")
            self._activation.load(target, self._slot, lambda: self._may_load(target))
        except ActivationAbandoned:
            self._resume()
            raise

    def _resume(self) -> None:
        """Serve the previous version again after an abandoned swap, if it is still loaded."""
        if self._active is not None and self._activation.is_loaded(self._active):
            self._serve(self._active)

    def _serve(self, target: TargetWeights) -> None:
        self._active = target
        self._state.serve(target.digest)
        self._view.update_own(serving=target.digest, adapters=target.adapters)
        self._exchange.trigger_heartbeat()
        self._pin(set(target.digests))
        self._release_slot()

    def _suspend(self) -> None:
        if self._state.digest is not None:
            self._state.suspend()
            self._view.update_own(serving="-")
            self._exchange.trigger_heartbeat()

    def _pin(self, digests: set[str]) -> None:
        for digest in digests - self._pinned:
            self._environment.cache.pin(digest)
        for digest in self._pinned - digests:
            self._environment.cache.unpin(digest)
        self._pinned = frozenset(digests)

    def _release_slot(self) -> None:
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.release()


def _make_transfer_request(service: Service, digest: str) -> TransferRequest:
    selector = ReplicaSelector(service.name, service.availability_zones)
    return TransferRequest(digest, selector, service.objective)
