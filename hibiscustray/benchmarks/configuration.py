"""Measures how fast configuration changes reach a fleet under faults, and at which cost."""

from __future__ import annotations

import math
import resource
import statistics
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from hibiscustray.benchmarks.configuration_faults import FaultInjector
from hibiscustray.benchmarks.configuration_fleet import NodeFleet
from hibiscustray.benchmarks.configuration_nodes import Node
from hibiscustray.deployments import Deployment, Revision, RevisionStore, Team, render_deployment
from hibiscustray.exceptions import RevisionConflict, StoreAnswerLost, StoreUnavailable
from hibiscustray.membership import spread_revision
from hibiscustray.peers import PeerPool
from hibiscustray.protocols import Table, VmList

RACING_OPERATORS = 8
"""Operators that change the configuration concurrently under the fault `race`."""
TIMEOUT_S = 2.0
JOIN_TIMEOUT_S = 25.0
ACTIVE_TIMEOUT_S = 15.0
"""Maximum wait until a change is active on all nodes."""
MAX_SECONDS_TO_ACTIVE = 6.0
"""Maximum time until a change is active on all nodes for the benchmark to pass."""
POLL_S = 0.02
JOIN_POLL_S = 0.5
COST_WINDOW_S = 6.0
SIZE_DIVISORS = (4, 2)
"""Divisors of the fleet size; idle fleets of these sizes are measured for the extrapolation."""
CALL_OVERHEAD_BYTES = 330
"""Bytes of transport headers that are added per peer call."""
TARGET_NODES = 1110
"""Fleet size for which the cost is extrapolated."""
MAX_TIME_US = 60_000_000
US_PER_S = 1_000_000
MIB = 1024 * 1024
PERCENT = 100.0


@dataclass(frozen=True)
class NodeCost:
    """Cost per node at one fleet size; bytes include both directions and transport headers."""

    nodes: int
    bytes_per_second: float
    cpu_percent: float
    rss_mib: float
    store_reads_per_second: float
    store_writes_per_second: float


@dataclass(frozen=True)
class ConfigurationReport:
    """Result of a run; violations are counted on nodes, engines and the revision history."""

    nodes: int
    changes: int
    faults: str
    seed: int
    accepted: int
    denied: int
    conflicts: int
    p50_seconds_in_force: float
    p99_seconds_in_force: float
    max_seconds_in_force: float
    reverted: int
    lost: int
    applied_unaccepted: int
    stale_orders_taken: int
    false_suspicions: int
    store_reads_per_second: float
    store_writes_per_second: float
    bytes_per_second: float
    cpu_percent: float
    rss_mib: float
    sizes: tuple[NodeCost, ...]
    worked_out_at_target: NodeCost

    def has_passed(self) -> bool:
        """Return whether there was no violation and all changes became active in time."""
        violations = self.reverted + self.lost + self.applied_unaccepted + self.stale_orders_taken
        is_in_time = self.max_seconds_in_force <= MAX_SECONDS_TO_ACTIVE
        return violations == 0 and self.accepted > 0 and is_in_time


class ConfigurationRun:
    """Applies changes to one fleet while faults are injected."""

    def __init__(self, nodes: int, changes: int, faults: str, seed: int) -> None:
        self._size = nodes
        self._changes = changes
        self._faults = faults
        self._seed = seed
        self._accepted: dict[str, float] = {}
        self._denied: set[str] = set()
        self._uncertain: set[str] = set()
        self._conflicts = 0
        self._times_to_active = HdrHistogram(1, MAX_TIME_US, 3)
        self._never_active = 0
        self._started = 0.0
        self._rss_before = _read_rss()

    def measure(self) -> ConfigurationReport:
        """Measure idle fleets of smaller sizes, then the changes on the full fleet."""
        sizes = sorted({max(1, self._size // divisor) for divisor in SIZE_DIVISORS} - {self._size})
        smaller_fleets = tuple(self._measure_idle_fleet(size) for size in sizes)
        fleet = NodeFleet(self._size, self._seed)
        self._started = time.monotonic()
        injector = FaultInjector(fleet, self._faults, self._seed)
        fleet.start()
        try:
            self._wait_until_joined(fleet)
            cost = _measure_idle_cost(fleet, self._size, self._rss_before)
            for index in range(self._changes):
                self._apply_change(fleet, injector, index)
            return self._make_report(fleet, cost, smaller_fleets)
        finally:
            fleet.stop()

    def _measure_idle_fleet(self, size: int) -> NodeCost:
        fleet = NodeFleet(size, self._seed)
        fleet.start()
        try:
            self._wait_until_joined(fleet)
            return _measure_idle_cost(fleet, size, self._rss_before)
        finally:
            fleet.stop()

    def _wait_until_joined(self, fleet: NodeFleet) -> None:
        """Apply a first revision and wait until every node lists all nodes and may serve it."""
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        _open_store(fleet).accept(_render_plan("first"), "first", 0, uuid.uuid4().hex)
        while time.monotonic() < deadline:
            nodes = fleet.list_nodes()
            is_joined = all(
                node.view.count() == len(nodes) and not node.view.count_pending() for node in nodes
            )
            if is_joined and all(node.configuration.is_justified() for node in nodes):
                return
            time.sleep(JOIN_POLL_S)

    def _apply_change(self, fleet: NodeFleet, injector: FaultInjector, index: int) -> None:
        head = _open_store(fleet).read_head()
        expected = head.number if head else 0
        injector.inject_before()
        count = RACING_OPERATORS if injector.is_racing else 1
        with ThreadPoolExecutor(count) as pool:
            names = [f"operator-{index}-{i}" for i in range(count)]
            results = list(pool.map(lambda name: self._accept(fleet, name, expected), names))
        injector.inject_after()
        accepted = next((result for result in results if result is not None), None)
        if accepted is not None:
            self._wait_until_active(fleet, accepted.number)
        injector.wait_for_end()
        if accepted is not None:
            self._record_times_to_active(fleet, accepted.number, self._accepted[accepted.change_id])

    def _accept(self, fleet: NodeFleet, operator: str, expected: int) -> Revision | None:
        change_id = uuid.uuid4().hex
        store = _open_store(fleet)
        try:
            revision = store.accept(_render_plan(operator), operator, expected, change_id)
        except RevisionConflict:
            self._conflicts += 1
            self._denied.add(change_id)
            return None
        except StoreUnavailable:
            self._denied.add(change_id)
            return None
        except StoreAnswerLost:
            self._uncertain.add(change_id)
            return None
        self._accepted[change_id] = time.monotonic()
        spread_revision(revision, VmList(fleet.platform.url, TIMEOUT_S), PeerPool())
        return revision

    def _wait_until_active(self, fleet: NodeFleet, number: int) -> None:
        deadline = time.monotonic() + ACTIVE_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(node.configuration.number >= number for node in fleet.list_nodes()):
                return
            time.sleep(POLL_S)

    def _record_times_to_active(self, fleet: NodeFleet, number: int, accepted_at: float) -> None:
        """Record each node's time until a revision was active.

        It counts from the acceptance, or from the end of the node's own pause or restart.
        """
        for node in fleet.list_nodes():
            active_at = node.find_adoption(number)
            if active_at is None:
                self._never_active += 1
                continue
            seconds = max(0.0, active_at - max(accepted_at, node.recovered_at))
            self._times_to_active.record_value(min(MAX_TIME_US, int(seconds * US_PER_S) + 1))

    def _make_report(
        self, fleet: NodeFleet, cost: NodeCost, smaller_fleets: tuple[NodeCost, ...]
    ) -> ConfigurationReport:
        elapsed_s = time.monotonic() - self._started
        history = _open_store(fleet).read_history()
        known = {revision.change_id for revision in history}
        nodes = fleet.list_nodes()
        sizes = (*smaller_fleets, cost)
        return ConfigurationReport(
            nodes=self._size,
            changes=self._changes,
            faults=self._faults,
            seed=self._seed,
            accepted=len(self._accepted),
            denied=len(self._denied),
            conflicts=self._conflicts,
            p50_seconds_in_force=self._times_to_active.get_value_at_percentile(50) / US_PER_S,
            p99_seconds_in_force=self._times_to_active.get_value_at_percentile(99) / US_PER_S,
            max_seconds_in_force=self._times_to_active.get_max_value() / US_PER_S,
            reverted=fleet.reverted,
            lost=self._never_active + len(set(self._accepted) - known),
            applied_unaccepted=self._count_unaccepted([*fleet.replaced_nodes, *nodes], known),
            stale_orders_taken=fleet.stale_orders_taken,
            false_suspicions=sum(node.view.false_suspicions for node in nodes),
            store_reads_per_second=round(fleet.platform.table_reads / elapsed_s, 2),
            store_writes_per_second=round(fleet.platform.table_writes / elapsed_s, 2),
            bytes_per_second=cost.bytes_per_second,
            cpu_percent=cost.cpu_percent,
            rss_mib=cost.rss_mib,
            sizes=sizes,
            worked_out_at_target=extrapolate_cost(sizes, TARGET_NODES),
        )

    def _count_unaccepted(self, nodes: list[Node], known: set[str]) -> int:
        """Count changes adopted or stored although denied, and those adopted but not stored."""
        adopted = {adoption.change_id for node in nodes for adoption in node.adoptions}
        return len(adopted & self._denied) + len(adopted - known) + len(known & self._denied)


def extrapolate_cost(sizes: tuple[NodeCost, ...], nodes: int) -> NodeCost:
    """Fit each cost linearly to the logarithm of the fleet size; extrapolate to another size."""
    names = [name for name in NodeCost.__dataclass_fields__ if name != "nodes"]
    values = {name: _extrapolate(sizes, name, nodes) for name in names}
    return NodeCost(nodes=nodes, **values)


def _extrapolate(sizes: tuple[NodeCost, ...], name: str, nodes: int) -> float:
    values = [getattr(size, name) for size in sizes]
    if len(sizes) < 2:
        return values[0]
    line = statistics.linear_regression([math.log2(size.nodes) for size in sizes], values)
    return round(max(0.0, line.intercept + line.slope * math.log2(nodes)), 2)


def _measure_idle_cost(fleet: NodeFleet, size: int, rss_before: float) -> NodeCost:
    """Measure a fleet during `COST_WINDOW_S` without changes.

    CPU time and memory include the platform's stand-in, which runs in the same process.
    """
    started, cpu_before = time.monotonic(), time.process_time()
    bytes_before, calls_before = fleet.bytes_moved, fleet.calls_made
    reads_before, writes_before = fleet.platform.table_reads, fleet.platform.table_writes
    time.sleep(COST_WINDOW_S)
    seconds = time.monotonic() - started
    total_bytes = (
        fleet.bytes_moved - bytes_before + (fleet.calls_made - calls_before) * CALL_OVERHEAD_BYTES
    )
    return NodeCost(
        nodes=size,
        bytes_per_second=round(2 * total_bytes / seconds / size, 1),
        cpu_percent=round((time.process_time() - cpu_before) / seconds / size * PERCENT, 3),
        rss_mib=round(rss_before + (_read_rss() - rss_before) / size, 1),
        store_reads_per_second=round((fleet.platform.table_reads - reads_before) / seconds, 2),
        store_writes_per_second=round((fleet.platform.table_writes - writes_before) / seconds, 2),
    )


def _read_rss() -> float:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / MIB


def _render_plan(team: str) -> str:
    return render_deployment(Deployment("bench", teams=(Team(team),)))


def _open_store(fleet: NodeFleet) -> RevisionStore:
    return RevisionStore(Table(fleet.platform.url, TIMEOUT_S))
