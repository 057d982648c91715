"""Planned stops of an entry: what callers see of requests around the end of the grace period."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from hibiscustray.platform.standins import (
    ATTEMPT_ID,
    HOST,
    KEY,
    ReceivedRequest,
    reject,
    respond_with_body,
    stream_tokens,
)
from tests.platform.quiet import (
    BOOKING,
    DEADLINE_S,
    KINDS,
    STREAM,
    make_routes,
    split_stream,
)
from tests.platform.raw_caller import End, RawResponse, call_raw, read_raw
from tests.platform.site import HostedSite, run_hosted_site, run_in_background
from tests.platform.test_quiet_replicas import run_quiet_site
from tests.waiting import wait_until

GRACE_S = 2.4
LAG_S = 0.3
"""Time after which the balancer has noticed in these tests; idle connections close 0.1 s later."""
LATE_S = 0.6
"""Time after SIGTERM from which on the tests' requests come late."""
NO_REPEAT = "non_idempotent"


@pytest.fixture(autouse=True)
def shorten_drain(monkeypatch):
    monkeypatch.setattr("hibiscustray.gateway.process.BALANCER_LAG_S", LAG_S)
    monkeypatch.setattr("hibiscustray.gateway.process.KEEP_ALIVE_DRAIN_S", 0.1)


@dataclass
class HeldScript:
    """Responds once `release` is set; `held` has the requests that arrived."""

    release: threading.Event = field(default_factory=threading.Event)
    held: list[ReceivedRequest] = field(default_factory=list)

    def __call__(self, request: ReceivedRequest, connection) -> None:
        self.held.append(request)
        self.release.wait(DEADLINE_S)
        respond_with_body(body=b"seat")(request, connection)


@dataclass
class Stop:
    """A planned stop under way; `ended` is set once the entry would end its process."""

    site: HostedSite
    stopped_at: float
    ended: threading.Event = field(default_factory=threading.Event)

    def sleep_until(self, offset_s: float) -> None:
        time.sleep(max(0.0, self.stopped_at + offset_s - time.monotonic()))


@contextlib.contextmanager
def stop_entry(site: HostedSite, grace_s: float = GRACE_S) -> Iterator[Stop]:
    """Stop the entry; at the end of the grace period it may do no more for its callers."""
    stop = Stop(site, time.monotonic())

    def run() -> None:
        site.process.drain(grace_s)
        site.process.stop()
        stop.ended.set()

    thread = run_in_background(run)
    try:
        yield stop
    finally:
        thread.join()


def call_in_background(site: HostedSite, kind: str, **headers: str) -> list[tuple]:
    """Call and return a list that gets the response and the time at which it had ended."""
    results: list[tuple[RawResponse, float]] = []

    def call() -> None:
        response = call_raw(site, kind, timeout_s=DEADLINE_S + 1, **headers)
        results.append((response, time.monotonic()))

    run_in_background(call)
    return results


LONG = {"X_Hibiscustray_Deadline_Ms": "8000"}


# The end of the grace period


@pytest.mark.parametrize("kind", [NO_REPEAT, "idempotent"])
def test_request_that_still_runs_at_the_end_of_the_grace_period_gets_a_response(kind):
    with run_quiet_site() as site:
        script = HeldScript()
        site.add_replica(BOOKING, script)
        results = call_in_background(site, kind, **LONG)
        wait_until(lambda: script.held)
        with stop_entry(site) as stop:
            wait_until(lambda: results, GRACE_S)
        response, ended_at = results[0]
        assert (response.status, response.end) == (502, End.WHOLE)
        assert response.headers["connection"] == "close"
        assert GRACE_S * 5 / 6 - 0.05 <= ended_at - stop.stopped_at < GRACE_S
        assert len(script.held) == 1
        script.release.set()


@pytest.mark.parametrize("kind", ["resumable", "plain_stream"])
def test_stream_that_still_runs_at_the_end_of_the_grace_period_is_cut_and_does_not_look_whole(kind):
    paused = threading.Event()

    def stream_two_events(request, connection):
        for position, data in split_stream(request):
            if position == "between events":
                paused.wait(DEADLINE_S)
            connection.sendall(data)

    with run_quiet_site() as site:
        site.add_replica(STREAM, stream_two_events)
        results = call_in_background(site, kind, **LONG)
        wait_until(lambda: site.replicas[0].received)
        with stop_entry(site) as stop:
            wait_until(lambda: results, GRACE_S)
        response, ended_at = results[0]
        assert (response.status, response.end) == (200, End.CUT)
        assert GRACE_S * 5 / 6 - 0.05 <= ended_at - stop.stopped_at < GRACE_S
        paused.set()


@pytest.mark.parametrize("kind", ["resumable", "plain_stream"])
def test_stream_without_an_event_at_the_end_of_the_grace_period_gets_a_response(kind):
    with run_quiet_site() as site:
        script = HeldScript()
        site.add_replica(STREAM, script)
        results = call_in_background(site, kind, **LONG)
        wait_until(lambda: script.held)
        with stop_entry(site):
            wait_until(lambda: results, GRACE_S)
        assert (results[0][0].status, results[0][0].end) == (502, End.WHOLE)
        script.release.set()


def test_requests_that_wait_for_a_thread_at_the_end_of_the_grace_period_have_not_run():
    with run_hosted_site(threads=1) as site:
        site.configure(2, routes=make_routes())
        script = HeldScript()
        site.add_replica(BOOKING, script)
        first = call_in_background(site, NO_REPEAT, **LONG)
        wait_until(lambda: script.held)
        waiting = [call_in_background(site, NO_REPEAT, **LONG) for _ in range(4)]
        time.sleep(0.2)
        with stop_entry(site) as stop:
            wait_until(lambda: first and all(waiting), GRACE_S)
        assert first[0][0].status == 502
        for results in waiting:
            response, ended_at = results[0]
            assert (response.status, response.end) == (503, End.WHOLE)
            assert ended_at - stop.stopped_at < GRACE_S
        assert len(script.held) == 1
        script.release.set()


def test_drain_ends_within_a_grace_period_that_is_shorter_than_the_lag_of_the_balancer(monkeypatch):
    monkeypatch.setattr("hibiscustray.gateway.process.BALANCER_LAG_S", 5.0)
    with run_quiet_site() as site:
        script = HeldScript()
        site.add_replica(BOOKING, script)
        results = call_in_background(site, NO_REPEAT, **LONG)
        wait_until(lambda: script.held)
        with stop_entry(site, 1.2) as stop:
            wait_until(lambda: results)
        assert results[0][0].status == 502
        assert results[0][1] - stop.stopped_at < 1.2
        script.release.set()


# Requests that come during the grace period


def open_half(site: HostedSite, deadline_s: float) -> socket.socket:
    """Send a request without the end of its body and return the connection."""
    connection = site.open_socket()
    connection.sendall(encode_request(deadline_s)[:-5])
    return connection


def encode_request(deadline_s: float) -> bytes:
    lines = [
        "POST /book/1 HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT_ID}: {uuid.uuid4().hex}",
        f"Authorization: Bearer {KEY}",
        f"X-Hibiscustray-Deadline-Ms: {deadline_s * 1000:.0f}",
        "Content-Length: 10",
    ]
    return "\r\n".join([*lines, "\r\n"]).encode() + b"p" * 10


def test_late_request_that_may_not_end_within_the_grace_period_is_turned_away_without_being_sent():
    with run_quiet_site() as site:
        replica = site.add_replica(BOOKING, respond_with_body())
        with open_half(site, DEADLINE_S) as connection:
            time.sleep(0.1)
            with stop_entry(site) as stop:
                stop.sleep_until(LATE_S)
                connection.sendall(b"p" * 5)
                response = read_raw(connection)
                ended_at = time.monotonic()
        assert (response.status, response.end) == (503, End.WHOLE)
        assert 0 < float(response.headers["retry-after"]) <= 0.5
        assert response.headers["connection"] == "close"
        assert ended_at - stop.stopped_at < LATE_S + 0.5
        assert not replica.received


def test_head_that_is_not_ended_holds_a_drain_no_longer_than_its_timeout():
    with run_quiet_site() as site, site.open_socket() as connection:
        connection.sendall(b"POST /book/1 HTTP/1.1\r\n")
        time.sleep(0.1)
        with stop_entry(site, 6.0) as stop:
            assert stop.ended.wait(3.0)


def test_late_request_that_ends_within_the_grace_period_is_served():
    with run_quiet_site() as site:
        site.add_replica(BOOKING, respond_with_body(body=b"seat"))
        with open_half(site, 1.0) as connection:
            time.sleep(0.1)
            with stop_entry(site) as stop:
                stop.sleep_until(LATE_S)
                connection.sendall(b"p" * 5)
                response = read_raw(connection)
        assert (response.status, response.body, response.end) == (200, b"seat", End.WHOLE)


@pytest.mark.parametrize("kind", list(KINDS))
def test_request_sent_early_in_the_grace_period_is_served_whatever_its_deadline(kind):
    with run_quiet_site() as site:

        def respond_late(request, connection):
            time.sleep(0.8)
            is_stream = KINDS[kind][2] == STREAM
            script = stream_tokens(1, 5) if is_stream else respond_with_body(body=b"seat")
            script(request, connection)

        site.add_replica(KINDS[kind][2], respond_late)
        with stop_entry(site):
            time.sleep(0.1)
            response = call_raw(site, kind, **LONG)
        assert (response.status, response.end) == (200, End.WHOLE)


def test_late_request_that_a_replica_rejects_is_not_sent_to_another_one():
    rejected = threading.Event()

    def reject_late(request, connection):
        rejected.wait(DEADLINE_S)
        reject()(request, connection)

    with run_quiet_site() as site:
        for _ in range(2):
            site.add_replica(BOOKING, reject_late)
        results = call_in_background(site, NO_REPEAT, **LONG)
        wait_until(lambda: any(replica.received for replica in site.replicas))
        with stop_entry(site) as stop:
            stop.sleep_until(LATE_S)
            rejected.set()
            wait_until(lambda: results)
        assert results[0][0].status == 503
        assert sum(len(replica.received) for replica in site.replicas) == 1


def test_request_that_waited_for_a_thread_until_late_is_turned_away():
    with run_hosted_site(threads=1) as site:
        site.configure(2, routes=make_routes())
        script = HeldScript()
        site.add_replica(BOOKING, script)
        first = call_in_background(site, NO_REPEAT, **LONG)
        wait_until(lambda: script.held)
        with stop_entry(site) as stop:
            second = call_in_background(site, NO_REPEAT, **LONG)
            stop.sleep_until(LATE_S)
            script.release.set()
            wait_until(lambda: first and second)
        assert [results[0][0].status for results in (first, second)] == [200, 503]
        assert len(script.held) == 1


# Kept connections


def test_request_begun_before_sigterm_says_that_its_connection_closes():
    with run_quiet_site() as site:
        script = HeldScript()
        site.add_replica(BOOKING, script)
        results = call_in_background(site, NO_REPEAT, **LONG)
        wait_until(lambda: script.held)
        with stop_entry(site) as stop:
            stop.sleep_until(0.1)
            script.release.set()
            wait_until(lambda: results)
        assert results[0][0].status == 200
        assert results[0][0].headers["connection"] == "close"


def test_request_received_behind_another_one_on_its_connection_is_not_dropped():
    with run_quiet_site() as site:
        script = HeldScript()
        site.add_replica(BOOKING, script)
        with site.open_socket() as connection, stop_entry(site) as stop:
            connection.sendall(encode_request(1.0))
            wait_until(lambda: script.held)
            connection.sendall(encode_request(1.0))
            stop.sleep_until(0.2)
            script.release.set()
            responses = [read_raw(connection), read_raw(connection)]
        assert [response.status for response in responses] == [200, 200]
        assert responses[1].headers["connection"] == "close"
