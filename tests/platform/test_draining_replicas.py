"""Tests of replicas that say in their responses that they are draining, whatever the list says."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from functools import partial

import pytest

from hibiscustray.platform.standins import (
    ReceivedRequest,
    close_without_response,
    reject,
    respond_with_body,
)
from hibiscustray.replicas import ReplicaNotice
from tests.platform.pushback import Callers, add_pushback, ask
from tests.platform.quiet import KINDS, STREAM, encode_head, split_body, split_stream
from tests.platform.site import HostedSite, run_hosted_site
from tests.platform.test_quiet_replicas import run_checks, run_quiet_site
from tests.waiting import wait_until

LEAVING = "Server-Leaving"
DRAINING_S = 1.5


@dataclass
class DrainingScript:
    """Responds in parts, from `drain` on with the header; `pause_s` is a pause before each part."""

    is_stream: bool
    is_draining: bool = False
    pause_s: float = 0.002
    arrivals: list[float] = field(default_factory=list)

    def __call__(self, request: ReceivedRequest, connection) -> None:
        self.arrivals.append(time.monotonic())
        for position, data in split_stream(request) if self.is_stream else split_body(request):
            if position == "head" and self.is_draining:
                data = data.replace(b"\r\n\r\n", f"\r\n{LEAVING}: 1\r\n\r\n".encode())
            time.sleep(self.pause_s)
            connection.sendall(data)


def add_draining(site: HostedSite, kind: str, **row) -> DrainingScript:
    service = KINDS[kind][2]
    script = DrainingScript(service == STREAM)
    site.add_replica(service, script, **row)
    return script


def send_beside_drain(kind: str, is_store_away: bool) -> list[str]:
    """Let one of two replicas drain while it is listed as ready; count what arrives later."""
    with run_quiet_site() as site:
        draining, _ = add_draining(site, kind), add_draining(site, kind)
        if is_store_away:
            site.store.error_status = 503
        with Callers([site], kind, threads=8, per_s=40) as callers:
            time.sleep(0.3)
            draining.is_draining = True
            drained_at = time.monotonic()
            time.sleep(DRAINING_S)
        results = callers.list_results()
    late = [at for at in draining.arrivals if at > drained_at + 0.5]
    problems = [f"{len(late)} requests arrived"] if late else []
    failed = [result for result in results if result != "whole"]
    return problems + ([f"{len(failed)} calls: {failed[0]}"] if failed else [])


def test_replica_that_says_it_is_draining_gets_no_requests_though_it_is_listed_as_ready():
    run_checks(
        {
            f"{kind}, store away: {is_store_away}": partial(send_beside_drain, kind, is_store_away)
            for kind in KINDS
            for is_store_away in (False, True)
        }
    )


def test_running_requests_of_a_replica_that_says_it_is_draining_end_whole():
    with run_quiet_site() as site:
        script = add_draining(site, "resumable")
        script.is_draining, script.pause_s = True, 0.1
        seen = []
        threads = [
            threading.Thread(target=lambda: seen.append(ask(site, "resumable").seen.result))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert seen == ["whole"] * 4
        assert ask(site, "resumable").seen.result == "status 503"
        assert len(script.arrivals) == 4


def test_request_chosen_before_the_replica_said_it_was_draining_is_not_sent():
    with run_quiet_site() as site:
        script = add_draining(site, "resumable")
        attempts = site.process._forwarder._attempts
        boot = f"{site.replicas[0].id}/1"
        find_required = attempts._find_required

        def drain_after_placement(context):
            attempts._notices.record(boot, ReplicaNotice(is_draining=True), time.monotonic())
            return find_required(context)

        # The version is asked for between the choice of the replica and the connection.
        attempts._find_required = drain_after_placement
        assert ask(site, "resumable").seen.result == "status 503"
        assert not script.arrivals


def test_backup_of_a_silent_attempt_does_not_go_to_a_replica_that_says_it_is_draining():
    with run_quiet_site() as site:
        draining = add_draining(site, "resumable")
        draining.is_draining = True
        quiet = add_pushback(site, "resumable")
        while not draining.arrivals:
            ask(site, "resumable")
        quiet.silence_s = 1.9
        assert ask(site, "resumable").seen.result == "whole"
        assert len(draining.arrivals) == 1


def test_rejection_that_says_the_replica_is_draining_counts():
    with run_hosted_site() as site:
        site.add_replica("booking", reject(503, Server_Leaving="1", Retry_After="0"))
        site.call("POST", "/book/1", b"x")
        time.sleep(0.7)
        assert site.call("POST", "/book/1", b"x")[0].status == 503
        assert len(site.replicas[0].received) == 1


@pytest.mark.parametrize("value", ["0", "", "yes", "2", "1, 0"])
def test_value_other_than_one_does_not_say_that_a_replica_is_draining(value):
    with run_hosted_site() as site:
        site.add_replica("booking", respond_with_body(Server_Leaving=value))
        assert [site.call("POST", "/book/1", b"x")[0].status for _ in range(3)] == [200] * 3


def test_next_start_and_other_replicas_at_the_address_are_not_taken_for_draining():
    with run_hosted_site() as site:
        replica = site.add_replica("booking", respond_with_body(Server_Leaving="1"))
        assert site.call("POST", "/book/1", b"x")[0].status == 200
        assert site.call("POST", "/book/1", b"x")[0].status == 503
        replica.script = respond_with_body()
        site.update_replica(replica, born=2)
        assert site.call("POST", "/book/1", b"x")[0].status == 200
        replica.script = respond_with_body(Server_Leaving="1")
        site.call("POST", "/book/1", b"x")
        replica.script = respond_with_body()
        site.store.remove("servers", replica.id)
        site.store.put("servers", "i-next", replica.make_row())
        wait_until(lambda: site.process._directory.get("i-next") is not None)
        assert site.call("POST", "/book/1", b"x")[0].status == 200


def test_request_broken_off_by_a_replica_that_says_it_is_draining_is_no_end_of_it():
    with run_hosted_site() as site:
        attempts = site.process._forwarder._attempts
        lost = []
        attempts.quarantine.record_loss = lambda boot, parts, sent_at: lost.append(parts)
        script, begun = respond_with_body(Server_Leaving="1"), threading.Event()

        def break_off(request, connection):
            begun.set()
            time.sleep(0.4)
            close_without_response(request, connection)

        replica = site.add_replica("booking", break_off)
        thread = threading.Thread(target=site.call, args=("POST", "/book/1", b"x"))
        thread.start()
        begun.wait()
        replica.script = script
        site.call("POST", "/book/1", b"x")
        thread.join()
        assert lost == [()]


def test_resumable_stream_whose_head_says_that_the_replica_is_draining_goes_on_elsewhere():
    with run_quiet_site() as site:

        def break_off(request, connection):
            connection.sendall(encode_head(request, f"{LEAVING}: 1", "Transfer-Encoding: chunked"))
            for position, data in list(split_stream(request))[1:]:
                if position == "within an event":
                    return
                connection.sendall(data)

        first = site.add_replica(STREAM, break_off)
        second = add_draining(site, "resumable")
        while not first.received:
            assert ask(site, "resumable").seen.result == "whole"
        assert second.arrivals
