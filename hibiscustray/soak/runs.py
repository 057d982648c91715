"""Runs a soak: starts its processes, applies a schedule of faults and reports the results."""

from __future__ import annotations

import json
import logging
import random
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from hibiscustray.exceptions import ProgramEnded
from hibiscustray.soak.callers import Caller, HarmfulCaller
from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.guarantees import MAX_RECOVERY_S, MAX_VERSION_AGE_S, GuaranteeChecker
from hibiscustray.soak.interface import StandIns
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from hibiscustray.soak.records import Violation
from hibiscustray.soak.replicas import SoakReplica
from hibiscustray.soak.schedule import (
    EarlyEnds,
    EntryFault,
    HarmfulRequest,
    LinkFault,
    OperatorAction,
    ReplicaFault,
    ReplicaLimit,
    ReplicaPushback,
    Step,
    StoreFault,
    generate_schedule,
)

log = logging.getLogger(__name__)

START_TIMEOUT_S = 30.0
"""Longest time until an entry is ready at the start of a soak on a busy machine."""
DRAINING_S = 4.0
"""Time for which a draining replica stays listed and serves: its drain time of 3 s plus 1 s."""
FIRST_SWAP_S, MAX_SWAP_INTERVAL_S = 0.6 * MAX_VERSION_AGE_S, 0.5 * MAX_VERSION_AGE_S
"""Time from a new target version to the first replica's swap, and from one replica's to the next.

Most are done after the bound, so their replicas hold an outdated version past it.
"""
LAST_SWAP_S = 1.6 * MAX_VERSION_AGE_S
"""Time from a new target version by which the last replica has swapped, however many there are."""
MIN_RESTART_S, MAX_RESTART_S = 2.0, 4.0
"""Time after which a replica that ended under a harmful request starts again."""
HARMFUL_CALLERS = 3
"""Callers that repeat each harmful request."""
WATCH_INTERVAL_S = 0.25
"""Interval at which the soak checks whether the entry processes are running."""
STORE_BODY_PAUSE_S = 0.4
STORE_LOST_RESPONSE_SHARE = 0.4
LINK_DELAY_S = 0.15
CLOCK_JUMP_S = 500.0
STREAM_SERVICE, PLAIN_SERVICE = "guide", "booking"
SERVICES = {"book": PLAIN_SERVICE, "look": PLAIN_SERVICE, "draft": STREAM_SERVICE}
"""Service of each kind of request."""
INITIAL_KEY = "key-0"
INITIAL_VERSION = 1


@dataclass(frozen=True)
class SoakOptions:
    """The seed and length of a soak, and its numbers of entries, replicas and callers.

    `without` has the groups of steps that are left out of the schedule.
    """

    seed: int
    length_s: float
    entries: int = 3
    replicas: int = 6
    callers: int = 12
    without: frozenset[str] = frozenset()


@dataclass(frozen=True)
class SoakReport:
    """The results of a soak.

    `requests` is the sum of `outcomes`, which counts requests by kind and HTTP status: 0 if the
    connection failed, and "unreachable" if it was refused. `faults` counts the steps by kind, and
    `checks` the checks by rule. `folder` has the entries' logs.
    """

    seed: int
    requests: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    checks: dict[str, int]
    violations: tuple[Violation, ...]
    folder: str

    def render(self) -> str:
        """Return the report as one line of JSON."""
        fields = {name: getattr(self, name) for name in self.__dataclass_fields__}
        fields["violations"] = [vars(violation) for violation in self.violations]
        return json.dumps(fields)


@dataclass
class _Environment:
    """The stand-ins, proxies, entries and replicas of a soak, and its state."""

    options: SoakOptions
    standins: StandIns
    folder: Path
    started_at: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.disturbances = DisturbanceLog()
        self.checker = GuaranteeChecker(self.disturbances, self.started_at)
        self.store = self.standins.StoreStandIn()
        self.store_links = [LoopbackProxy(self.store.address) for _ in range(self.options.entries)]
        self.entries = [
            EntryProgram(number, link.address, self.folder)
            for number, link in enumerate(self.store_links)
        ]
        self.replicas = [
            SoakReplica(
                number,
                PLAIN_SERVICE if number % 2 else STREAM_SERVICE,
                self.standins,
                self.store,
                self.checker,
                INITIAL_VERSION,
            )
            for number in range(self.options.replicas)
        ]
        self.checker.quiet.replicas = {
            kind: tuple(r.number for r in self.replicas if r.service == service)
            for kind, service in SERVICES.items()
        }
        for replica in self.replicas:
            replica.on_end = self._end_replica
        self.harmful_callers: list[HarmfulCaller] = []
        self.faults: Counter[str] = Counter()
        self.version = INITIAL_VERSION
        self.revision = 1
        self.keys = [INITIAL_KEY, "key-1"]
        self.revoked_keys: list[str] = []
        self.stop_event = threading.Event()
        self._fault_threads: list[threading.Thread] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Publish the configuration, list the replicas and wait until all entries are ready."""
        self.store.publish(self.revision, self.keys)
        for replica in self.replicas:
            replica.register()
        for entry in self.entries:
            entry.start()
        for number in range(len(self.entries)):
            if not self._wait_ready(number, START_TIMEOUT_S):
                self.checker.record_violation(
                    "RECOVER", time.monotonic(), f"entry {number} was not ready at the start"
                )

    def apply(self, step: Step) -> None:
        """Apply a step; a fault is applied and ended in a background thread."""
        now = time.monotonic()
        match step:
            case EntryFault(entry=number, kind=kind, duration_s=duration_s):
                self.faults[f"entry {kind}"] += 1
                self._run_in_background(self._signal_entry, number, kind, duration_s)
            case LinkFault(target="store", index=number, state=state, duration_s=duration_s):
                self.faults[f"store link {state.value}"] += 1
                self.disturbances.add(number, now, now + duration_s)
                self._run_in_background(_disturb_link, self.store_links[number], state, duration_s)
            case LinkFault(index=number, state=state, duration_s=duration_s):
                self.faults[f"replica link {state.value}"] += 1
                self.checker.replica_links.add(number, now, now + duration_s)
                self._run_in_background(
                    _disturb_link, self.replicas[number].proxy, state, duration_s
                )
            case StoreFault(kind=kind, duration_s=duration_s):
                self.faults[f"store {kind}"] += 1
                self.disturbances.add(None, now, now + duration_s)
                self._run_in_background(self._disturb_store, kind, duration_s)
            case ReplicaFault(replica=number, kind=kind, duration_s=duration_s):
                self.faults[f"replica {kind}"] += 1
                self._run_in_background(
                    self._disturb_replica, self.replicas[number], kind, duration_s
                )
            case ReplicaLimit(replica=number):
                self.faults["replica limit"] += 1
                self._run_in_background(self._limit_replica, self.replicas[number], step)
            case ReplicaPushback(replica=number):
                self.faults["replica pushback"] += 1
                self._run_in_background(self._push_back, self.replicas[number], step)
            case EarlyEnds(replica=number):
                self.faults["replica early"] += 1
                self._run_in_background(self._end_responses_early, self.replicas[number], step)
            case HarmfulRequest(kind=kind):
                self.faults[f"harmful {kind}"] += 1
                self._start_harmful_callers(step)
            case OperatorAction(action=action):
                self.faults[f"operator {action}"] += 1
                self._perform_action(action)

    def choose_key(self, rng: random.Random) -> str:
        """Return the team key for a request: an active one, or sometimes a revoked one."""
        if self.revoked_keys and rng.random() < 0.1:
            return rng.choice(self.revoked_keys)
        return self.keys[0]

    def watch_entries(self) -> None:
        """Record entries that exit unexpectedly and start them again, until the soak stops."""
        while not self.stop_event.wait(WATCH_INTERVAL_S):
            for number, entry in enumerate(self.entries):
                try:
                    entry.check_running()
                except ProgramEnded as error:
                    self.checker.record_violation("EXIT", time.monotonic(), str(error))
                    entry.start()
                    self._check_recovery(number)

    def finish_faults(self) -> None:
        """Wait until all faults have ended, then stop the callers and the watch of the entries."""
        for thread in self._fault_threads:
            thread.join()
        self.stop_event.set()

    def close(self) -> None:
        """Stop the entries with SIGTERM, then the proxies and the stand-ins."""
        threads = [
            threading.Thread(target=self._stop_entry, args=(entry,)) for entry in self.entries
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for closeable in (*self.store_links, *self.replicas, self.store):
            closeable.close()

    def _stop_entry(self, entry: EntryProgram) -> None:
        if not entry.stop():
            self.checker.record_violation(
                "STOP", time.monotonic(), f"{entry.id} did not exit at the end of the soak"
            )

    def _run_in_background(self, function, *arguments) -> None:
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self._fault_threads.append(thread)
        thread.start()

    def _signal_entry(self, number: int, kind: str, duration_s: float) -> None:
        entry, begin = self.entries[number], time.monotonic()
        match kind:
            case "pause":
                end = begin + duration_s + WATCH_INTERVAL_S
                self.disturbances.add(number, begin, end, is_of_process=True)
                entry.pause(duration_s)
                return
            case "stop":
                # No disturbance is recorded until the process has exited, since its callers'
                # requests have to end as usual.
                if not entry.stop():
                    self.checker.record_violation(
                        "STOP", time.monotonic(), f"{entry.id} did not exit after SIGTERM"
                    )
            case "kill":
                entry.kill()
        ended_at, is_graceful = time.monotonic(), kind == "stop"
        self.disturbances.add(number, begin, ended_at, True, is_graceful)
        self.disturbances.add(number, ended_at, ended_at + duration_s, is_of_process=True)
        time.sleep(duration_s)
        entry.start()
        self._check_recovery(number)

    def _check_recovery(self, number: int) -> None:
        """Wait for an entry that was started again; it has to be ready in time unless disturbed."""
        begin = time.monotonic()
        is_ready = self._wait_ready(number, MAX_RECOVERY_S)
        end = time.monotonic()
        self.checker.checks["RECOVER"] += 1
        if not is_ready and self.disturbances.is_undisturbed(number, end - MAX_RECOVERY_S + 2, end):
            self.checker.record_violation(
                "RECOVER", end, f"entry {number} was not ready in time after a restart"
            )
        self.disturbances.add(number, begin, end, is_of_process=True)

    def _wait_ready(self, number: int, timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                if self.standins.read_readiness(self.entries[number].readiness_address) == 200:
                    return True
            except OSError as error:
                log.debug("entry not ready", extra={"entry": number, "reason": str(error)})
            time.sleep(WATCH_INTERVAL_S / 2)
        return False

    def _disturb_store(self, kind: str, duration_s: float) -> None:
        match kind:
            case "slow":
                self.store.body_pause_s = STORE_BODY_PAUSE_S
            case "refuse":
                self.store.error_status = 503
            case "lose":
                self.store.lost_response_share = STORE_LOST_RESPONSE_SHARE
            case "forget":
                self.store.discard_history()
            case "clock":
                self.store.clock_offset_s = random.choice((-CLOCK_JUMP_S, CLOCK_JUMP_S))
        time.sleep(duration_s)
        self.store.body_pause_s = self.store.lost_response_share = self.store.clock_offset_s = 0.0
        self.store.error_status = 0

    def _disturb_replica(self, replica: SoakReplica, kind: str, duration_s: float) -> None:
        match kind:
            case "quiet" | "hold":
                begin = time.monotonic()
                self.checker.quiet.quiet.add(replica.number, begin, begin + duration_s)
                replica.proxy.hold(duration_s, is_closed_dropped=kind == "quiet")
            case "queue" | "backlog":
                replica.queue = kind
                time.sleep(duration_s)
                replica.queue = ""
            case "leave":
                self._leave(replica, duration_s)
            case "restart":
                with self._lock:
                    if not replica.is_draining:
                        self._restart_replica(replica)
            case "drain":
                with self._lock:
                    if replica.is_draining or replica.is_ended:
                        return
                    replica.is_draining = True
                    replica.register()
                self.checker.record_drain(replica.number, time.monotonic())
                time.sleep(DRAINING_S)
                with self._lock:
                    replica.deregister()
                time.sleep(duration_s)
                with self._lock:
                    self._restart_replica(replica)
                self.checker.record_drain(replica.number, None)
            case _:
                begin = time.monotonic()
                end = begin + duration_s + WATCH_INTERVAL_S
                self.checker.quiet.faults.add(replica.number, begin, end)
                replica.fault = kind
                time.sleep(duration_s)
                replica.fault = ""

    def _start_harmful_callers(self, harmful: HarmfulRequest) -> None:
        for number in range(HARMFUL_CALLERS):
            caller = HarmfulCaller(
                harmful,
                f"{self.options.seed}-{harmful.kind}-{number}",
                self.entries,
                self.standins,
                self.checker,
                lambda rng: rng.choice(self.keys),
                self.stop_event,
            )
            self.harmful_callers.append(caller)
            caller.start()

    def _end_replica(self, replica: SoakReplica, start_count: int, harm: str) -> None:
        """End a replica under a harmful request, unless it has ended, and start it again later."""
        with self._lock:
            if replica.is_ended or replica.start_count != start_count:
                return
            begin = time.monotonic()
            replica.end()
            self.checker.record_end(replica.number, harm, begin, time.monotonic())
        threading.Thread(
            target=self._restart_ended, args=(replica, start_count), daemon=True
        ).start()

    def _restart_ended(self, replica: SoakReplica, start_count: int) -> None:
        self.stop_event.wait(random.uniform(MIN_RESTART_S, MAX_RESTART_S))
        with self._lock:
            # A replica that is draining starts again at the end of its drain.
            is_due = replica.start_count == start_count and not replica.is_draining
            if is_due and not self.stop_event.is_set():
                self._restart_replica(replica)

    def _limit_replica(self, replica: SoakReplica, step: ReplicaLimit) -> None:
        """Have a replica name a limit for a time, unless it starts again before."""
        with self._lock:
            start_count = replica.start_count
            if replica.is_ended:
                return
            replica.limit = str(step.limit_per_s)
            self.checker.record_limit(replica.number, step.limit_per_s, time.monotonic())
        time.sleep(step.duration_s)
        with self._lock:
            if replica.start_count == start_count:
                self.checker.record_limit(replica.number, None, time.monotonic())
                replica.limit = ""

    def _push_back(self, replica: SoakReplica, step: ReplicaPushback) -> None:
        """Have a replica turn requests away for a time, unless it starts again before."""
        with self._lock:
            start_count = replica.start_count
            if replica.is_ended:
                return
            replica.pushback = step.value
        time.sleep(step.duration_s)
        with self._lock:
            if replica.start_count == start_count:
                replica.pushback = ""

    def _end_responses_early(self, replica: SoakReplica, step: EarlyEnds) -> None:
        begin = time.monotonic()
        end = begin + step.duration_s + WATCH_INTERVAL_S
        self.checker.quiet.faults.add(replica.number, begin, end)
        replica.early_ends = step.ends
        time.sleep(step.duration_s)
        replica.early_ends = ()

    def _leave(self, replica: SoakReplica, duration_s: float) -> None:
        """Have a replica say that it leaves, and start it again after a time."""
        with self._lock:
            start_count = replica.start_count
            if replica.is_ended or replica.is_draining:
                return
            replica.is_leaving = True
        time.sleep(duration_s)
        with self._lock:
            if replica.start_count == start_count and not replica.is_draining:
                self._restart_replica(replica)

    def _restart_replica(self, replica: SoakReplica) -> None:
        begin = time.monotonic()
        replica.restart(self.version)
        self.checker.record_start(replica.number, begin)
        self.checker.quiet.ends.add(replica.number, begin, time.monotonic())

    def _swap_replicas(self, version: int) -> None:
        """Have the stream replicas change to a version one after another."""
        replicas = [r for r in self.replicas if r.service == STREAM_SERVICE]
        interval_s = (LAST_SWAP_S - FIRST_SWAP_S) / max(1, len(replicas) - 1)
        pause_s = FIRST_SWAP_S
        for replica in replicas:
            time.sleep(pause_s)
            with self._lock:
                replica.swap(version)
            pause_s = min(MAX_SWAP_INTERVAL_S, interval_s)

    def _perform_action(self, action: str) -> None:
        with self._lock:
            match action:
                case "name":
                    self.version += 1
                    self.store.set_target_version(self.version)
                    self.checker.record_target_version(self.version, time.monotonic())
                    self._run_in_background(self._swap_replicas, self.version)
                    return
                case "revoke":
                    revoked, self.keys = self.keys[0], [self.keys[1], f"key-{self.revision + 1}"]
                    self.revision += 1
                    self.store.publish(self.revision, self.keys)
                    self.checker.record_revocation(revoked, time.monotonic())
                    self.revoked_keys.append(revoked)
                    return
            self.revision += 1
            self.store.publish(self.revision, self.keys)


def _disturb_link(link: LoopbackProxy, state: LinkState, duration_s: float) -> None:
    link.apply_state(state, LINK_DELAY_S)
    time.sleep(duration_s)
    link.apply_state(LinkState.CLEAR)


def run_soak(
    options: SoakOptions, standins: StandIns, schedule: tuple[Step, ...] | None = None
) -> SoakReport:
    """Run a soak; the schedule is generated from the seed if none is given."""
    if schedule is None:
        schedule = generate_schedule(
            options.seed, options.length_s, options.entries, options.replicas, options.without
        )
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    environment = _Environment(options, standins, folder)
    callers = [
        Caller(
            f"{options.seed}-{number}",
            environment.entries,
            standins,
            environment.checker,
            environment.choose_key,
            environment.stop_event,
        )
        for number in range(options.callers)
    ]
    try:
        environment.start()
        threading.Thread(target=environment.watch_entries, daemon=True).start()
        for caller in callers:
            caller.start()
        _run_schedule(environment, schedule, options.length_s)
        environment.finish_faults()
        stopped_at = time.monotonic()
        for caller in (*callers, *environment.harmful_callers):
            caller.join()
    finally:
        environment.stop_event.set()
        environment.close()
    checker = environment.checker
    checker.finish(stopped_at)
    return SoakReport(
        options.seed,
        sum(checker.outcomes.values()),
        dict(sorted(checker.outcomes.items())),
        dict(sorted(environment.faults.items())),
        dict(sorted(checker.checks.items())),
        tuple(checker.violations),
        str(folder),
    )


def _run_schedule(environment: _Environment, schedule: tuple[Step, ...], length_s: float) -> None:
    begin = time.monotonic()
    for step in schedule:
        time.sleep(max(0.0, begin + step.at_s - time.monotonic()))
        environment.apply(step)
    time.sleep(max(0.0, begin + length_s - time.monotonic()))
