"""One soak: the programs, the stand-ins, the faults of a schedule, and what came of it."""

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
from hibiscustray.soak.callers import Caller
from hibiscustray.soak.interface import StandIns
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.promises import (
    RECOVERY_S,
    Promises,
    TroubleLog,
    Violation,
)
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from hibiscustray.soak.replicas import SoakReplica
from hibiscustray.soak.schedule import (
    DisturbLink,
    DisturbReplica,
    DisturbStore,
    Operate,
    SignalEntry,
    Step,
    draw_schedule,
)

log = logging.getLogger(__name__)

START_S = 30.0
"""Longest time until all entries are ready at the start of a soak on a busy machine."""
DRAIN_LISTED_S = 4.0
"""Time for which a replica that leaves goes on serving: its drain time of 3 s and a little."""
WATCH_S = 0.25
STORE_DELAY_S = 0.4
STORE_LOST_SHARE = 0.4
LINK_DELAY_S = 0.15
CLOCK_JUMP_S = 500.0
STREAM_SERVICE, PLAIN_SERVICE = "guide", "booking"
FIRST_KEY = "key-0"


@dataclass(frozen=True)
class SoakOptions:
    """A soak: its seed, how long it takes, and how many entries, replicas and callers it has."""

    seed: int
    length_s: float
    entries: int = 3
    replicas: int = 6
    callers: int = 12


@dataclass(frozen=True)
class SoakReport:
    """What a soak did and found; `folder` has the entries' logs."""

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
class _Site:
    """Everything that runs in a soak."""

    options: SoakOptions
    standins: StandIns
    folder: Path
    started_at: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.troubles = TroubleLog()
        self.promises = Promises(self.troubles, self.started_at)
        self.store = self.standins.StoreStandIn()
        self.links = [LoopbackProxy(self.store.address) for _ in range(self.options.entries)]
        self.entries = [
            EntryProgram(number, link.address, self.folder)
            for number, link in enumerate(self.links)
        ]
        self.replicas = [
            SoakReplica(
                number,
                PLAIN_SERVICE if number % 2 else STREAM_SERVICE,
                self.standins,
                self.store,
                self.promises,
            )
            for number in range(self.options.replicas)
        ]
        self.faults: Counter[str] = Counter()
        self.version = 1
        self.revision = 1
        self.keys = [FIRST_KEY, "key-1"]
        self.lost_keys: list[str] = []
        self.stopping = threading.Event()
        self._timers: list[threading.Thread] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        self.store.publish(self.revision, self.keys)
        for replica in self.replicas:
            replica.list(self.version)
        for entry in self.entries:
            entry.start()
        for number in range(len(self.entries)):
            if not self._wait_ready(number, START_S):
                self.promises.note_violation("RECOVER", time.monotonic(), f"entry {number}")

    def apply(self, step: Step) -> None:
        """Begin a fault; one that lasts goes on in the background."""
        now = time.monotonic()
        match step:
            case SignalEntry(entry=number, how=how, for_s=for_s):
                self.faults[f"entry {how}"] += 1
                self._later(self._signal, number, how, for_s)
            case DisturbLink(place="store", index=number, state=state, for_s=for_s):
                self.faults[f"store link {state.value}"] += 1
                self.troubles.add(number, now, now + for_s)
                self._later(_disturb, self.links[number], state, for_s)
            case DisturbLink(index=number, state=state, for_s=for_s):
                self.faults[f"replica link {state.value}"] += 1
                self._later(_disturb, self.replicas[number].proxy, state, for_s)
            case DisturbStore(how=how, for_s=for_s):
                self.faults[f"store {how}"] += 1
                self.troubles.add(None, now, now + for_s)
                self._later(self._disturb_store, how, for_s)
            case DisturbReplica(replica=number, how=how, for_s=for_s):
                self.faults[f"replica {how}"] += 1
                self._later(self._disturb_replica, self.replicas[number], how, for_s)
            case Operate(what=what):
                self.faults[f"operator {what}"] += 1
                self._operate(what)

    def choose_key(self, draw: random.Random) -> str:
        """Return a key that a caller uses: one in force, at times one that was taken away."""
        if self.lost_keys and draw.random() < 0.1:
            return draw.choice(self.lost_keys)
        return self.keys[0]

    def watch(self) -> None:
        """Note entries that end by themselves, and start them again."""
        while not self.stopping.wait(WATCH_S):
            for number, entry in enumerate(self.entries):
                try:
                    entry.check()
                except ProgramEnded as error:
                    self.promises.note_violation("EXIT", time.monotonic(), str(error))
                    entry.start()
                    self._note_start(number)

    def finish(self) -> None:
        """Wait for the faults' ends, then end everything that was started."""
        for timer in self._timers:
            timer.join()
        self.stopping.set()

    def close(self) -> None:
        """End the entries by SIGTERM, and the stand-ins."""
        stops = [threading.Thread(target=self._end, args=(entry,)) for entry in self.entries]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()
        for part in (*self.links, *self.replicas, self.store):
            part.close()

    def _end(self, entry: EntryProgram) -> None:
        if not entry.stop():
            self.promises.note_violation("STOP", time.monotonic(), f"{entry.id} did not end")

    def _later(self, function, *arguments) -> None:
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self._timers.append(thread)
        thread.start()

    def _signal(self, number: int, how: str, for_s: float) -> None:
        entry, begin = self.entries[number], time.monotonic()
        match how:
            case "pause":
                self.troubles.add(number, begin, begin + for_s + WATCH_S)
                entry.pause(for_s)
                return
            case "stop":
                # Until the process has ended its callers' requests end as ever.
                if not entry.stop():
                    self.promises.note_violation("STOP", time.monotonic(), f"{entry.id} hung")
            case "kill":
                entry.kill()
        self.troubles.add(number, begin, time.monotonic() + for_s)
        time.sleep(for_s)
        entry.start()
        self._note_start(number)

    def _note_start(self, number: int) -> None:
        """Wait for an entry that was started; it has to be ready in time if nothing hinders it."""
        begin = time.monotonic()
        is_ready = self._wait_ready(number, RECOVERY_S)
        end = time.monotonic()
        self.promises.checks["RECOVER"] += 1
        if not is_ready and self.troubles.is_calm(number, end - RECOVERY_S + 2, end):
            self.promises.note_violation("RECOVER", end, f"entry {number}")
        self.troubles.add(number, begin, end)

    def _wait_ready(self, number: int, limit_s: float) -> bool:
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            try:
                if self.standins.read_readiness(self.entries[number].readiness) == 200:
                    return True
            except OSError as error:
                log.debug("entry not ready", extra={"entry": number, "reason": str(error)})
            time.sleep(WATCH_S / 2)
        return False

    def _disturb_store(self, how: str, for_s: float) -> None:
        match how:
            case "slow":
                self.store.body_pause_s = STORE_DELAY_S
            case "refuse":
                self.store.error_status = 503
            case "lose":
                self.store.lost_response_share = STORE_LOST_SHARE
            case "forget":
                self.store.discard_history()
            case "clock":
                self.store.clock_offset_s = random.choice((-CLOCK_JUMP_S, CLOCK_JUMP_S))
        time.sleep(for_s)
        self.store.body_pause_s = self.store.lost_response_share = self.store.clock_offset_s = 0.0
        self.store.error_status = 0

    def _disturb_replica(self, replica: SoakReplica, how: str, for_s: float) -> None:
        match how:
            case "restart":
                with self._lock:
                    if not replica.is_leaving:
                        replica.restart(self.version)
            case "drain":
                with self._lock:
                    if replica.is_leaving:
                        return
                    replica.is_leaving = True
                    replica.list(self.version)
                self.promises.note_drained(replica.number, time.monotonic())
                time.sleep(DRAIN_LISTED_S)
                with self._lock:
                    replica.unlist()
                time.sleep(for_s)
                with self._lock:
                    replica.restart(self.version)
                self.promises.note_drained(replica.number, None)
            case _:
                replica.mode = how
                time.sleep(for_s)
                replica.mode = ""

    def _operate(self, what: str) -> None:
        with self._lock:
            match what:
                case "name":
                    self.version += 1
                    self.store.set_target_version(self.version)
                    for replica in self.replicas:
                        if not replica.is_leaving:
                            replica.list(self.version)
                    return
                case "revoke":
                    lost, self.keys = self.keys[0], [self.keys[1], f"key-{self.revision + 1}"]
                    self.revision += 1
                    self.store.publish(self.revision, self.keys)
                    self.promises.note_revoked(lost, time.monotonic())
                    self.lost_keys.append(lost)
                    return
            self.revision += 1
            self.store.publish(self.revision, self.keys)


def _disturb(link: LoopbackProxy, state: LinkState, for_s: float) -> None:
    link.disturb(state, LINK_DELAY_S)
    time.sleep(for_s)
    link.disturb(LinkState.CLEAR)


def run_soak(
    options: SoakOptions, standins: StandIns, schedule: tuple[Step, ...] | None = None
) -> SoakReport:
    """Run a soak; the schedule is drawn from the seed if none is given."""
    if schedule is None:
        schedule = draw_schedule(options.seed, options.length_s, options.entries, options.replicas)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    site = _Site(options, standins, folder)
    callers = [
        Caller(
            f"{options.seed}-{number}",
            site.entries,
            standins,
            site.promises,
            site.choose_key,
            site.stopping,
        )
        for number in range(options.callers)
    ]
    try:
        site.start()
        threading.Thread(target=site.watch, daemon=True).start()
        for caller in callers:
            caller.start()
        _play(site, schedule, options.length_s)
        site.finish()
        for caller in callers:
            caller.join()
    finally:
        site.stopping.set()
        site.close()
    promises = site.promises
    return SoakReport(
        options.seed,
        sum(promises.outcomes.values()),
        dict(sorted(promises.outcomes.items())),
        dict(sorted(site.faults.items())),
        dict(sorted(promises.checks.items())),
        tuple(promises.violations),
        str(folder),
    )


def _play(site: _Site, schedule: tuple[Step, ...], length_s: float) -> None:
    begin = time.monotonic()
    for step in schedule:
        time.sleep(max(0.0, begin + step.at_s - time.monotonic()))
        site.apply(step)
    time.sleep(max(0.0, begin + length_s - time.monotonic()))
