"""Signals in close succession: a process neither misses a stop nor becomes deaf.

`SIGNAL_PAIRS` in the environment is the number of pairs for each cell of the table.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import pytest

from hibiscustray.commands.signals import SignalWaiter
from hibiscustray.platform.standins import StoreStandIn, make_configuration
from hibiscustray.soak.programs import find_free_port
from tests.commands.test_hosting import has_begun_imports
from tests.waiting import wait_until

PAIRS = int(os.environ.get("SIGNAL_PAIRS", "2"))
PROCESSES = 8
"""Processes that run at once."""
MAX_PAUSE_S = 0.0003
"""Longest pause between the two signals of a pair."""
GRACE_S = 8.0
START_TIMEOUT_S = 60.0
EXIT_CODES = {"starts": {0, -15}, "reloads": {0}, "drains": {0, -1, -15}}
"""Before its handlers are set and after they are reset, a signal ends a process at once."""
HUP, TERM = signal.SIGHUP, signal.SIGTERM
KINDS = {"reload and stop": (HUP, TERM), "stop twice": (TERM, TERM), "reload twice": (HUP, HUP)}
PROCESS = """\
[process]
id = {role}-1
availability_zone = z1
region = r1
address = 127.0.0.1
peer_port = {ports[0]}
metrics_port = {ports[1]}

[store]
address = {store}

[regions]
z1 = r1

[bounds]
version_ms = 8000
grace_s = 8
"""
SECTIONS = {
    "entry": "[entry]\ncallers = 127.0.0.1:{ports[2]}\nreadiness = 127.0.0.1:{ports[3]}\n",
    "agent": "[upstream]\naddress = 127.0.0.1:{ports[2]}\nservice = guide\n",
}
STARTED = {"entry": "entry started", "agent": "agent started"}


class Program:
    """A hosted process of a role."""

    def __init__(self, role: str, store: str, folder: Path) -> None:
        self.role = role
        ports = [find_free_port() for _ in range(4)]
        settings = folder / f"{ports[0]}.ini"
        text = PROCESS + SECTIONS[role]
        settings.write_text(text.format(role=role, ports=ports, store=store))
        self.log = folder / f"{ports[0]}.log"
        command = [sys.executable, "-m", "hibiscustray", "host", role, "--settings", str(settings)]
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(command, stdout=output, stderr=output)

    def wait_imports(self) -> None:
        """Wait until the process has begun to import what its role needs."""
        wait_until(lambda: has_begun_imports(self.process.pid), START_TIMEOUT_S)

    def wait_started(self) -> None:
        wait_until(lambda: STARTED[self.role] in self.log.read_text(), START_TIMEOUT_S)

    def send(self, *numbers: signal.Signals) -> None:
        """Send signals with a random pause of up to `MAX_PAUSE_S` between them."""
        for place, number in enumerate(numbers):
            if place:
                ends_at = time.perf_counter() + random.uniform(0.0, MAX_PAUSE_S)
                while time.perf_counter() < ends_at:
                    pass
            self.process.send_signal(number)

    def stops_within(self, seconds: float, codes: set[int]) -> bool:
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return self.process.returncode in codes


def play_start(program: Program, pair: tuple) -> None:
    program.wait_imports()
    time.sleep(random.uniform(0.0, 0.3))
    program.send(*pair)
    if TERM not in pair:
        program.wait_started()


def play_reload(program: Program, pair: tuple) -> None:
    program.wait_started()
    time.sleep(random.uniform(0.0, 0.3))
    program.send(HUP)
    program.send(*pair)


def play_drain(program: Program, pair: tuple) -> None:
    program.wait_started()
    program.send(TERM)
    time.sleep(random.uniform(0.0, 0.3))
    if program.process.poll() is None:
        program.send(*pair)


PHASES: dict[str, Callable] = {"starts": play_start, "reloads": play_reload, "drains": play_drain}


@contextmanager
def run_program(role: str, store: str, folder: Path) -> Iterator[Program]:
    program = Program(role, store, folder)
    try:
        yield program
    finally:
        if program.process.poll() is None:
            program.process.kill()
        program.process.wait()


# Guards against a process that never stops, as the second signal comes in the first one's handler.
@pytest.mark.parametrize("role", STARTED)
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("kind", KINDS)
def test_process_stops_within_its_grace_period_after_a_pair_of_signals(kind, phase, role, tmp_path):
    def play(number: int) -> str:
        with run_program(role, store.address, tmp_path) as program:
            PHASES[phase](program, KINDS[kind])
            if kind == "reload twice" and phase != "drains":
                # A process that is deaf by now does not stop either.
                program.send(TERM)
            if program.stops_within(GRACE_S, EXIT_CODES[phase]):
                return ""
            return f"pair {number}: {program.process.poll()}, {program.log.read_text()[-500:]}"

    store = StoreStandIn()
    store.put("op", "config", make_configuration())
    with ThreadPoolExecutor(PROCESSES) as pool:
        failures = [failure for failure in pool.map(play, range(PAIRS)) if failure]
    store.close()
    assert not failures, f"{len(failures)} of {PAIRS}: {failures[0]}"


LOOP = """
import signal
from hibiscustray.commands.signals import SignalWaiter
waiter = SignalWaiter([signal.SIGHUP])
print("begun", flush=True)
while not waiter.is_stop_requested:
    waiter.wait(0.0001)
waiter.wait(0.05)
print("stopped", flush=True)
waiter.close()
"""


# Guards against a signal that is lost, or blocks the main thread, within a wait.
@pytest.mark.parametrize("kind", KINDS)
def test_waiter_hears_each_stop_after_many_pairs(kind):
    process = subprocess.Popen([sys.executable, "-c", LOOP], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout.readline() == "begun\n"
        for _ in range(3000):
            process.send_signal(HUP)
            time.sleep(random.uniform(0.0, MAX_PAUSE_S))
        assert process.poll() is None
        for number in KINDS[kind]:
            process.send_signal(number)
        process.send_signal(TERM)
        assert process.wait(GRACE_S) == 0
        assert process.stdout.read() == "stopped\n"
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.fixture
def waiter():
    handlers = {number: signal.getsignal(number) for number in (HUP, TERM, signal.SIGINT)}
    built = SignalWaiter([HUP])
    yield built
    built.close()
    for number, handler in handlers.items():
        signal.signal(number, handler)


def test_signal_before_a_wait_ends_it(waiter):
    os.kill(os.getpid(), HUP)
    started_at = time.monotonic()
    waiter.wait(5.0)
    assert time.monotonic() - started_at < 1.0
    assert not waiter.is_stop_requested
    waiter.wait(0.1)
    assert 0.09 <= time.monotonic() - started_at < 1.0


def test_signal_during_a_wait_ends_it(waiter):
    timer = threading.Timer(0.1, os.kill, (os.getpid(), TERM))
    timer.start()
    started_at = time.monotonic()
    waiter.wait()
    assert time.monotonic() - started_at < 1.0
    assert waiter.is_stop_requested
    assert 7.0 < waiter.find_time_left(8.0) <= 8.0


def test_first_stop_counts_for_the_time_that_is_left(waiter):
    os.kill(os.getpid(), TERM)
    waiter.wait(1.0)
    time.sleep(0.2)
    os.kill(os.getpid(), TERM)
    waiter.wait(1.0)
    assert waiter.find_time_left(8.0) <= 7.8


def test_more_signals_than_the_buffer_holds_are_no_failure(waiter, capfd):
    for _ in range(5000):
        os.kill(os.getpid(), HUP)
    os.kill(os.getpid(), TERM)
    waiter.wait(1.0)
    assert waiter.is_stop_requested
    assert not capfd.readouterr().err
