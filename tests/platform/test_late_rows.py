"""Rows that an entry reads after their replicas have left, or have lost their rows."""

from __future__ import annotations

import time
from dataclasses import dataclass

import pytest

from hibiscustray.platform.standins import (
    ReceivedRequest,
    make_configuration,
    reject,
    respond_with_body,
)
from tests.platform.site import HostedSite, run_hosted_site
from tests.waiting import wait_until

HEALTH_PATH = "/alive"
SERVED_WITHIN_S = 0.5
"""Time within which a live replica that is listed again gets requests."""
LATE_S = 0.5
"""Time for which requests come after a late row."""


@dataclass
class Server:
    """A replica that answers health checks as the platform's do, after `pause_s`."""

    health: str = "serving"
    pause_s: float = 0.0

    def __call__(self, request: ReceivedRequest, connection) -> None:
        if request.path == HEALTH_PATH:
            time.sleep(self.pause_s)
        match request.path, self.health:
            case "/alive", "silent":
                time.sleep(2.0)
            case "/alive", "failing":
                reject()(request, connection)
            case _, "leaving":
                respond_with_body(Server_Leaving="1")(request, connection)
            case _:
                respond_with_body()(request, connection)


def configure(site: HostedSite) -> None:
    services = [{**s, "healthPath": HEALTH_PATH} for s in make_configuration()["services"]]
    site.configure(2, services=services)


def add_server(site: HostedSite) -> tuple[Server, object]:
    server = Server()
    return server, site.add_replica("booking", server, sequence=4, born=1_000)


def list_requests(replica) -> list[ReceivedRequest]:
    return [request for request in replica.received if request.path != HEALTH_PATH]


def remove(site: HostedSite, replica) -> None:
    site.store.unlist(replica)
    wait_until(lambda: site.process._directory.get(replica.id) is None)


def send_for(site: HostedSite, seconds: float) -> None:
    """Let requests come for some seconds; all must be served."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        assert site.call("POST", "/book/1", b"x")[0].status == 200


# Guards against requests at a replica that has left, as its last heartbeat is stored late (DRAIN).
@pytest.mark.parametrize("health", ["leaving", "failing", "silent"])
@pytest.mark.parametrize("sequence", [5, 4, 3])
def test_late_row_brings_no_requests_to_a_replica_that_has_left(health, sequence):
    with run_hosted_site() as site:
        configure(site)
        server, left = add_server(site)
        add_server(site)
        remove(site, left)
        server.health = health
        for _ in range(2):
            site.store.put("servers", left.id, left.make_row(sequence=sequence, born=1_000))
            send_for(site, LATE_S)
            remove(site, left)
        assert not list_requests(left)


# Guards against requests that are sent before the replica has answered whether it serves.
def test_late_row_brings_no_requests_while_the_replica_is_asked():
    with run_hosted_site() as site:
        configure(site)
        server, left = add_server(site)
        add_server(site)
        remove(site, left)
        server.health, server.pause_s = "leaving", 0.4
        site.store.put("servers", left.id, left.make_row(sequence=5, born=1_000))
        send_for(site, 1.0)
        assert not list_requests(left)


# Guards against a live replica that stays without requests, as its row had expired.
@pytest.mark.parametrize("sequence", [5, 4, 3])
def test_live_replica_that_had_lost_its_row_gets_requests_at_once(sequence):
    with run_hosted_site() as site:
        configure(site)
        _, replica = add_server(site)
        for _ in range(3):
            remove(site, replica)
            assert site.call("POST", "/book/1", b"x")[0].status == 503
            site.store.put("servers", replica.id, replica.make_row(sequence=sequence, born=1_000))
            wait_until(lambda: site.call("POST", "/book/1", b"x")[0].status == 200, SERVED_WITHIN_S)


# Guards against a new start that waits for its predecessor's late row, or is replaced by it.
@pytest.mark.parametrize("is_late_first", [True, False])
def test_new_start_gets_requests_at_once_beside_a_late_row_of_the_old_one(is_late_first):
    with run_hosted_site() as site:
        configure(site)
        server, old = add_server(site)
        _, new = add_server(site)
        remove(site, new)
        remove(site, old)
        server.health = "leaving"
        late = old.make_row(sequence=5, born=1_000)
        started = old.make_row(sequence=1, born=2_000, addr=new.address)
        for row in [late, started] if is_late_first else [started]:
            site.store.put("servers", old.id, row)
        wait_until(lambda: site.call("POST", "/book/1", b"x")[0].status == 200, SERVED_WITHIN_S)
        site.store.put("servers", old.id, late)
        send_for(site, LATE_S)
        assert list_requests(new) and not list_requests(old)


# Guards against many replicas that come back at once and wait for silent ones.
def test_live_replicas_get_requests_beside_silent_ones_that_are_asked():
    with run_hosted_site() as site:
        configure(site)
        pairs = [add_server(site) for _ in range(12)]
        for server, replica in pairs:
            remove(site, replica)
            server.health = "silent"
        for _, replica in pairs[:6]:
            site.store.put("servers", replica.id, replica.make_row(sequence=5, born=1_000))
        time.sleep(0.4)
        for server, replica in pairs[6:]:
            server.health = "serving"
            site.store.put("servers", replica.id, replica.make_row(sequence=5, born=1_000))
        directory = site.process._directory
        wait_until(lambda: len(directory.list_ready("booking")) == 6, SERVED_WITHIN_S)


def test_threads_of_the_checks_end_with_the_entry():
    with run_hosted_site() as site:
        assert site.process._verifier._threads[0].is_alive()
    wait_until(lambda: not any(t.is_alive() for t in site.process._verifier._threads))
