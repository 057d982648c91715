"""Tests of an entry process that is frozen around the time at which a target version is set."""

from __future__ import annotations

import configparser
import http.client
import os
import signal
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from hibiscustray.catalog import SEND_LEAD_S, VersionLimits
from hibiscustray.feeds.dating import MAX_CALL_DELAY_S
from hibiscustray.platform.standins import (
    KEY,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    make_configuration,
    read_readiness,
    stream_tokens,
)
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from tests.platform.site import run_in_background
from tests.waiting import wait_until

BOUND_S = SEND_LEAD_S + 1.2
"""Bound with which version 1 serves for 1.2 s after version 2 was set."""
WAIT_S = 1.5
"""Longest wait of the entry's call for changes."""
NEW_S, OLD_S = 0.3, MAX_CALL_DELAY_S + 0.3
"""Ages of a call that may be late on its way to the store, and of one that has waited for sure."""
STORE_CLOCK_OFFSET_S = 5000.0
TOLERANCE_S = 0.1
"""Time for the store to respond and for a request to get from its caller to the replica."""
CALL_INTERVAL_S = 0.02
CHECK_S = 0.4
"""Time for which requests are checked after version 2 has become required."""
START_TIMEOUT_S = 10.0
START_ATTEMPTS = 3
CALL_TIMEOUT_S = 5.0
REQUEST_DEADLINE_S = 2.5


@dataclass
class OperatorCall:
    """A call for changes of the operator's table, as the store sees it."""

    row_count: int = 0
    ended_at: float | None = None


class RecordingStore(StoreStandIn):
    """A store that records the calls for changes of the operator's table."""

    def __init__(self) -> None:
        self.operator_calls: list[OperatorCall] = []
        super().__init__()
        self.clock_offset_s = STORE_CLOCK_OFFSET_S

    def handle_get(self, path: str) -> tuple[int, dict]:
        if "table=op&sinceRev=" not in path:
            return super().handle_get(path)
        call = OperatorCall()
        self.operator_calls.append(call)
        status, value = super().handle_get(path)
        call.row_count, call.ended_at = len(value.get("rows", ())), time.monotonic()
        return status, value


class FreezableSite:
    """An entry process with a store behind a proxy and one replica on version 1."""

    def __init__(self, folder: Path, bound_s: float) -> None:
        self.store = RecordingStore()
        self.store.put("op", "config", make_configuration())
        self.link = LoopbackProxy(self.store.address)
        self.limits = VersionLimits(bound_s)
        self.begun_at: list[float] = []
        self.replica = ReplicaStandIn("i-0", "guide", self._serve)
        self.store.list_replica(self.replica, self.replica.address, 1)
        self._folder = folder
        self.program = self._make_program()

    def start(self) -> None:
        """Start the entry and wait until it serves requests and follows the operator's table."""
        for _ in range(START_ATTEMPTS):
            self.program.start()
            wait_until(lambda: self.program.pid is None or self._is_serving(), START_TIMEOUT_S)
            if self.program.pid is not None or not self._has_lost_port():
                break
            self.program = self._make_program()
        self.program.check_running()
        wait_until(lambda: self.store.operator_calls)

    def close(self) -> None:
        """Kill the entry, which may be frozen, and stop the stand-ins."""
        self.program.kill()
        self.link.close()
        # The server of the store takes up to 0.5 s to stop.
        run_in_background(self.store.close)
        self.replica.close()

    def wait_for_call(self) -> OperatorCall:
        """Wait until the entry makes a call for changes of the operator's table; return it."""
        count = len(self.store.operator_calls)
        wait_until(lambda: len(self.store.operator_calls) > count)
        return self.store.operator_calls[-1]

    def freeze(self) -> None:
        """Freeze the entry and wait until it has stopped."""
        status = Path(f"/proc/{self.program.pid}/status")
        os.kill(self.program.pid, signal.SIGSTOP)
        wait_until(lambda: "State:\tT" in status.read_text())

    def resume(self) -> None:
        """Let the entry continue."""
        os.kill(self.program.pid, signal.SIGCONT)

    def set_target_version(self) -> float:
        """Set version 2 as the target; return the time at which the store had it."""
        self.store.set_target_version(2)
        return time.monotonic()

    def find_earliest(self, call: OperatorCall, age_s: float) -> float | None:
        """Return since when a version may count as set that ended a call of an age.

        It is the response before for a call that is new, else None for the time of the setting.
        """
        before = self.store.operator_calls[self.store.operator_calls.index(call) - 1]
        return before.ended_at if age_s <= MAX_CALL_DELAY_S else None

    def request_stream(self) -> int:
        """Request a stream on a new connection; return the HTTP status."""
        connection = http.client.HTTPConnection(
            self.program.callers_address, timeout=CALL_TIMEOUT_S
        )
        request_id = uuid.uuid4().hex
        try:
            return call_entry(
                connection, "POST", "/draft/1", b"p", request_id, KEY, REQUEST_DEADLINE_S
            ).status
        finally:
            connection.close()

    def check_requests(self, set_at: float, earliest_at: float | None = None) -> None:
        """Check that version 1 serves until version 2 is required, and not from then on.

        `earliest_at` is the earliest time at which the entry may assume that version 2 was set, by
        default the time at which it was.
        """
        required_at = set_at + self.limits.version_swap_s
        served_until = required_at if earliest_at is None else required_at - set_at + earliest_at
        statuses: list[tuple[float, int]] = []
        while (now := time.monotonic()) < required_at + CHECK_S:
            statuses.append((now, self.request_stream()))
            time.sleep(CALL_INTERVAL_S)
        served = [status for at, status in statuses if at < served_until - TOLERANCE_S]
        refused = [status for at, status in statuses if at >= required_at + TOLERANCE_S]
        late_s = max(self.begun_at) - required_at
        assert late_s < TOLERANCE_S, f"a request began {late_s:.3f} s after version 2 was required"
        assert set(refused) == {503}
        assert set(served) == {200}

    def _make_program(self) -> EntryProgram:
        program = EntryProgram(0, self.link.address, self._folder)
        path = self._folder / f"{program.id}.ini"
        settings = configparser.ConfigParser()
        settings.read(path)
        settings["bounds"]["version_ms"] = f"{self.limits.version_bound_s * 1000:.0f}"
        settings["store"]["wait_s"] = str(WAIT_S)
        with path.open("w") as file:
            settings.write(file)
        return program

    def _has_lost_port(self) -> bool:
        """Return whether another process took one of the entry's ports before it could listen."""
        lines = (self._folder / f"{self.program.id}.log").read_text().splitlines()
        return bool(lines) and "Address already in use" in lines[-1]

    def _is_serving(self) -> bool:
        try:
            return read_readiness(self.program.readiness_address) == self.request_stream() == 200
        except OSError:
            return False

    def _serve(self, request, connection) -> None:
        self.begun_at.append(time.monotonic())
        stream_tokens(1, 1)(request, connection)


@contextmanager
def run_freezable_site(folder: Path, bound_s: float = BOUND_S) -> Iterator[FreezableSite]:
    site = FreezableSite(folder, bound_s)
    try:
        site.start()
        yield site
    finally:
        site.close()


@pytest.mark.parametrize("age_s", [NEW_S, OLD_S])
def test_version_set_while_call_of_frozen_entry_waits_is_not_required_late(age_s, tmp_path):
    with run_freezable_site(tmp_path) as site:
        call = site.wait_for_call()
        site.freeze()
        time.sleep(age_s)
        assert call.ended_at is None
        set_at = site.set_target_version()
        time.sleep(0.7)
        site.resume()
        site.check_requests(set_at, site.find_earliest(call, age_s))


def test_version_set_after_call_ended_empty_in_freeze_is_not_required_late(tmp_path):
    with run_freezable_site(tmp_path) as site:
        call = site.wait_for_call()
        site.freeze()
        wait_until(lambda: call.ended_at is not None)
        time.sleep(0.1)
        set_at = site.set_target_version()
        assert call.row_count == 0
        time.sleep(0.7)
        assert site.store.operator_calls[-1] is call
        site.resume()
        site.check_requests(set_at, earliest_at=call.ended_at)


@pytest.mark.parametrize("age_s", [NEW_S, OLD_S])
def test_version_set_in_second_of_three_freezes_is_not_required_late(age_s, tmp_path):
    with run_freezable_site(tmp_path, bound_s=SEND_LEAD_S + 2.2) as site:
        call = site.wait_for_call()
        site.freeze()
        wait_until(lambda: call.ended_at is not None)
        time.sleep(0.2)
        site.resume()
        call = site.wait_for_call()
        site.freeze()
        time.sleep(age_s)
        assert call.ended_at is None
        set_at = site.set_target_version()
        time.sleep(0.4)
        site.resume()
        site.freeze()
        time.sleep(0.3)
        site.resume()
        site.check_requests(set_at, site.find_earliest(call, age_s))


def test_version_set_after_connection_to_store_broke_in_freeze_is_not_required_late(tmp_path):
    with run_freezable_site(tmp_path, bound_s=SEND_LEAD_S + 4.2) as site:
        site.wait_for_call()
        called_at = time.monotonic()
        site.freeze()
        time.sleep(0.1)
        site.link.apply_state(LinkState.RESET)
        time.sleep(0.1)
        set_at = site.set_target_version()
        # After an outage a change counts as at most 3 s old, unless the failed call is older.
        time.sleep(3.5)
        site.resume()
        site.check_requests(set_at, earliest_at=called_at)


def test_version_set_after_freeze_is_not_required_early(tmp_path):
    with run_freezable_site(tmp_path) as site:
        call = site.wait_for_call()
        site.freeze()
        time.sleep(WAIT_S + 0.1)
        assert call.ended_at is not None
        site.resume()
        time.sleep(OLD_S)
        site.check_requests(site.set_target_version())
