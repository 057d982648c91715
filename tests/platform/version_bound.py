"""Sites whose replicas begin late on old weights, and what their callers and replicas saw."""

from __future__ import annotations

import configparser
import http.client
import itertools
import os
import random
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from hibiscustray.platform.standins import (
    KEY,
    ReceivedRequest,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    encode_success,
    make_configuration,
    make_engine,
    read_readiness,
    reject,
    respond_with_body,
)
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from tests.platform.quiet import encode_chunk
from tests.waiting import wait_until

BOUND_S = 5.0
"""Time after a version was set from which no request may begin on an older one."""
CONTACT_S = 3.0
"""Time after a pause of its process from which an entry is in touch again."""
ACTIVE_S = 2.0
"""Age of the version from which obstacles act; the longest one lasts until after the bound."""
HALF_S = BOUND_S / 2
"""Age of the version up to which old weights must serve."""
NEW_S = 1.0
"""Time after which an entry that starts uses new weights that are listed as it does."""
LEAD_S = 0.5
"""Time for which requests are sent before the version is set."""
REPEATS = 2
"""Repeats of a play in which the harness itself was late."""
REST_S = 2.4
"""Time after the bound for which begins are recorded, longer than any obstacle lasts."""
CALL_INTERVAL_S = 0.05
DENSE_INTERVAL_S = 0.03
DEADLINE_S = 8.0
WAIT_S = 1.0
THREADS = 160
MS_PER_S = 1000.0
START_TIMEOUT_S = 20.0
PLAIN_STREAMS = 3
"""One of so many streams may not be resumed, and so may run only once."""
LONG_STREAMS = 4
"""One of so many streams takes about a second, the others a tenth of one."""
EVENTS = [f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 5)]
ROOT = Path(__file__).parents[2]


class Closing(Enum):
    """What a replica does with a request whose connection has been closed before its begin."""

    DROPS = "drops"
    LOOKS = "looks"
    RUNS = "runs"


class Obstacle(Enum):
    """What lies between the entry's last check of a request and its begin at a replica."""

    QUEUE = "queue"
    SILENCE = "silence"
    SLOWNESS = "slowness"
    PREEMPTION = "preemption"
    HEAD = "head"
    SOCKET = "socket"
    LINK = "link"
    BACKUP = "backup"
    RESUMPTION = "resumption"
    HELD_BEFORE_CHECK = "held-before-check"
    HELD_AFTER_CHECK = "held-after-check"
    FROZEN_EARLY = "frozen-early"
    FROZEN_LATE = "frozen-late"


DELAYS_S = {
    Obstacle.QUEUE: (1.0, 3.0),
    Obstacle.SLOWNESS: (0.8, 2.0),
    Obstacle.PREEMPTION: (1.0, 3.0),
    Obstacle.HEAD: (1.0, 3.0),
    Obstacle.SOCKET: (0.5, 2.0),
    Obstacle.LINK: (0.5, 2.0),
    Obstacle.HELD_BEFORE_CHECK: (0.3, 2.0),
    Obstacle.HELD_AFTER_CHECK: (0.3, 2.0),
}
"""Shortest and longest delay by obstacle."""
USUAL_S = 0.2
"""Usual time to the first token of a replica that becomes slow."""
HOLDING = (Obstacle.SOCKET, Obstacle.LINK)
TWO_REPLICAS = (Obstacle.BACKUP, Obstacle.RESUMPTION)
FREEZES_S = {Obstacle.FROZEN_EARLY: (-0.3, 2.2), Obstacle.FROZEN_LATE: (BOUND_S - 1.0, 5.5)}
"""Ages of the version at the begin and the end of a freeze of the entry."""
BACKUP_SILENCE_S = (BOUND_S - 1.95, BOUND_S + 0.05)


HELD = {Obstacle.HELD_BEFORE_CHECK: "before", Obstacle.HELD_AFTER_CHECK: "after"}
HOLD_FILE = "hold"


class Way(Enum):
    """How the entry learns of the version."""

    FEED = "feed"
    RELAY = "relay"
    START = "start"
    SILENCE = "silence"
    OUTAGE = "outage"
    RESTORE = "restore"


@dataclass(frozen=True)
class Play:
    """One obstacle and one way; `silence_s` are the version's ages at which replicas are silent."""

    obstacle: Obstacle
    way: Way
    silence_s: tuple[float, float] | None = None

    @property
    def is_frozen(self) -> bool:
        """Return whether the entry's process is frozen."""
        return self.obstacle in FREEZES_S


@dataclass(frozen=True)
class Begin:
    """The begin of a request; `is_woken` tells that it was due at the end of a silence.

    `due_at` is when it was due, without lateness of the harness after the request was read.
    """

    id: str
    begun_at: float
    due_at: float
    read_at: float
    is_woken: bool


class Lateness:
    """Records by how much a thread that sleeps for a few milliseconds wakes late."""

    STEP_S = 0.005

    def __init__(self) -> None:
        self._late: list[tuple[float, float]] = []
        threading.Thread(target=self._run, daemon=True).start()

    def find(self, begin: float, end: float) -> float:
        """Return the largest lateness in seconds between two monotonic times."""
        return max((late_s for at, late_s in list(self._late) if begin <= at <= end), default=0.0)

    def _run(self) -> None:
        while True:
            due_at = time.monotonic() + self.STEP_S
            time.sleep(self.STEP_S)
            now = time.monotonic()
            if now - due_at > 0.002:
                self._late.append((now, now - due_at))


LATENESS = Lateness()


class ObservedStore(StoreStandIn):
    """A store that records when it had a version and when it answered for the operator's table."""

    def __init__(self) -> None:
        self.version_at: float | None = None
        self.answered_at: list[float] = [time.monotonic()]
        self.relay_reads = 0
        super().__init__()

    def handle_get(self, path: str) -> tuple[int, dict]:
        status, value = super().handle_get(path)
        if self.error_status:
            return self.error_status, {"error": "refused"}
        if "table=op" in path and status == 200:
            self.answered_at.append(time.monotonic())
        self.relay_reads += "table=hibiscustray&sinceRev=" in path
        return status, value

    def set_target_version(self, version: int) -> None:
        with self._changed:
            super().set_target_version(version)
            self.version_at = time.monotonic()

    def restore(self, rows: dict, history: list, revision: int) -> None:
        """Come back from a copy, in the next era."""
        with self._changed:
            self._rows, self._history, self._revision = dict(rows), list(history), revision
            self.era = (self.era or 0) + 1
            self._changed.notify_all()


@dataclass
class ObstructedReplica(ReplicaStandIn):
    """A replica that keeps the contract, and that an obstacle delays.

    `active_from` is the monotonic time from which the obstacle acts, `quiet` the begin and end of
    the time in which the replica neither reads nor begins anything nor notices that a connection
    was closed.
    """

    obstacle: Obstacle = Obstacle.QUEUE
    closing: Closing = Closing.RUNS
    version: int = 1
    active_from: float = float("inf")
    quiet: tuple[float, float] = (0.0, 0.0)
    read_at: dict[str, float] = field(default_factory=dict)
    begins: list[Begin] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.script = self._run
        self._held = itertools.count()
        super().__post_init__()

    def _serve(self, connection: socket.socket) -> None:
        if self.obstacle in HOLDING and time.monotonic() >= self.active_from:
            draw = random.Random(next(self._held))
            time.sleep(draw.uniform(*DELAYS_S[self.obstacle]))
        self._wait_awake()
        super()._serve(connection)

    def _run(self, request: ReceivedRequest, connection: socket.socket) -> None:
        woken_at = self._wait_awake()
        read_at = time.monotonic()
        self.read_at[request.id] = read_at
        if request.expected_version not in (0, self.version):
            reject(421)(request, connection)
            return
        stop_at = read_at + int(request.headers["x-hibiscustray-deadline-ms"]) / MS_PER_S
        delay_s = self._find_delay(request, read_at)
        due_at = (woken_at or read_at) + delay_s
        has_head = self.obstacle is Obstacle.HEAD and delay_s > 0
        if has_head:
            connection.sendall(self._encode_head(request))
        if not self._wait(connection, min(due_at, stop_at)):
            return
        woken_at = self._wait_awake() or woken_at
        due_at = max(due_at, woken_at or 0.0)
        if self._is_dropped(connection):
            return
        if time.monotonic() >= stop_at:
            self._stop(request, connection, has_head)
            return
        self.begins.append(
            Begin(request.id, time.monotonic(), due_at, read_at, woken_at is not None)
        )
        if not has_head:
            connection.sendall(self._encode_head(request))
        self._write_events(request, connection, stop_at)

    def _find_delay(self, request: ReceivedRequest, read_at: float) -> float:
        is_active = read_at >= self.active_from
        if self.obstacle is Obstacle.SLOWNESS and not is_active:
            return USUAL_S
        if not is_active or self.obstacle not in DELAYS_S:
            return 0.0
        if self.obstacle in (*HOLDING, *HELD):
            return 0.0
        return random.Random(request.id).uniform(*DELAYS_S[self.obstacle])

    def _wait(self, connection: socket.socket, until: float) -> bool:
        """Wait until a time; return False if the request is dropped meanwhile."""
        if self.closing is Closing.DROPS:
            return not wait_for_close(connection, until)
        time.sleep(max(0.0, until - time.monotonic()))
        return True

    def _is_dropped(self, connection: socket.socket) -> bool:
        # A link that holds a request holds the end of its connection for as long.
        is_looking = self.closing is not Closing.RUNS and self.obstacle is not Obstacle.LINK
        return is_looking and wait_for_close(connection, 0.0)

    def _stop(self, request: ReceivedRequest, connection: socket.socket, has_head: bool) -> None:
        """End a request whose deadline has passed before its first token."""
        if has_head:
            return
        if self.obstacle is Obstacle.SLOWNESS:
            respond_with_body(status=504)(request, connection)
        else:
            reject(503)(request, connection)

    def _write_events(
        self, request: ReceivedRequest, connection: socket.socket, stop_at: float
    ) -> None:
        is_active = time.monotonic() >= self.active_from
        breaks = self.obstacle is Obstacle.RESUMPTION and is_active and not request.resume_after
        pause_s = 0.3 if int(request.id, 16) % LONG_STREAMS == 0 else 0.03
        for number in range(request.resume_after, len(EVENTS)):
            self._wait_awake()
            if time.monotonic() >= stop_at or (breaks and number == 2):
                return
            connection.sendall(encode_chunk(EVENTS[number]))
            time.sleep(pause_s)
        connection.sendall(b"0\r\n\r\n")

    def _encode_head(self, request: ReceivedRequest) -> bytes:
        return encode_success(request, self.version, Transfer_Encoding="chunked")

    def _wait_awake(self) -> float | None:
        """Wait until the end of a silence; return that time, None outside of a silence."""
        begin, end = self.quiet
        if not begin <= time.monotonic() < end:
            return None
        time.sleep(max(0.0, end - time.monotonic()))
        return end


def wait_for_close(connection: socket.socket, until: float) -> bool:
    """Wait until the other side has closed a connection; return False if it has not in time."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    left_s = max(0.0, until - time.monotonic())
    return bool(poller.poll(left_s * MS_PER_S))


@dataclass(frozen=True)
class Call:
    """A request of a caller: its status, 0 without a response, and whether its body was whole."""

    id: str
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool

    @property
    def is_served(self) -> bool:
        """Return whether the caller has the whole response."""
        return self.status == 200 and self.is_whole


@dataclass
class Cell:
    """The service of a site whose replicas treat closed connections alike."""

    closing: Closing
    replicas: list[ObstructedReplica]
    """Those on version 1."""
    new_replicas: list[ObstructedReplica] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)

    @property
    def begins(self) -> list[Begin]:
        """Return the begins on version 1."""
        return [begin for replica in self.replicas for begin in replica.begins]

    @property
    def new_begins(self) -> list[Begin]:
        """Return the begins on version 2."""
        return [begin for replica in self.new_replicas for begin in replica.begins]


class HeldProgram(EntryProgram):
    """The process of an entry of which threads are paused."""

    def __init__(self, play: Play, store: str, folder: Path) -> None:
        super().__init__(0, store, folder)
        shortest_s, longest_s = DELAYS_S[play.obstacle]
        if play.way is Way.START:
            # A hold of 1.2 s counts as a silence of the replica, which gets no other requests.
            longest_s = 0.6
        hold_file = str(folder / HOLD_FILE)
        self._arguments = [HELD[play.obstacle], str(shortest_s), str(longest_s), hold_file]

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "tests.platform.held_entry", str(self._settings)]
        with self._lock, self._log_path.open("ab") as output:
            self._process = subprocess.Popen(
                command + self._arguments, stdout=output, stderr=output, cwd=ROOT
            )


class BoundSite:
    """An entry, its store behind a proxy and a service for each treatment of closed connections."""

    def __init__(self, play: Play, folder: Path) -> None:
        self.play = play
        self.store = ObservedStore()
        if play.way is Way.RESTORE:
            self.store.era = 0
        self.link = LoopbackProxy(self.store.address)
        count = 2 if play.obstacle in TWO_REPLICAS else 1
        self.cells = [
            Cell(closing, [self._make_replica(closing, n) for n in range(count)])
            for closing in Closing
        ]
        self.store.put("op", "config", make_bound_configuration(2))
        for replica in self.replicas:
            self.store.put("servers", replica.id, replica.make_row(**make_row_changes()))
        self._folder = folder
        self.program: EntryProgram | None = None
        self.callers_address = ""
        self._numbers = itertools.count(1)

    @property
    def replicas(self) -> list[ObstructedReplica]:
        """Return the replicas on version 1."""
        return [replica for cell in self.cells for replica in cell.replicas]

    def start(self) -> None:
        """Start an entry in a process of its own and wait until it is ready."""
        while self.program is None or self.program.pid is None:
            self.program = self._make_program()
            self.program.start()
            self._wait_for_program(self.program)
        self.callers_address = self.program.callers_address

    def close(self) -> None:
        """Stop everything; what still runs ends by itself."""
        if self.program is not None:
            self.program.kill()
        self.link.close()
        threading.Thread(target=self.store.close, daemon=True).start()
        for cell in self.cells:
            for replica in cell.replicas + cell.new_replicas:
                replica.close()

    def act_from(self, set_at: float) -> None:
        """Let the obstacle act, for a version that was set at a time."""
        for replica in self.replicas:
            replica.active_from = set_at + ACTIVE_S
            if self.play.silence_s is not None:
                replica.quiet = tuple(set_at + age_s for age_s in self.play.silence_s)
        if self.play.obstacle is Obstacle.BACKUP:
            for cell in self.cells:
                cell.replicas[0].quiet = tuple(set_at + age_s for age_s in BACKUP_SILENCE_S)
        written = self._folder / f"{HOLD_FILE}-written"
        written.write_text(str(set_at + ACTIVE_S))
        # Threads of the entry read the file as soon as it has its name.
        written.rename(self._folder / HOLD_FILE)

    def send(self, cell: Cell) -> None:
        """Send a request as a caller and record what it got."""
        number = next(self._numbers)
        request_id = f"{number:032x}"
        is_plain = number % PLAIN_STREAMS == 0
        path = f"/draft/{cell.closing.value}/{'plain/' if is_plain else ''}{number}"
        connection = http.client.HTTPConnection(self.callers_address, timeout=DEADLINE_S + 1.0)
        sent_at = time.monotonic()
        status, is_whole = 0, False
        try:
            response = call_entry(
                connection,
                "POST",
                path,
                b"p" * 50,
                request_id,
                KEY,
                DEADLINE_S,
                f"aa:40,{0xB000000 + number:x}:60",
            )
            status = response.status
            is_whole = response.is_ended and response.body == b"".join(EVENTS)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        cell.calls.append(Call(request_id, sent_at, time.monotonic(), status, is_whole))

    def publish_large_configuration(self) -> None:
        """Let the entry read a large configuration slowly, so that it follows the relay."""
        reads = self.store.relay_reads
        self.store.body_pause_s = 0.2
        self.store.put("op", "config", make_bound_configuration(3, padding=400))
        wait_until(lambda: self.store.relay_reads > reads + 1, START_TIMEOUT_S)
        self.store.body_pause_s = 0.0

    def freeze(self, set_at: float) -> None:
        """Freeze the entry's process for the play's time, in the thread of the caller."""
        assert self.program is not None
        begin_s, end_s = FREEZES_S[self.play.obstacle]
        sleep_until(set_at + begin_s)
        os.kill(self.program.pid, signal.SIGSTOP)
        sleep_until(set_at + end_s)
        os.kill(self.program.pid, signal.SIGCONT)

    def add_new_replicas(self) -> None:
        """Add a replica on version 2 to each service, which no obstacle delays."""
        for cell in self.cells:
            replica = self._make_replica(cell.closing, 9)
            replica.version = 2
            cell.new_replicas.append(replica)
            self.store.put("servers", replica.id, replica.make_row(**make_row_changes(2)))

    def _make_replica(self, closing: Closing, number: int) -> ObstructedReplica:
        return ObstructedReplica(
            f"i-{closing.value}-{number}",
            f"guide-{closing.value}",
            lambda request, connection: None,
            obstacle=self.play.obstacle,
            closing=closing,
        )

    def _make_program(self) -> EntryProgram:
        if self.play.obstacle in HELD:
            program: EntryProgram = HeldProgram(self.play, self.link.address, self._folder)
        else:
            program = EntryProgram(0, self.link.address, self._folder)
        path = self._folder / f"{program.id}.ini"
        settings = configparser.ConfigParser()
        settings.read(path)
        settings["bounds"]["version_ms"] = f"{BOUND_S * MS_PER_S:.0f}"
        settings["store"]["wait_s"] = str(WAIT_S)
        settings["entry"]["threads"] = str(THREADS)
        with path.open("w") as file:
            settings.write(file)
        return program

    def _wait_for_program(self, program: EntryProgram) -> None:
        """Wait until an entry is ready, or has ended as another process has taken a port.

        An entry that calls the store has got its ports, so that no other one answers there.
        """
        wait_until(
            lambda: program.pid is None
            or (self.store.calls and is_ready(program.readiness_address)),
            START_TIMEOUT_S,
        )


def is_ready(address: str) -> bool:
    """Return whether an entry's readiness endpoint answers 200."""
    with suppress(OSError, http.client.HTTPException):
        return read_readiness(address) == 200
    return False


def make_bound_configuration(version: int, padding: int = 0) -> dict:
    """Return a configuration with a streaming route and a service for each treatment of closing."""
    base = make_configuration(version)
    draft, *others = base["routes"]
    draft |= {"timeoutMs": DEADLINE_S * MS_PER_S}
    routes = [
        draft
        | {"name": f"draft-{closing.value}{name}", "prefix": f"/draft/{closing.value}/{name}"}
        | {"service": f"guide-{closing.value}", "streamResume": not name}
        for closing in Closing
        for name in ("", "plain/")
    ]
    pads = [others[0] | {"name": f"pad-{n}", "prefix": f"/pad/{n}/"} for n in range(padding)]
    engine = make_engine() | {"slots": 256}
    services = [
        {"name": f"guide-{closing.value}", "maxConnections": 512, "engine": engine}
        for closing in Closing
    ]
    return base | {"routes": routes + others + pads, "services": services + base["services"][1:]}


def make_row_changes(version: int = 1) -> dict:
    """Return what the row of a replica with all layers of a version tells."""
    return {
        "slots": 256,
        "models": [{"name": "m", "version": version, "adapters": []}],
        "layers": {"rangeStart": 0, "target": 16, "version": version},
    }


def sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def set_version(site: BoundSite) -> float:
    """Set version 2 in the play's way; return the earliest time that the entry may assume for it.

    The time at which the store had it is `version_at` of the store.
    """
    store = site.store
    match site.play.way:
        case Way.FEED:
            store.set_target_version(2)
            return store.version_at
        case Way.START:
            store.set_target_version(2)
            time.sleep(0.2)
            site.start()
            return float("-inf")
        case Way.RELAY:
            assumed_at = store.answered_at[-1]
            store.set_target_version(2)
            time.sleep(0.02)
            # Announced by another entry.
            store.put("hibiscustray", "version/m", b"2")
            return assumed_at
        case Way.SILENCE:
            assumed_at = store.answered_at[-1]
            site.link.apply_state(LinkState.SILENCE)
            time.sleep(0.4)
            store.set_target_version(2)
            return assumed_at
        case Way.OUTAGE:
            assumed_at = store.answered_at[-1]
            store.error_status = 503
            time.sleep(0.6)
            with store._changed:
                store.error_status = 0
                store.set_target_version(2)
            return assumed_at
        case Way.RESTORE:
            copy = dict(store._rows), list(store._history), store._revision
            for number in range(5):
                store.put("elsewhere", str(number), {})
            with store._changed:
                assumed_at = store.answered_at[-1]
                store.restore(*copy)
                store.set_target_version(2)
            return assumed_at
    raise AssertionError(site.play.way)


@dataclass
class Played:
    """What was seen in a play.

    `assumed_at` is the earliest time that the entry may assume for the version, `started_at` when
    the entry was ready and the version set.
    """

    site: BoundSite
    set_at: float
    assumed_at: float
    started_at: float

    @property
    def bound_at(self) -> float:
        """Return the time from which no request may begin on version 1."""
        return self.set_at + BOUND_S


@contextmanager
def run_site(play: Play, folder: Path) -> Iterator[BoundSite]:
    site = BoundSite(play, folder)
    try:
        if play.way is not Way.START:
            site.start()
        if play.way is Way.RELAY:
            site.publish_large_configuration()
        yield site
    finally:
        site.close()


def run_play(play: Play, folder: Path) -> Played:
    """Play one obstacle and one way with all treatments of closed connections."""
    folder.mkdir(parents=True, exist_ok=True)
    with run_site(play, folder) as site, ThreadPoolExecutor(3 * THREADS) as callers:
        stopping = threading.Event()
        pacer = threading.Thread(target=send_steadily, args=(site, callers, stopping))
        is_starting = play.way is Way.START
        if not is_starting:
            pacer.start()
            time.sleep(LEAD_S)
        freezer = None
        if play.obstacle is Obstacle.FROZEN_EARLY and not is_starting:
            freezer = threading.Thread(target=site.freeze, args=(time.monotonic() + 0.3,))
            freezer.start()
            time.sleep(0.3)
        assumed_at = set_version(site)
        started_at = time.monotonic()
        set_at = site.store.version_at
        site.act_from(set_at)
        if is_starting:
            pacer.start()
            site.add_new_replicas()
        if play.is_frozen and freezer is None:
            freezer = threading.Thread(target=site.freeze, args=(set_at,))
            freezer.start()
        rest_s = CONTACT_S + 1.0 if play.obstacle is Obstacle.FROZEN_LATE else REST_S
        send_until_s = rest_s if play.is_frozen else 0.3
        sleep_until(max(set_at + BOUND_S + send_until_s, started_at + 2 * NEW_S))
        stopping.set()
        sleep_until(set_at + BOUND_S + rest_s)
        if freezer is not None:
            freezer.join()
        pacer.join()
    return Played(site, set_at, assumed_at, started_at)


def send_steadily(site: BoundSite, callers: ThreadPoolExecutor, stopping: threading.Event) -> None:
    """Send requests to all services in turn, more often from the time when obstacles act."""
    due_at = time.monotonic()
    while not stopping.is_set():
        for cell in site.cells:
            callers.submit(site.send, cell)
        active_from = site.replicas[0].active_from
        is_dense = active_from - 0.3 <= time.monotonic()
        due_at = max(due_at + (DENSE_INTERVAL_S if is_dense else CALL_INTERVAL_S), time.monotonic())
        stopping.wait(due_at - time.monotonic())


@dataclass
class Figures:
    """The counts of one cell and its problems."""

    name: str
    requests: int = 0
    begun: int = 0
    late_ms: list[int] = field(default_factory=list)
    excused_ms: list[int] = field(default_factory=list)
    harness_ms: list[int] = field(default_factory=list)
    last_read_s: float = 0.0
    served: int = 0
    refused: int = 0
    failed: int = 0
    cut: int = 0
    unanswered: int = 0
    problems: list[str] = field(default_factory=list)

    @property
    def is_void(self) -> bool:
        """Return whether requests began late only as the harness itself was late."""
        return bool(self.harness_ms) and not self.problems

    def __str__(self) -> str:
        late = f"{len(self.late_ms)}" + (f" by {show(self.late_ms)} ms" if self.late_ms else "")
        excused = f", excused {len(self.excused_ms)} by {show(self.excused_ms)} ms"
        harness = f", late by harness {show(self.harness_ms)} ms"
        verdict = "FAIL" if self.problems else "late" if self.harness_ms else "pass"
        return (
            f"{verdict} {self.name}: late {late} of {self.begun} begins, {self.requests} requests"
            f" ({self.served} served, {self.refused} refused, {self.failed} failed, {self.cut} cut,"
            f" {self.unanswered} unanswered), last read at {self.last_read_s:.2f} s"
            f"{excused if self.excused_ms else ''}{harness if self.harness_ms else ''}"
        )


def show(values_ms: list[int]) -> str:
    """Return the range of some values."""
    return f"{min(values_ms)} to {max(values_ms)}" if values_ms else ""


def judge(played: Played) -> list[Figures]:
    """Return the figures of each cell of a play, with what breaks the rule."""
    return [Judge(played, cell).judge() for cell in played.site.cells]


class Judge:
    """Compares what the callers and replicas of a cell saw with the rule."""

    def __init__(self, played: Played, cell: Cell) -> None:
        self._played = played
        self._play = played.site.play
        self._cell = cell
        silence = self._play.silence_s
        position = f"[{silence[0] - BOUND_S:+.2f},{silence[1] - BOUND_S:+.2f}]" if silence else ""
        self._name = f"{self._play.obstacle.value}{position}/{self._play.way.value}"
        self._figures = Figures(f"{self._name}/{cell.closing.value}")

    def judge(self) -> Figures:
        """Return the figures of the cell."""
        self._check_begins()
        self._check_repeats()
        self._check_calls()
        if self._play.way is Way.START:
            self._check_service_after_start()
        elif self._play.obstacle is not Obstacle.FROZEN_EARLY:
            self._check_service()
        return self._figures

    def _check_begins(self) -> None:
        figures, played = self._figures, self._played
        figures.begun = len(self._cell.begins)
        reads = [at for replica in self._cell.replicas for at in replica.read_at.values()]
        figures.last_read_s = max(reads) - played.set_at if reads else 0.0
        for begin in self._cell.begins:
            late_s = begin.begun_at - played.bound_at
            if late_s <= 0:
                continue
            late_ms = int(late_s * MS_PER_S)
            if self._is_excused(begin):
                figures.excused_ms.append(late_ms)
            elif begin.due_at - find_read_lateness(begin) <= played.bound_at:
                figures.harness_ms.append(late_ms)
            else:
                figures.late_ms.append(late_ms)
        if figures.late_ms:
            count = len(figures.late_ms)
            figures.problems.append(f"{count} began {show(figures.late_ms)} ms past the bound")

    def _check_repeats(self) -> None:
        counts = Counter(begin.id for begin in self._cell.begins + self._cell.new_begins)
        plain = [count for id, count in counts.items() if int(id, 16) % PLAIN_STREAMS == 0]
        if any(count > 1 for count in plain):
            self._figures.problems.append("a request that may run once began more than once")

    def _is_excused(self, begin: Begin) -> bool:
        if self._play.obstacle is Obstacle.LINK:
            # "Held up": the link was harmed in the last `contactMs`; it holds for 2 s at most.
            return begin.begun_at <= self._played.bound_at + DELAYS_S[Obstacle.LINK][1]
        if self._play.is_frozen:
            # "In touch": its processes ran for the whole `contactMs` before, with no freeze.
            resumed_at = self._played.set_at + FREEZES_S[self._play.obstacle][1]
            return begin.begun_at < resumed_at + CONTACT_S
        return False

    def _check_calls(self) -> None:
        figures, calls = self._figures, self._cell.calls
        begun = {begin.id for begin in self._cell.begins + self._cell.new_begins}
        figures.requests = len(calls)
        figures.served = sum(call.is_served for call in calls)
        for call in calls:
            if call.status in (503, 429, 408, 421):
                figures.refused += 1
                if call.id in begun:
                    figures.problems.append(f"{call.status} to a request that has run")
            elif call.status == 0:
                figures.unanswered += 1
            elif call.status != 200:
                figures.failed += 1
            elif not call.is_whole:
                figures.cut += 1
        lost = [call for call in calls if call.status == 200 and not call.is_whole]
        if self._is_obstructed:
            # Others may begin so late, or be broken off, that their deadline cuts them.
            until = self._played.set_at + ACTIVE_S - 0.3
            lost = [call for call in lost if call.sent_at < until and self._is_early(call)]
        if lost and not self._play.is_frozen:
            ages = [round(call.sent_at - self._played.set_at, 2) for call in lost]
            figures.problems.append(f"streams sent at {ages} s were cut")
        if figures.unanswered and not self._play.is_frozen:
            figures.problems.append(f"{figures.unanswered} requests without a response")

    @property
    def _is_obstructed(self) -> bool:
        """Return whether the obstacle delays or breaks streams."""
        obstacle = self._play.obstacle
        return obstacle not in HELD and obstacle not in FREEZES_S

    @property
    def _half_at(self) -> float:
        """Return the time until which old weights must serve."""
        return min(self._played.assumed_at, self._played.set_at) + HALF_S

    def _is_early(self, call: Call) -> bool:
        """Return whether the obstacle did not act yet when replicas read a request."""
        reads = [replica.read_at.get(call.id, call.sent_at) for replica in self._cell.replicas]
        return max(reads) < self._played.set_at + ACTIVE_S

    def _check_service_after_start(self) -> None:
        """Check that new weights serve; an entry does not know the age of what it finds set."""
        since = self._played.started_at + NEW_S
        calls = [call for call in self._cell.calls if call.sent_at > since]
        missed = [call for call in calls if not call.is_served]
        if (missed or not calls) and not self._play.is_frozen:
            self._figures.problems.append(f"new weights: {len(missed)} of {len(calls)} not served")

    def _check_service(self) -> None:
        """Check that old weights serve while the version is younger than half of the bound."""
        until = min(self._half_at - 0.1, self._played.set_at + ACTIVE_S - 0.1)
        early = [call for call in self._cell.calls if call.sent_at < until and self._is_early(call)]
        missed = [call for call in early if not call.is_served]
        if missed or not early:
            statuses = sorted({call.status for call in missed})
            self._figures.problems.append(
                f"{len(missed)} of {len(early)} early requests not served: {statuses}"
            )
        if self._half_at > self._played.set_at + ACTIVE_S + 0.2:
            reads = [at for replica in self._cell.replicas for at in replica.read_at.values()]
            if not any(self._half_at - 0.3 < at < self._half_at + 2.0 for at in reads):
                self._figures.problems.append("nothing is sent at half of the bound")


def find_read_lateness(begin: Begin) -> float:
    """Return by how much the harness may have read a request late."""
    if begin.is_woken:
        return 0.0
    return LATENESS.find(begin.read_at - 0.5, begin.read_at + 0.1)


def run_plays(plays: list[Play], folder: Path) -> list[Figures]:
    """Run plays at the same time; return the figures of their cells.

    Plays that say nothing, as the harness itself was late, are repeated one at a time.
    """
    with ThreadPoolExecutor(len(plays)) as pool:
        folders = [folder / str(number) for number in range(len(plays))]
        results = [judge(played) for played in pool.map(run_play, plays, folders)]
    for number, play in enumerate(plays):
        for repeat in range(REPEATS):
            if not any(figures.is_void for figures in results[number]):
                break
            print("\n".join(map(str, results[number])))
            results[number] = judge(run_play(play, folder / f"{number}-{repeat}"))
    return [figures for result in results for figures in result]


def check_plays(plays: list[Play], folder: Path) -> None:
    """Run plays at the same time and fail with the problems of their cells."""
    started_at = time.monotonic()
    found = run_plays(plays, folder)
    print("\n".join(map(str, found)))
    failed = [
        f"{figures.name}: {'; '.join(figures.problems) or 'the harness was late itself'}"
        for figures in found
        if figures.problems or figures.is_void
    ]
    late_ms = LATENESS.find(started_at, time.monotonic()) * MS_PER_S
    lateness = f"largest lateness of the harness: {late_ms:.0f} ms"
    print(lateness)
    assert not failed, "\n".join([*failed, lateness])
