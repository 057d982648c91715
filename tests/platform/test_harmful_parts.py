"""Tests of several entries whose replicas end under one part of a prompt."""

from __future__ import annotations

import os
import signal
import time

import pytest

from hibiscustray.platform.standins import ATTEMPT_ID, MODEL_HEADERS, SERVER_SEAL
from tests.platform.fleet import PROMPT_PARTS, Load, run_fleet
from tests.platform.site import run_hosted_site
from tests.waiting import wait_until

CONTACT_S = 3.0
"""Time after the fifth end of a replica by which all entries must know the part."""
MAX_LATER_REQUESTS = 3
MIN_SERVED_SHARE = 0.5


def test_requests_with_one_part_do_not_end_one_replica_after_the_other():
    with run_fleet(harmful={"bad"}) as fleet, Load(fleet, 40, "first", "other") as sound:
        time.sleep(0.5)
        with Load(fleet, 4, "first", "other", "bad", threads=8):
            wait_until(lambda: len(fleet.ended_at) >= 5, timeout_s=8)
            bound = fleet.ended_at[4] + CONTACT_S
            time.sleep(max(0.0, bound + CONTACT_S - time.monotonic()))
            later = [at for at in fleet.harmful_arrivals if at > bound]
            sent, served = sound.count(bound)
    assert len(later) <= MAX_LATER_REQUESTS
    assert served >= MIN_SERVED_SHARE * sent


def block_part(fleet) -> None:
    """End replicas under the part "bad" until every entry blocks it."""
    number = 0
    assert fleet.request(fleet.entries[0], "first", "other") == 200
    while not all(read_blocks(entry) for entry in fleet.entries):
        assert number < 12
        fleet.request(fleet.entries[number % len(fleet.entries)], "first", "bad")
        number += 1
        time.sleep(0.5)


def read_blocks(entry) -> float:
    """Return the number of blocks in force at an entry."""
    return entry.process._forwarder._attempts._metrics.read("prompt_part_blocks")


def test_blocked_request_is_refused_at_once_as_not_run_and_sound_ones_go_on(caplog):
    caplog.set_level("INFO")
    with run_fleet(harmful={"bad"}, restart_s=0.3) as fleet:
        block_part(fleet)
        arrivals = len(fleet.harmful_arrivals)
        for entry in fleet.entries:
            headers = MODEL_HEADERS | {PROMPT_PARTS: "first:40,bad:10,c0:1"}
            started_at = time.monotonic()
            response, _ = entry.call("POST", "/draft/1", b"p", **headers)
            assert time.monotonic() - started_at < 0.2
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
            assert fleet.request(entry, "first", "other") == 200
        assert len(fleet.harmful_arrivals) == arrivals
    blocked = next(r for r in caplog.records if r.message == "prompt part blocked")
    refused = [r for r in caplog.records if getattr(r, "reason", "") == "quarantined"]
    assert all(set(blocked.parts) <= set(line.prompt_parts) for line in refused)


def test_entry_that_has_just_started_refuses_a_part_that_the_others_block():
    with run_fleet(entries=2, harmful={"bad"}, restart_s=0.3) as fleet:
        block_part(fleet)
        arrivals = len(fleet.harmful_arrivals)
        started = fleet.add_entry()
        fleet.wait_until_ready()
        wait_until(lambda: read_blocks(started))
        assert fleet.request(started, "bad") == 503
        assert len(fleet.harmful_arrivals) == arrivals


def test_entry_that_was_frozen_refuses_what_the_others_blocked_meanwhile(tmp_path):
    with run_fleet(entries=2, harmful={"bad"}, restart_s=0.3) as fleet:
        program = fleet.add_entry_program(tmp_path)
        frozen = fleet.entries.pop()
        os.kill(program.pid, signal.SIGSTOP)
        block_part(fleet)
        arrivals = len(fleet.harmful_arrivals)
        os.kill(program.pid, signal.SIGCONT)
        time.sleep(1.0)
        assert fleet.request(frozen, "bad") == 503
        assert len(fleet.harmful_arrivals) == arrivals


def test_entry_that_loses_the_store_keeps_the_blocks_that_it_knows():
    with run_fleet(harmful={"bad"}, restart_s=0.3) as fleet:
        block_part(fleet)
        fleet.store.error_status = 503
        time.sleep(1.0)
        assert [fleet.request(entry, "bad") for entry in fleet.entries] == [503, 503, 503]


def test_entry_that_cannot_write_to_the_store_blocks_by_its_own_observations():
    with run_fleet(entries=1, harmful={"bad"}, restart_s=0.3) as fleet:
        fleet.store.error_status = 503
        number = 0
        while fleet.request(fleet.entries[0], "bad") != 503:
            number += 1
            assert number < 6
            wait_until(lambda: sum(is_listening(s) for s in fleet.servers) >= 2)
            time.sleep(0.5)
        assert len(fleet.ended_at) <= 6


def is_listening(server) -> bool:
    return server.replica._listener.fileno() >= 0


def test_repeat_of_a_request_is_not_sent_once_its_part_is_blocked():
    with run_fleet(servers=2, harmful={"bad"}, restart_s=None) as fleet:
        quarantine = fleet.entries[0].process._forwarder._attempts.quarantine
        quarantine.find_refusal = lambda parts, request_id: 30.0 if fleet.ended_at else None
        assert fleet.request(fleet.entries[0], "bad") == 502
        assert len(fleet.harmful_arrivals) == 1


def test_resumption_of_a_stream_with_a_blocked_part_is_refused():
    with run_fleet(harmful={"bad"}, restart_s=0.3) as fleet:
        block_part(fleet)
        arrivals = len(fleet.harmful_arrivals)
        headers = MODEL_HEADERS | {PROMPT_PARTS: "bad:40,c0:1", "Last-Event-Id": "3"}
        response, _ = fleet.entries[1].call("POST", "/draft/1", b"p", **headers)
        assert response.status == 503
        assert len(fleet.harmful_arrivals) == arrivals


def test_request_chosen_before_its_part_was_blocked_is_not_sent():
    with run_fleet(servers=1, harmful={"bad"}) as fleet:
        quarantine = fleet.entries[0].process._forwarder._attempts.quarantine
        answers = [None, 30.0, 30.0]
        quarantine.find_refusal = lambda parts, request_id: answers.pop(0)
        assert fleet.request(fleet.entries[0], "bad") == 503
        assert not fleet.harmful_arrivals


def test_replicas_that_are_killed_in_series_block_nothing():
    with run_fleet(servers=8) as fleet, Load(fleet, 60, "popular", threads=24) as load:
        time.sleep(0.5)
        for server in fleet.servers:
            server.end(restart_s=1.5)
            time.sleep(0.4)
        for server in fleet.servers[:4]:
            server.end(restart_s=0.5)
        time.sleep(2.0)
        calm_at = time.monotonic()
        time.sleep(1.0)
        sent, served = load.count(calm_at)
        assert [read_blocks(entry) for entry in fleet.entries] == [0, 0, 0]
    assert served == sent


def test_unjust_block_ends_by_itself(monkeypatch):
    monkeypatch.setattr("hibiscustray.quarantine.quarantine.INITIAL_HOLD_S", 1.0)
    with run_fleet(harmful={"bad"}, restart_s=0.3) as fleet:
        block_part(fleet)
        fleet.harmful.clear()
        deadline = time.monotonic() + 6
        while any(fleet.request(entry, "bad") != 200 for entry in fleet.entries):
            assert time.monotonic() < deadline
            time.sleep(0.1)


@pytest.mark.parametrize("blocks", [[], [b"id: 1\ndata: to"]])
def test_stream_without_length_or_chunks_that_is_broken_off_does_not_end_as_complete(blocks):
    def break_off(request, connection):
        head = f"{ATTEMPT_ID}: {request.id}\r\n{SERVER_SEAL}: seal-1\r\n"
        connection.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + b"".join(blocks))

    with run_hosted_site() as site:
        for _ in range(2):
            site.add_replica("guide", break_off)
        assert site.request_stream()[0].status == 502
