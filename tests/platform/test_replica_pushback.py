"""Tests of replicas that turn requests away with the time for which they want none."""

from __future__ import annotations

import os
import signal
import time
from functools import partial

import pytest

from hibiscustray.platform.standins import reject, respond_with_body
from hibiscustray.replicas import ReplicaNotice
from tests.platform.fleet import run_fleet
from tests.platform.pushback import (
    GRACE_S,
    MAX_UNWANTED,
    Callers,
    PushbackScript,
    add_pushback,
    ask,
)
from tests.platform.quiet import KINDS, STREAM, split_stream
from tests.platform.site import run_hosted_site
from tests.platform.test_quiet_replicas import run_checks, run_quiet_site
from tests.waiting import wait_until

PUSHBACK_S = 2.5
REFUSAL_S = 0.2
"""Time in which a request that cannot be served is refused."""


def check_arrivals(script: PushbackScript) -> list[str]:
    count = script.count_unwanted()
    return [] if count <= MAX_UNWANTED else [f"{count} requests arrived in the time of a pushback"]


def check_all_whole(results: list[str]) -> list[str]:
    failed = [result for result in results if result != "whole"]
    return [f"{len(failed)} of {len(results)} calls: {failed[0]}"] if failed else []


# One replica pushes back, another one falls silent


def send_beside_pushback(kind: str) -> list[str]:
    """Send requests while one of five replicas pushes back and another is silent at times."""
    with run_quiet_site() as site:
        resting, quiet, *_ = (add_pushback(site, kind) for _ in range(5))
        with Callers([site], kind, threads=12, per_s=50) as callers:
            time.sleep(0.3)
            resting.push_back_once(PUSHBACK_S)
            for _ in range(2):
                quiet.silence_s = 1.5
                time.sleep(0.3)
                quiet.silence_s = 0.0
                time.sleep(1.2)
        results = callers.list_results()
    return check_arrivals(resting) + check_all_whole(results)


def test_replica_that_pushed_back_gets_no_requests_on_a_day_with_silent_replicas():
    run_checks({kind: partial(send_beside_pushback, kind) for kind in KINDS})


def back_up_beside_pushback(kind: str) -> list[str]:
    """Let the only other replica fall silent, so that backups are due in the pushback."""
    with run_quiet_site() as site:
        resting, quiet = add_pushback(site, kind, "6"), add_pushback(site, kind)
        while not resting.arrivals:
            ask(site, kind)
        quiet.silence_s = 1.9
        seen = ask(site, kind).seen
    problems = [] if seen.result == "whole" else [seen.result]
    return problems + ([] if len(resting.arrivals) == 1 else [f"got {len(resting.arrivals)}"])


def test_backup_of_a_silent_attempt_does_not_go_to_a_replica_that_pushed_back():
    run_checks(
        {kind: partial(back_up_beside_pushback, kind) for kind in ("resumable", "idempotent")}
    )


def test_stream_is_not_resumed_at_a_replica_that_pushed_back():
    with run_quiet_site() as site:
        resting = add_pushback(site, "resumable", "6")

        def break_off(request, connection):
            for position, data in split_stream(request):
                if position == "within an event" and not request.resume_after:
                    return
                connection.sendall(data)

        while not resting.arrivals:
            ask(site, "resumable")
        time.sleep(GRACE_S)
        site.add_replica(STREAM, break_off)
        ask(site, "resumable")
        assert len(resting.arrivals) == 1


def test_pushback_in_the_answer_to_a_superseded_attempt_is_kept():
    with run_quiet_site() as site:
        resting = add_pushback(site, "resumable", "6")
        attempts = site.process._forwarder._attempts
        check_response = attempts._check_response

        def supersede_first(context, placement, watch, response):
            watch.supersede()
            return check_response(context, placement, watch, response)

        attempts._check_response = supersede_first
        ask(site, "resumable")
        attempts._check_response = check_response
        time.sleep(GRACE_S)
        for _ in range(5):
            ask(site, "resumable")
            time.sleep(0.1)
        assert len(resting.arrivals) == 1


def test_request_chosen_before_the_pushback_was_known_is_not_sent():
    with run_quiet_site() as site:
        script = add_pushback(site, "resumable")
        attempts = site.process._forwarder._attempts
        boot = f"{site.replicas[0].id}/1"
        find_required = attempts._find_required

        def push_back_after_placement(context):
            attempts._notices.record(boot, ReplicaNotice(pushback_s=6.0), time.monotonic())
            return find_required(context)

        # The version is asked for between the choice of the replica and the connection.
        attempts._find_required = push_back_after_placement
        answer = ask(site, "resumable")
        assert answer.seen.result == "status 503"
        assert not script.arrivals


# What counts as a pushback


def send_after_answer(script, seconds: float = 2.0, count: int = 10) -> int:
    """Return the requests that the only replica gets in a time."""
    with run_hosted_site() as site:
        site.add_replica("booking", script)
        for _ in range(count):
            site.call("POST", "/book/1", b"x")
            time.sleep(seconds / count)
        return len(site.replicas[0].received)


@pytest.mark.parametrize("value", ["0", "", "-5", "1, 5", "soon", "Fri, 04 Dec 2099 16:00:00 GMT"])
def test_value_that_names_no_time_keeps_no_requests_away(value, caplog):
    assert send_after_answer(reject(503, Retry_After=value)) > 3
    lines = [r for r in caplog.records if r.message == "replica pushback unreadable"]
    assert len(lines) == (value != "0")


@pytest.mark.parametrize("value", ["5.5", "86400", "9" * 400])
def test_long_time_is_kept(value):
    assert send_after_answer(reject(503, Retry_After=value)) == 1


def test_time_in_a_response_that_is_no_503_keeps_no_requests_away():
    assert send_after_answer(respond_with_body(Retry_After="9"), 0.1) == 10
    assert send_after_answer(reject(429, Retry_After="9")) > 3


def test_503_that_may_have_run_is_no_promise_to_the_caller_and_its_time_is_kept():
    with run_hosted_site() as site:
        site.add_replica("booking", respond_with_body(503, Retry_After="9"))
        response, _ = site.call("POST", "/book/1", b"x")
        assert (response.status, response.headers["Retry-After"]) == (502, None)
        assert "X-Hibiscustray-Server-Seal" not in response.headers
        response, _ = site.call("POST", "/book/1", b"x")
        assert response.status == 503
        assert len(site.replicas[0].received) == 1


def test_answer_of_another_replica_at_the_address_keeps_no_requests_away():
    with run_hosted_site() as site:
        site.add_replica("booking", reject(421, Retry_After="9"))
        site.call("POST", "/book/1", b"x")
        # The record is stale until it changes.
        site.update_replica(site.replicas[0], slots=17, born=2)
        replica = site.replicas[0]
        replica.script = respond_with_body()
        wait_until(lambda: site.call("POST", "/book/1", b"x")[0].status == 200)


def test_next_start_under_the_same_id_gets_requests_in_the_time_of_the_last_one():
    with run_hosted_site() as site:
        replica = site.add_replica("booking", reject(503, Retry_After="9" * 400))
        site.call("POST", "/book/1", b"x")
        replica.script = respond_with_body()
        site.update_replica(replica, slots=17)
        assert site.call("POST", "/book/1", b"x")[0].status == 503
        site.update_replica(replica, born=2)
        assert site.call("POST", "/book/1", b"x")[0].status == 200


def test_other_replica_at_the_same_address_gets_requests_in_the_time_of_the_last_one():
    with run_hosted_site() as site:
        replica = site.add_replica("booking", reject(503, Retry_After="9"))
        site.call("POST", "/book/1", b"x")
        replica.script = respond_with_body()
        site.store.remove("servers", replica.id)
        site.store.put("servers", "i-next", replica.make_row())
        wait_until(lambda: site.process._directory.get("i-next") is not None)
        assert site.call("POST", "/book/1", b"x")[0].status == 200


def test_pushback_is_kept_by_an_entry_that_is_frozen_in_it(tmp_path):
    with run_fleet(entries=0, servers=2) as fleet:
        program = fleet.add_entry_program(tmp_path)
        script = PushbackScript(True, "4")
        replica = fleet.servers[0].replica
        replica.script = script
        while not script.arrivals:
            fleet.request(fleet.entries[0], "first")
        os.kill(program.pid, signal.SIGSTOP)
        time.sleep(1.0)
        os.kill(program.pid, signal.SIGCONT)
        begin = script.arrivals[0][0]
        while time.monotonic() < begin + 3.9:
            assert fleet.request(fleet.entries[0], "first") == 200
            time.sleep(0.05)
        assert len(script.arrivals) == 1
        fleet.servers[1].end()
        wait_until(lambda: fleet.request(fleet.entries[0], "first") and len(script.arrivals) > 1)


# Beside other reasons to send nothing


def test_limit_and_pushback_of_a_replica_both_count():
    with run_hosted_site() as site:
        replica = site.add_replica("booking", reject(503, Retry_After="1", Server_Limit="0.05"))
        site.call("POST", "/book/1", b"x")
        replica.script = respond_with_body(Server_Limit="0.05")
        begin = time.monotonic()
        while time.monotonic() < begin + 2.0:
            response, _ = site.call("POST", "/book/1", b"x")
            time.sleep(0.05)
        assert len(replica.received) == 1
        assert b"limited" in site.call("POST", "/book/1", b"x")[1]


def test_trial_of_a_blocked_request_is_not_sent_to_a_replica_that_pushed_back():
    with run_hosted_site() as site:
        site.add_replica("booking", reject(503, Retry_After="9"))
        site.call("POST", "/book/1", b"x")
        used = []
        site.process._forwarder._attempts.quarantine.use_trial = lambda *a: used.append(a) or True
        assert site.call("POST", "/book/1", b"x")[0].status == 503
        assert (used, len(site.replicas[0].received)) == ([], 1)


# All replicas push back


def refuse_in_pushback(kind: str) -> list[str]:
    """Let all replicas push back, then send requests."""
    with run_quiet_site() as site:
        scripts = [add_pushback(site, kind, "6"), add_pushback(site, kind, "3")]
        while not all(script.arrivals for script in scripts):
            ask(site, kind)
            time.sleep(0.02)
        time.sleep(GRACE_S)
        counts = [len(script.arrivals) for script in scripts]
        first_back_at = min(at + seconds for s in scripts for at, _, seconds in s.answers[:1])
        problems, returns_at = [], []
        for _ in range(20):
            left_s = first_back_at - time.monotonic()
            answer = ask(site, kind)
            returns_at.append(time.monotonic() + answer.retry_after_s)
            if answer.seen.result != "status 503" or answer.took_s > REFUSAL_S:
                problems.append(f"{answer.seen.result} after {answer.took_s:.2f} s")
            if not left_s - 0.1 <= answer.retry_after_s <= 2 * left_s + 0.5:
                problems.append(f"told {answer.retry_after_s} s, {left_s:.2f} s were left")
        if max(returns_at) - min(returns_at) < 0.3:
            problems.append("the callers return together")
        if [len(script.arrivals) for script in scripts] != counts:
            problems.append("requests arrived")
    return problems


def test_requests_are_refused_at_once_with_the_time_to_come_back_while_all_replicas_push_back():
    run_checks({kind: partial(refuse_in_pushback, kind) for kind in KINDS})


def test_caller_that_the_only_replica_turned_away_is_told_its_time():
    with run_quiet_site() as site:
        add_pushback(site, "idempotent", "4")
        answer = ask(site, "idempotent")
        assert answer.seen.result == "status 503"
        assert 3.5 <= answer.retry_after_s <= 8.5


def test_refused_request_leads_to_the_replica_and_the_request_that_it_turned_away(caplog):
    caplog.set_level("INFO")
    with run_hosted_site() as site:
        site.add_replica("booking", reject(503, Retry_After="4"))
        site.call("POST", "/book/1", b"x")
        site.call("POST", "/book/1", b"x")
        turned_away = site.replicas[0].received[0].id
    (pushback,) = (r for r in caplog.records if r.message == "replica pushback")
    first, second = (r for r in caplog.records if r.message == "request ended")
    assert (first.request, first.reason, first.trail) == (
        turned_away,
        "pushback",
        ["i-0:refused-503"],
    )
    assert (second.reason, second.trail, second.first_back) == ("pushback", [], pushback.replica)
    assert (pushback.request, pushback.pushback_s) == (turned_away, 4.0)
