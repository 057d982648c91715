"""Tests of several entries whose replicas name limits for all entries together."""

from __future__ import annotations

import os
import signal
import time

import pytest

from hibiscustray.placement import WeightsConstraint
from hibiscustray.platform.standins import (
    MODEL_HEADERS,
    close_without_response,
    respond_with_body,
    stream_tokens,
)
from hibiscustray.replicas import ReplicaNotice
from tests.platform.fleet import FragileServer, Load, run_fleet
from tests.platform.site import run_hosted_site

pytestmark = pytest.mark.timed

CONTACT_S = 3.0
"""Time after a replica first names its limit by which all entries must keep it."""
WINDOW_S = 4.0


def count_most(server: FragileServer, since: float) -> int:
    """Return the most requests that a replica got in any window since a monotonic time."""
    arrivals = [at for at in list(server.arrivals) if at >= since]
    return max((sum(at <= x < at + WINDOW_S for x in arrivals) for at in arrivals), default=0)


def compute_bound(limit_per_s: float) -> float:
    """Return the requests that a replica may get in one window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def test_replica_gets_no_more_than_its_limit_from_all_entries_together():
    with run_fleet(servers=4) as fleet, Load(fleet, 50, "first", threads=24) as load:
        fleet.servers[0].limit, fleet.servers[1].limit = "1", "0.4"
        named_at = time.monotonic()
        time.sleep(CONTACT_S + 2 * WINDOW_S)
        sent, served = load.count(named_at + CONTACT_S)
        most = [count_most(server, named_at + CONTACT_S) for server in fleet.servers[:2]]
    assert most[0] <= compute_bound(1)
    assert most[1] <= compute_bound(0.4)
    assert served == sent


def test_limit_holds_while_entries_start_and_one_leaves_and_the_store_is_away():
    with run_fleet(entries=2, servers=3) as fleet, Load(fleet, 40, "first", threads=16):
        fleet.servers[0].limit = "1"
        named_at = time.monotonic()
        time.sleep(CONTACT_S)
        fleet.add_entry()
        fleet.add_entry()
        fleet.wait_until_ready()
        time.sleep(2.0)
        fleet.store.error_status = 503
        time.sleep(2.0)
        leaving = fleet.entries.pop(0)
        leaving.process.stop()
        fleet.store.error_status = 0
        time.sleep(WINDOW_S)
        most = count_most(fleet.servers[0], named_at + CONTACT_S)
    assert most <= compute_bound(1)


def test_limit_holds_while_an_entry_is_frozen_and_goes_on(tmp_path):
    with run_fleet(entries=2, servers=3) as fleet:
        program = fleet.add_entry_program(tmp_path)
        with Load(fleet, 40, "first", threads=16):
            fleet.servers[0].limit = "1"
            named_at = time.monotonic()
            time.sleep(CONTACT_S)
            os.kill(program.pid, signal.SIGSTOP)
            time.sleep(3.0)
            os.kill(program.pid, signal.SIGCONT)
            time.sleep(WINDOW_S)
        most = count_most(fleet.servers[0], named_at + CONTACT_S)
    assert most <= compute_bound(1)


def test_limit_ends_at_every_entry_when_it_is_no_longer_named():
    with run_fleet(servers=1) as fleet:
        fleet.servers[0].limit = "2"
        for entry in fleet.entries:
            assert fleet.request(entry, "first") == 200
        fleet.servers[0].limit = ""
        deadline = time.monotonic() + 8
        while time.monotonic() < deadline:
            statuses = [fleet.request(entry, "first") for entry in fleet.entries]
            if statuses == [200, 200, 200]:
                break
            time.sleep(0.05)
        assert [fleet.request(entry, "first") for entry in fleet.entries] == [200, 200, 200]


def test_requests_beyond_the_limits_of_all_replicas_are_refused_at_once_as_not_run():
    with run_fleet(servers=2) as fleet:
        for server in fleet.servers:
            server.limit = "0.2"
        for entry in fleet.entries * 2:
            fleet.request(entry, "first")
        arrivals = sum(len(server.arrivals) for server in fleet.servers)
        for entry in fleet.entries:
            started_at = time.monotonic()
            response, _ = entry.call("POST", "/draft/1", b"p", **MODEL_HEADERS)
            assert time.monotonic() - started_at < 0.2
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
        assert sum(len(server.arrivals) for server in fleet.servers) == arrivals


def test_repeats_and_resumed_streams_do_not_go_to_a_replica_beyond_its_limit():
    with run_fleet(entries=1, servers=2) as fleet:
        limited, failing = fleet.servers
        limited.limit = "0.05"
        while not limited.arrivals:
            fleet.request(fleet.entries[0], "first")
        time.sleep(0.3)
        arrivals = len(limited.arrivals)
        failing.replica.script = stream_tokens(1, 6, cut_at=3)
        assert fleet.request(fleet.entries[0], "first") == 0
        failing.replica.script = close_without_response
        assert fleet.request(fleet.entries[0], "first") == 502
        assert len(limited.arrivals) == arrivals


def test_request_chosen_before_the_limit_was_known_is_not_sent_beyond_it():
    with run_fleet(entries=1, servers=1) as fleet:
        attempts = fleet.entries[0].process._forwarder._attempts
        boot = f"{fleet.servers[0].replica.id}/1"
        find_required = attempts._find_required

        def name_limit_after_placement(context):
            attempts._notices.record(boot, ReplicaNotice(0.1), time.monotonic())
            return find_required(context)

        # The version is asked for between the choice of the replica and the connection.
        attempts._find_constraint = lambda context: WeightsConstraint("m")
        attempts._find_required = name_limit_after_placement
        assert fleet.request(fleet.entries[0], "first") == 503
        assert not fleet.servers[0].arrivals


def test_limit_in_a_rejection_counts():
    with run_hosted_site() as site:
        site.add_replica(
            "booking", respond_with_body(503, Server_Limit="0.1", X_Hibiscustray_Not_Executed="1")
        )
        assert site.call("POST", "/book/1", b"x")[0].status == 503
        time.sleep(0.2)
        for _ in range(3):
            assert site.call("POST", "/book/1", b"x")[0].status == 503
        assert len(site.replicas[0].received) == 1


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e3", "1,5", "0x1", "1 2", "9" * 400])
def test_limit_that_is_no_decimal_number_limits_nothing(value, caplog):
    with run_hosted_site() as site:
        site.add_replica("booking", respond_with_body(Server_Limit=value))
        for _ in range(5):
            assert site.call("POST", "/book/1", b"x")[0].status == 200
    assert sum(r.message == "replica limit unreadable" for r in caplog.records) == 1
