"""Replicas of a soak: which requests they run with which version of the weights."""

from __future__ import annotations

import contextlib
import http.client
import time

import pytest

from hibiscustray.platform import standins
from hibiscustray.soak import replicas
from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.guarantees import GuaranteeChecker
from hibiscustray.soak.replicas import SoakReplica


@pytest.fixture
def replica():
    store = standins.StoreStandIn()
    checker = GuaranteeChecker(DisturbanceLog(), 0.0)
    replica = SoakReplica(0, "guide", standins, store, checker, 1)
    yield replica, checker
    replica.close()
    store.close()


def send(replica: SoakReplica, expected_version: int | None) -> http.client.HTTPResponse:
    headers = {standins.ATTEMPT_ID: "r1"}
    if expected_version is not None:
        headers["X-Hibiscustray-Expect-Version"] = str(expected_version)
    connection = http.client.HTTPConnection(replica.proxy.address, timeout=3.0)
    try:
        connection.request("POST", "/draft/1", b"seat", headers)
        response = connection.getresponse()
        response.read()
        return response
    finally:
        connection.close()


@pytest.mark.parametrize("expected_version", [1, 3])
def test_a_replica_does_not_run_a_request_that_expects_another_version(replica, expected_version):
    replica, checker = replica
    replica.swap(2)
    response = send(replica, expected_version)
    assert (response.status, standins.NOT_RUN in response.headers) == (421, True)
    assert checker.checks["UNASKED"] == 0


@pytest.mark.parametrize("expected_version", [None, 2])
def test_a_replica_runs_a_request_and_names_its_version(replica, expected_version):
    replica, checker = replica
    replica.swap(2)
    response = send(replica, expected_version)
    assert response.status == 200
    assert response.headers["X-Hibiscustray-Weight-Versions"] == "2"
    assert checker.checks["UNASKED"] == 1


def test_a_draining_replica_keeps_its_version(replica):
    replica, _ = replica
    replica.is_draining = True
    replica.swap(2)
    assert replica.version == 1


QUEUE_S = 0.4


@pytest.fixture
def queue(replica, monkeypatch):
    """Return a replica in whose queue requests wait for 0.4 s, and the times when they begin."""
    replica, checker = replica
    monkeypatch.setattr(replicas, "MAX_QUEUE_S", QUEUE_S)
    monkeypatch.setattr(replicas.random, "uniform", lambda low, high: high)
    begins: list[float] = []
    monkeypatch.setattr(checker, "record_run", lambda *arguments: begins.append(arguments[4]))
    replica.queue = "queue"
    return replica, begins


def open_request(replica: SoakReplica, time_left_s: float = 5.0) -> http.client.HTTPConnection:
    headers = {
        standins.ATTEMPT_ID: "r1",
        "X-Hibiscustray-Deadline-Ms": str(int(time_left_s * 1000)),
    }
    connection = http.client.HTTPConnection(replica.proxy.address, timeout=3.0)
    connection.request("POST", "/draft/1", b"seat", headers)
    return connection


def test_a_request_in_a_queue_begins_late(queue):
    replica, begins = queue
    sent_at = time.monotonic()
    with contextlib.closing(open_request(replica)) as connection:
        assert connection.getresponse().status == 200
    assert begins[0] - sent_at >= QUEUE_S


def test_a_request_whose_deadline_passes_in_the_queue_is_not_run(queue):
    replica, begins = queue
    sent_at = time.monotonic()
    with contextlib.closing(open_request(replica, QUEUE_S / 2)) as connection:
        response = connection.getresponse()
        assert QUEUE_S / 2 <= time.monotonic() - sent_at < QUEUE_S
        assert (response.status, standins.NOT_RUN in response.headers) == (503, True)
    assert begins == []


def test_a_running_stream_is_cut_at_its_deadline(queue, monkeypatch):
    replica, begins = queue
    monkeypatch.setattr(replicas, "EVENTS_PER_STREAM", 200)
    with contextlib.closing(open_request(replica, QUEUE_S + 0.6)) as connection:
        response = connection.getresponse()
        with pytest.raises(http.client.IncompleteRead):
            response.read()
    assert len(begins) == 1


@pytest.mark.parametrize(("kind", "is_run"), [("queue", False), ("backlog", True)])
def test_a_request_that_was_given_up_in_the_queue_is_dropped_or_run(queue, kind, is_run):
    replica, begins = queue
    replica.queue = kind
    open_request(replica).close()
    time.sleep(QUEUE_S + 0.2)
    assert len(begins) == is_run


def test_a_request_in_the_queue_of_a_silent_replica_begins_after_the_silence(queue):
    replica, begins = queue
    with contextlib.closing(open_request(replica)) as connection:
        time.sleep(0.1)
        silent_until = time.monotonic() + 2 * QUEUE_S
        replica.proxy.hold(2 * QUEUE_S)
        assert connection.getresponse().status == 200
    assert begins[0] >= silent_until


def test_a_replica_that_was_restarted_does_not_run_what_waited_in_its_queue(queue):
    replica, begins = queue
    with contextlib.closing(open_request(replica)) as connection:
        time.sleep(0.1)
        replica.restart(2)
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            connection.getresponse()
        time.sleep(QUEUE_S + 0.2)
    assert begins == []
