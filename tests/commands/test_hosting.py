"""Tests of the signals and the settings of a hosted process, from valid and invalid files."""

from __future__ import annotations

import dataclasses
import http.client
import os
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace

import pytest

from hibiscustray.commands import hosting
from hibiscustray.commands.hosting import _reload_settings
from hibiscustray.platform.standins import (
    KEY,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    make_configuration,
    read_readiness,
    respond_with_body,
)
from hibiscustray.settings import load_hosted_settings
from hibiscustray.soak.programs import EntryProgram
from tests.platform.quiet import make_routes
from tests.settings.test_hosted import write_settings
from tests.waiting import wait_until

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
START_TIMEOUT_S = 30.0
LAST_STOP_S = 5.0


class RecordingProcess:
    """Records the settings with which it is reloaded and the grace periods of its drains."""

    def __init__(self, on_start: Callable[[], None] = lambda: None) -> None:
        self.reloads = []
        self.graces_s = []
        self._on_start = on_start

    def start(self) -> None:
        self._on_start()

    def drain(self, grace_s: float) -> bool:
        self.graces_s.append(grace_s)
        return True

    def reload(self, settings) -> None:
        self.reloads.append(settings)

    def stop(self) -> None:
        pass


@pytest.fixture
def keep_signals(monkeypatch):
    """Restore the handlers of signals, and leave the logs as they are.

    A process that misses SIGTERM gets another one later.
    """
    handlers = {number: signal.signal(number, ignore_signal) for number in SIGNALS}
    last_stop = threading.Timer(LAST_STOP_S, os.kill, (os.getpid(), signal.SIGTERM))
    last_stop.daemon = True
    last_stop.start()
    listener = SimpleNamespace(stop=lambda: None)
    monkeypatch.setattr(hosting, "configure_hosted_logs", lambda *_, **__: listener)
    yield
    last_stop.cancel()
    for number, handler in handlers.items():
        signal.signal(number, handler)


def ignore_signal(*_: object) -> None:
    pass


def run_until_stopped(path: Path, while_running: Callable[[RecordingProcess], None]):
    """Run a process, and send it SIGTERM after `while_running`."""

    def stop() -> None:
        wait_until(lambda: signal.getsignal(signal.SIGTERM) is not ignore_signal)
        while_running(process)
        os.kill(os.getpid(), signal.SIGTERM)

    process = RecordingProcess(threading.Thread(target=stop, daemon=True).start)
    hosting._run_until_signal(path, "entry", lambda settings, metrics: process)
    return process


def test_process_drains_with_a_grace_period_that_was_changed_with_sighup(tmp_path, keep_signals):
    path = write_settings(tmp_path, "entry", grace_s="8")

    def change(process) -> None:
        write_settings(tmp_path, "entry", grace_s="24")
        os.kill(os.getpid(), signal.SIGHUP)
        wait_until(lambda: process.reloads)

    [grace_s] = run_until_stopped(path, change).graces_s
    assert 23.0 < grace_s <= 24.0


def test_process_drains_with_a_grace_period_that_was_changed_just_before(
    tmp_path, keep_signals, monkeypatch
):
    monkeypatch.setattr(hosting, "RELOAD_INTERVAL_S", 60.0)
    path = write_settings(tmp_path, "entry", grace_s="8")
    process = run_until_stopped(path, lambda _: write_settings(tmp_path, "entry", grace_s="24"))
    assert 23.0 < process.graces_s[0] <= 24.0


def test_process_drains_with_the_last_grace_period_if_the_file_is_invalid(tmp_path, keep_signals):
    path = write_settings(tmp_path, "entry", grace_s="8")
    process = run_until_stopped(path, lambda _: path.write_text("not ini"))
    assert 7.0 < process.graces_s[0] <= 8.0


class StoppedEntry:
    """The program of an entry with a replica whose responses take `work_s`."""

    def __init__(self, folder: Path, grace_s: int) -> None:
        self.work_s = 0.0
        self.store = StoreStandIn()
        self.store.put("op", "config", make_configuration(routes=make_routes()))
        self.replica = ReplicaStandIn("i-0", "booking", self._respond)
        self.store.put("servers", "i-0", self.replica.make_row())
        self.program = EntryProgram(0, self.store.address, folder)
        self.settings = folder / f"{self.program.id}.ini"
        self.log = folder / f"{self.program.id}.log"
        self.set_grace(grace_s)

    def __enter__(self) -> StoppedEntry:
        self.program.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.program.kill()
        self.store.close()
        self.replica.close()

    def set_grace(self, grace_s: int) -> None:
        """Replace the settings file as a whole."""
        lines = self.settings.read_text().splitlines()
        lines = [f"grace_s = {grace_s}" if "grace_s" in line else line for line in lines]
        written = self.settings.with_suffix(".new")
        written.write_text("\n".join(lines) + "\n")
        written.replace(self.settings)

    def is_ready(self) -> bool:
        try:
            return read_readiness(self.program.readiness_address) == 200
        except OSError:
            return False

    def book(self, number: int, deadline_s: float = 4.0) -> int:
        """Make a booking on a new connection and return its status, 0 without a response."""
        host, _, port = self.program.callers_address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=deadline_s + 1.0)
        try:
            return call_entry(
                connection, "POST", "/book/1", b"x", f"book-{number}", KEY, deadline_s
            ).status
        except (OSError, http.client.HTTPException):
            return 0

    def _respond(self, request, connection) -> None:
        time.sleep(self.work_s)
        respond_with_body()(request, connection)


def test_bookings_that_fit_a_longer_grace_period_set_by_sighup_are_not_cut(tmp_path):
    with StoppedEntry(tmp_path, grace_s=1) as entry:
        wait_until(entry.is_ready, START_TIMEOUT_S)
        entry.set_grace(6)
        os.kill(entry.program.pid, signal.SIGHUP)
        wait_until(lambda: "settings reloaded" in entry.log.read_text())
        entry.work_s = 2.0
        with ThreadPoolExecutor(6) as pool:
            bookings = []
            for number in range(6):
                if number == 3:
                    os.kill(entry.program.pid, signal.SIGTERM)
                bookings.append(pool.submit(entry.book, number))
                time.sleep(0.4)
        assert [booking.result() for booking in bookings] == [200] * 6


def test_changed_bounds_are_reloaded_and_an_unchanged_file_is_not(tmp_path):
    path = write_settings(tmp_path, "entry")
    active, process = load_hosted_settings(path, "entry"), RecordingProcess()
    assert _reload_settings(path, "entry", active, process) == active
    assert process.reloads == []
    write_settings(tmp_path, "entry", version_ms="5000")
    loaded = _reload_settings(path, "entry", active, process)
    assert loaded == dataclasses.replace(
        active, bounds=dataclasses.replace(active.bounds, version_ms=5000.0)
    )
    assert process.reloads == [loaded]


def test_an_invalid_file_leaves_the_active_settings(tmp_path, caplog):
    path = write_settings(tmp_path, "entry")
    active, process = load_hosted_settings(path, "entry"), RecordingProcess()
    for text in ("not ini", "[process]\nid = x\n"):
        path.write_text(text)
        assert _reload_settings(path, "entry", active, process) == active
    assert process.reloads == []
    assert "settings reload failed" in caplog.text


def test_booking_that_outlasts_the_grace_period_gets_a_response_before_the_process_is_killed(
    tmp_path,
):
    with StoppedEntry(tmp_path, grace_s=4) as entry, ThreadPoolExecutor(1) as pool:
        wait_until(entry.is_ready, START_TIMEOUT_S)
        entry.work_s = 6.0
        booking = pool.submit(entry.book, 1, 8.0)
        wait_until(lambda: entry.replica.received)
        os.kill(entry.program.pid, signal.SIGTERM)
        time.sleep(4.0)
        entry.program.kill()
        assert booking.result() == 502


def test_sighup_during_the_start_does_not_end_the_process(tmp_path):
    with StoppedEntry(tmp_path, grace_s=1) as entry:
        wait_until(lambda: has_begun_imports(entry.program.pid), START_TIMEOUT_S)

        def is_ready_after_sighup() -> bool:
            os.kill(entry.program.pid, signal.SIGHUP)
            return entry.is_ready()

        wait_until(is_ready_after_sighup, START_TIMEOUT_S)
        entry.program.check_running()


def has_begun_imports(pid: int) -> bool:
    """Return whether a program has loaded a module that the command line does not need."""
    return "msgspec" in Path(f"/proc/{pid}/maps").read_text()


def test_process_that_gets_sigterm_before_its_start_does_not_start(tmp_path, keep_signals):
    path = write_settings(tmp_path, "entry")
    process = RecordingProcess(lambda: pytest.fail("the process was started"))

    def build(settings, metrics):
        os.kill(os.getpid(), signal.SIGTERM)
        return process

    hosting._run_until_signal(path, "entry", build)
    assert not process.graces_s


def test_process_that_gets_sigterm_during_its_start_drains_with_the_rest_of_the_grace_period(
    tmp_path, keep_signals
):
    path = write_settings(tmp_path, "entry", grace_s="8")

    def start() -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.5)

    process = RecordingProcess(start)
    hosting._run_until_signal(path, "entry", lambda settings, metrics: process)
    assert 6.0 < process.graces_s[0] <= 7.5


def test_second_sigterm_does_not_shorten_the_grace_period(tmp_path):
    with StoppedEntry(tmp_path, grace_s=6) as entry, ThreadPoolExecutor(1) as pool:
        wait_until(entry.is_ready, START_TIMEOUT_S)
        entry.work_s = 1.5
        booking = pool.submit(entry.book, 1)
        wait_until(lambda: entry.replica.received)
        for _ in range(3):
            os.kill(entry.program.pid, signal.SIGTERM)
            time.sleep(0.2)
        assert booking.result() == 200
