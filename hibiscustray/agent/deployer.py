"""The thread that brings the agent's upstream to what the configuration asks for."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from hibiscustray.agent.state import ServingState
from hibiscustray.deployments import Configuration, Deployment, Service
from hibiscustray.exceptions import HibiscustrayError, NoConfiguration, TransferOvertaken
from hibiscustray.membership import Exchange, MemberView
from hibiscustray.rollout import Activation
from hibiscustray.rollout.activation import Target
from hibiscustray.telemetry import Metrics
from hibiscustray.weights import (
    Carriers,
    ChunkCache,
    Transfer,
    TransferEnvironment,
    TransferOrder,
)

log = logging.getLogger(__name__)

RETRY_S = 0.5
DRAIN_LIMIT_S = 120.0


class Deployer:
    """Compares the target with what is served and closes the gap, one version at a time."""

    def __init__(
        self,
        service: str,
        configuration: Configuration,
        view: MemberView,
        exchange: Exchange,
        state: ServingState,
        environment: TransferEnvironment,
        activation: Activation,
        cache: ChunkCache,
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
        self._cache = cache
        self._metrics = metrics
        self._stopping = stopping
        self._changed = threading.Event()
        self._transfer: Transfer | None = None
        self._progress: Callable[[int, int], None] | None = None
        self._thread = threading.Thread(target=self._run, name="deployer", daemon=True)
        configuration.add_listener(self._note_change)

    def start(self, on_progress: Callable[[int, int], None] | None = None) -> None:
        """Begin to follow the configuration."""
        self._progress = on_progress
        self._thread.start()

    def stop(self) -> None:
        """Cancel a running transfer and end the thread."""
        self._stopping.set()
        self._changed.set()
        if self._transfer is not None:
            self._transfer.cancel()
        self._thread.join()

    def _note_change(self, revision, deployment: Deployment) -> None:
        transfer = self._transfer
        if transfer is not None and transfer.digest != deployment.find_digest(self._service):
            transfer.cancel()
        self._changed.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._changed.wait(RETRY_S)
            self._changed.clear()
            try:
                self._close_gap()
            except TransferOvertaken:
                log.info("transfer overtaken by a newer version")
            except NoConfiguration:
                continue
            except HibiscustrayError as error:
                self._metrics.count("deploy_failures_total", {"kind": type(error).__name__})
                self._stopping.wait(RETRY_S)

    def _close_gap(self) -> None:
        deployment = self._configuration.deployment
        service = deployment.find_service(self._service)
        if service is None or not self._is_wanted_here(service):
            self._suspend()
            return
        target = Target(
            service=service.name,
            digest=deployment.find_digest(service.name),
            revision=self._configuration.number,
            max_unavailable=service.max_unavailable,
        )
        if self._state.digest == target.digest:
            return
        if target.digest:
            self._transfer = Transfer(self._environment, _order_transfer(service, target.digest))
            self._transfer.run(self._progress)
            self._activate(target)
        self._serve(target.digest)

    def _is_wanted_here(self, service: Service) -> bool:
        zones = service.availability_zones
        return not zones or self._view.own.availability_zone in zones

    def _activate(self, target: Target) -> None:
        is_swap = self._state.digest is not None
        slot = self._activation.acquire_slot(target) if is_swap else None
        if is_swap and slot is None:
            raise TransferOvertaken(target.digest[:12])
        try:
            self._suspend()
            if self._state.wait_until_idle(DRAIN_LIMIT_S):
                self._activation.load(target)
                self._serve(target.digest)
        finally:
            self._activation.release_slot(slot)

    def _serve(self, digest: str) -> None:
        self._state.serve(digest)
        self._view.update_own(serving=digest)
        self._exchange.announce()

    def _suspend(self) -> None:
        if self._state.digest is not None:
            self._state.suspend()
            self._view.update_own(serving="-")
            self._exchange.announce()


def _order_transfer(service: Service, digest: str) -> TransferOrder:
    carriers = Carriers(service.name, service.availability_zones)
    return TransferOrder(digest, carriers, service.objective)
