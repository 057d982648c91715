"""Polling of the platform for the newest revision and the list of VMs."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import Protocol

from hibiscustray.deployments import Configuration, RevisionStore
from hibiscustray.exceptions import PlatformError
from hibiscustray.membership.view import MemberView
from hibiscustray.peers.messages import DEAD, LEFT
from hibiscustray.protocols import CallRateLimiter, VirtualMachine, VmList
from hibiscustray.settings import MembershipSettings
from hibiscustray.telemetry import Metrics

EXPECTED_HEAD_READERS = 8
"""Expected number of processes in the fleet that read the head per poll interval."""
EXPECTED_LIST_READERS = 3
"""Expected number of processes in the fleet that read the VM list per list interval."""
UNESTABLISHED_POLL_SHARE = 0.25
"""Additional probability that a process that is not established reads the head in an interval."""
MAX_CONTACTS = 3
ALONE_LIST_INTERVAL_S = 1.0
READS_PER_S = 4.0
READ_BURST = 8.0
MAX_BACKOFF_S = 4.0


class RevisionPropagator(Protocol):
    """Sends a revision that the poller has activated to other processes."""

    def propagate_revision(self) -> None:
        """Send the active revision to other processes."""


class PlatformPoller:
    """Polls with a probability that keeps the fleet's expected reads constant at any size."""

    def __init__(
        self,
        view: MemberView,
        configuration: Configuration,
        revisions: RevisionStore,
        vm_list: VmList,
        settings: MembershipSettings,
        metrics: Metrics,
        contact: Callable[[str], None],
        propagator: RevisionPropagator,
    ) -> None:
        self._view = view
        self._configuration = configuration
        self._revisions = revisions
        self._vm_list = vm_list
        self._settings = settings
        self._metrics = metrics
        self._contact = contact
        self._propagator = propagator
        self._random = random.Random(view.own.id)
        self._rate_limiter = CallRateLimiter(READS_PER_S, READ_BURST)
        self._failures = 0
        self._resume_at = 0.0
        self._listed_count = 1
        self._stopping = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        self._stopping.wait(self._random.uniform(0.0, self._settings.poll_interval_s / 2))
        self._read_vm_list()
        next_list = self._schedule_list()
        while not self._stopping.is_set():
            if time.monotonic() >= next_list:
                if self._is_chosen(EXPECTED_LIST_READERS):
                    self._read_vm_list()
                next_list = self._schedule_list()
            if self._is_poll_due():
                self._poll_head()
            self._stopping.wait(self._settings.poll_interval_s * self._random.uniform(0.8, 1.2))

    def stop(self) -> None:
        """Make `run` return."""
        self._stopping.set()

    def _schedule_list(self) -> float:
        is_alone = self._view.count() == 1
        interval = ALONE_LIST_INTERVAL_S if is_alone else self._settings.list_interval_s
        return time.monotonic() + interval * self._random.uniform(0.8, 1.2)

    def _is_chosen(self, readers: int) -> bool:
        count = max(self._view.count(), self._listed_count)
        return self._random.random() < readers / count

    def _is_poll_due(self) -> bool:
        if time.monotonic() < self._resume_at:
            return False
        if self._is_chosen(EXPECTED_HEAD_READERS):
            return True
        is_unestablished = not self._configuration.justification.is_established
        return is_unestablished and self._random.random() < UNESTABLISHED_POLL_SHARE

    def _poll_head(self) -> None:
        if not self._rate_limiter.try_acquire():
            return
        try:
            head = self._revisions.read_head()
        except PlatformError:
            self._back_off()
            return
        self._failures = 0
        self._metrics.count("store_reads_total")
        number = head.number if head else 0
        if number > self._configuration.number and self._configuration.adopt(head):
            self._propagator.propagate_revision()
        self._configuration.justification.record_store_read(number, self._configuration.number)

    def _back_off(self) -> None:
        """Delay the next poll by exponential backoff with full jitter."""
        self._metrics.count("store_unavailable_total")
        self._failures += 1
        longest = min(MAX_BACKOFF_S, self._settings.poll_interval_s * 2**self._failures)
        self._resume_at = time.monotonic() + self._random.uniform(0.0, longest)

    def _read_vm_list(self) -> None:
        if self._view.count() == 1:
            self._contact_some(list(self._settings.seeds))
        if not self._rate_limiter.try_acquire():
            return
        try:
            vms = self._vm_list.read()
        except PlatformError:
            self._metrics.count("store_unavailable_total")
            return
        self._metrics.count("list_reads_total")
        running = [m for m in vms if m.is_running and m.name != self._view.own.id]
        self._listed_count = len(running) + 1
        self._configuration.justification.expect_peers(len(running))
        self._contact_some([m.peer_address for m in running if self._is_unknown_or_departed(m)])

    def _is_unknown_or_departed(self, vm: VirtualMachine) -> bool:
        known = self._view.get(vm.name)
        return known is None or known.status in (DEAD, LEFT)

    def _contact_some(self, addresses: list[str]) -> None:
        for address in self._random.sample(addresses, min(MAX_CONTACTS, len(addresses))):
            self._contact(address)
