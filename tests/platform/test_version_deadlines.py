"""Tests of the deadlines that replicas get with requests to outdated weights."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from hibiscustray.catalog import SEND_LEAD_S
from hibiscustray.feeds.dating import MAX_CALL_DELAY_S
from hibiscustray.platform.standins import (
    KEY,
    ReceivedRequest,
    call_entry,
    encode_success,
    make_configuration,
    reject,
)
from tests.platform.quiet import encode_chunk
from tests.platform.site import HostedSite, run_hosted_site
from tests.waiting import wait_until

pytestmark = pytest.mark.timed

SERVICE_S = 1.5
"""Time for which outdated weights serve after newer ones were set."""
BOUND_S = SEND_LEAD_S + SERVICE_S
DEADLINE_S = 8.0
PAUSE_S = 0.15
EVENTS = [f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 21)]
NEW = {
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "layers": {"rangeStart": 0, "target": 16, "version": 2},
}


@pytest.fixture
def site() -> Iterator[HostedSite]:
    with run_hosted_site(threads=64, version_ms=BOUND_S * 1000) as running:
        draft, *others = make_configuration()["routes"]
        draft |= {"timeoutMs": DEADLINE_S * 1000}
        plain = draft | {"name": "plain", "prefix": "/draft/plain/", "streamResume": False}
        running.configure(2, routes=[draft, plain, *others])
        yield running


def set_version(site: HostedSite) -> float:
    """Set version 2 while a call of the entry has waited for sure; return the time."""
    handle_get, called_at = site.store.handle_get, []

    def record_call(path: str) -> tuple[int, dict]:
        if "table=op&since" in path:
            called_at.append(time.monotonic())
        return handle_get(path)

    site.store.handle_get = record_call
    wait_until(lambda: len(called_at) >= 3)
    sleep_until(called_at[-1] + MAX_CALL_DELAY_S + 0.06)
    site.store.set_target_version(2)
    set_at = time.monotonic()
    versions = site.process._forwarder._attempts._versions
    wait_until(lambda: versions.find_newest("m") == 2)
    assert versions.find_age("m") - (time.monotonic() - set_at) < 0.1
    return set_at


def call(site: HostedSite, path: str, number: int):
    connection = site.connect()
    try:
        return call_entry(
            connection, "POST", path, b"p" * 50, f"{number:032x}", KEY, DEADLINE_S, f"{number:x}:60"
        )
    finally:
        connection.close()


def find_stop(request: ReceivedRequest) -> float:
    """Return when a replica that reads a request now has to stop work."""
    return time.monotonic() + int(request.headers["x-hibiscustray-deadline-ms"]) / 1000


def stream_until_deadline(request: ReceivedRequest, connection: socket.socket) -> None:
    """Stream events in chunks, as far as the deadline allows."""
    stop_at = find_stop(request)
    connection.sendall(encode_success(request, 1, Transfer_Encoding="chunked"))
    for event in EVENTS[request.resume_after :]:
        time.sleep(PAUSE_S)
        if time.monotonic() >= stop_at:
            return
        connection.sendall(encode_chunk(event))
    connection.sendall(b"0\r\n\r\n")


def stream_until_close(request: ReceivedRequest, connection: socket.socket) -> None:
    """Stream events that end with the connection, as far as the deadline allows."""
    stop_at = find_stop(request)
    connection.sendall(encode_success(request, 1, Connection="close"))
    for event in EVENTS[request.resume_after :]:
        time.sleep(PAUSE_S)
        if time.monotonic() >= stop_at:
            return
        connection.sendall(event)


def sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def test_queue_after_a_silence_does_not_begin_on_old_weights_past_the_bound(site):
    begins: list[float] = []
    silent: list[float] = []

    def run_after_silence_and_queue(request, connection):
        if silent and silent[0] <= time.monotonic() < silent[1]:
            sleep_until(silent[1])
        # The deadline counts from when the replica reads the request.
        stop_at = find_stop(request)
        time.sleep(1.2)
        if time.monotonic() >= stop_at:
            reject(503)(request, connection)
            return
        begins.append(time.monotonic())
        connection.sendall(encode_success(request, 1, Transfer_Encoding="chunked"))
        connection.sendall(encode_chunk(EVENTS[0]) + b"0\r\n\r\n")

    site.add_replica("guide", run_after_silence_and_queue)
    set_at = set_version(site)
    silent += [set_at + SERVICE_S - 0.4, set_at + SERVICE_S + 1.6]
    with ThreadPoolExecutor(32) as callers:
        for number in range(1, 13):
            sleep_until(set_at + SERVICE_S - 0.5 + 0.05 * number)
            callers.submit(call, site, f"/draft/{number}", number)
    sleep_until(set_at + BOUND_S + 1.5)
    assert len(site.replicas[0].received) > 1
    late_ms = [int((at - set_at - BOUND_S) * 1000) for at in begins if at > set_at + BOUND_S]
    assert not late_ms, f"{len(late_ms)} of {len(begins)} began {late_ms} ms past the bound"


def test_stream_that_began_in_time_is_not_cut_at_the_bound(site):
    site.add_replica("guide", stream_until_deadline)
    sleep_until(set_version(site) + SERVICE_S - 0.5)
    response = call(site, "/draft/plain/1", 1)
    # It may be refused before it begins.
    assert response.status == 503 or response.body == b"".join(EVENTS)


def test_streams_that_began_in_time_are_not_cut_together_at_the_bound(site):
    site.add_replica("guide", stream_until_deadline)
    set_at = set_version(site)
    with ThreadPoolExecutor(30) as callers:
        sleep_until(set_at + SERVICE_S - 0.8)
        calls = [callers.submit(call, site, f"/draft/{n}", n) for n in range(1, 15)]
        sleep_until(set_at + SERVICE_S)
        site.add_replica("guide", stream_until_deadline, **NEW)
    responses = [done.result() for done in calls]
    assert [r.status for r in responses] == [200] * len(responses)
    cut = [r for r in responses if r.body != b"".join(EVENTS)]
    assert not cut, f"{len(cut)} of {len(responses)} were cut"


def test_stream_without_length_that_ends_at_the_told_time_does_not_look_complete(site):
    site.add_replica("guide", stream_until_close)
    sleep_until(set_version(site) + SERVICE_S - 0.5)
    response = call(site, "/draft/plain/1", 1)
    is_whole = response.body == b"".join(EVENTS)
    assert is_whole or not response.is_ended


def test_stream_is_resumed_at_its_own_replica_once_that_has_the_new_weights(site):
    replica = site.add_replica("guide", stream_until_deadline)
    set_at = set_version(site)
    with ThreadPoolExecutor(1) as callers:
        sleep_until(set_at + SERVICE_S - 0.5)
        called = callers.submit(call, site, "/draft/1", 1)
        sleep_until(set_at + BOUND_S + 0.2)
        site.update_replica(replica, **NEW)
    response = called.result()
    assert (response.status, response.body) == (200, b"".join(EVENTS))


def test_request_that_its_replica_rejects_at_the_told_time_is_not_lost(site):
    def reject_at_deadline(request, connection):
        sleep_until(find_stop(request))
        reject(503)(request, connection)

    site.add_replica("guide", reject_at_deadline)
    set_at = set_version(site)
    with ThreadPoolExecutor(1) as callers:
        sleep_until(set_at + SERVICE_S - 0.3)
        called = callers.submit(call, site, "/draft/plain/1", 1)
        sleep_until(set_at + SERVICE_S)
        site.add_replica("guide", stream_until_deadline, **NEW)
    response = called.result()
    assert (response.status, response.body) == (200, b"".join(EVENTS))
