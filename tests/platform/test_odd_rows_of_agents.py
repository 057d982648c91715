"""Rows of another writer, and odd reports of an engine: the agent follows the list all the same."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from hibiscustray.composition import build_hosted_agent
from hibiscustray.platform.standins import (
    ReplicaStandIn,
    StoreStandIn,
    make_configuration,
    respond_with_body,
)
from hibiscustray.settings import HostedProcess, HostedSettings, HostedStore, HostedUpstream
from hibiscustray.telemetry import Metrics
from tests.platform.test_odd_rows import ODD_KEYS, ODD_ROWS, SOUND, check_log, nest
from tests.waiting import wait_until

SERVICE = "guide"
HOSTS = ("127.0.0.2", "127.0.0.3")
ODD_REPORTS = {
    "not JSON": b"{",
    "not UTF-8": b'{"models":[{"name":"\xff"}]}',
    "breaks off within lists": b'{"models":' + b"[" * 4000,
    "nested in an unknown field": b'{"x":' + nest(20_000) + b"}",
    "count of 400 digits": b'{"sequence":' + b"9" * 400 + b"}",
    "count of 5000 digits": b'{"sequence":' + b"9" * 5000 + b"}",
    "negative count": b'{"sequence":-1}',
    "version of 30 digits": b'{"models":[{"name":"m","version":' + b"9" * 30 + b"}]}",
    "born in a text": b'{"born":"1"}',
}


def encode_row(host: str, **changes) -> bytes:
    return json.dumps(SOUND | {"service": SERVICE, "addr": f"{host}:80"} | changes).encode()


@contextmanager
def run_agent(store: StoreStandIn, engine: str = "127.0.0.1:9") -> Iterator:
    """Run the agent of an engine."""
    settings = HostedSettings(
        process=HostedProcess("side-1", "z1", "r1", "127.0.0.1", 0, 0),
        store=HostedStore(store.address, wait_s=1.0),
        regions={"z1": "r1", "z2": "r2"},
        upstream=HostedUpstream(engine, SERVICE),
    )
    process = build_hosted_agent(settings, Metrics("side-1"))
    process.start()
    try:
        yield process
    finally:
        process.stop()


@contextmanager
def run_store() -> Iterator[StoreStandIn]:
    store = StoreStandIn()
    store.put("op", "config", make_configuration())
    store.put("op", "version/m", {"model": "m", "version": 1})
    try:
        yield store
    finally:
        store.close()


def list_peers(process) -> dict[str, str]:
    """Return the regions of the agents that the process knows, by their hosts."""
    view = process._stager._environment.view
    return {m.id: m.region for m in view.replicas(SERVICE) if m.id != view.own.id}


def check_roster(store: StoreStandIn) -> None:
    """Check that a new agent finds the others, follows their list, and finds them again."""
    with run_agent(store) as process:
        for number, host in enumerate(HOSTS):
            store.put("servers", f"i-{number}", encode_row(host))
        wait_until(lambda: list_peers(process) == dict.fromkeys(HOSTS, "r1"))
        store.remove("servers", "i-0")
        wait_until(lambda: list_peers(process) == {HOSTS[1]: "r1"})
    with run_agent(store) as process:
        wait_until(lambda: list_peers(process) == {HOSTS[1]: "r1"})


@pytest.mark.parametrize("name", ODD_ROWS)
def test_odd_row_does_not_stop_the_roster_of_agents(name, caplog):
    row = ODD_ROWS[name].replace(b'"booking"', f'"{SERVICE}"'.encode())
    with run_store() as store:
        store.put("servers", "i-odd", row)
        check_roster(store)
    check_log(caplog)


@pytest.mark.parametrize("name", ODD_KEYS)
def test_row_with_an_odd_key_does_not_stop_the_roster_of_agents(name, caplog):
    with run_store() as store:
        store.put("servers", ODD_KEYS[name], encode_row("127.0.0.4"))
        check_roster(store)
    check_log(caplog)


def test_row_with_the_address_of_the_agent_names_no_other_agent(caplog):
    with run_store() as store:
        store.put("servers", "i-odd", encode_row("127.0.0.1", zone="z2"))
        check_roster(store)
    check_log(caplog)


def test_second_row_with_the_address_of_a_replica_does_not_change_the_region_for_good(caplog):
    with run_store() as store, run_agent(store) as process:
        store.put("servers", "i-1", encode_row(HOSTS[0]))
        wait_until(lambda: list_peers(process) == {HOSTS[0]: "r1"})
        store.put("servers", "i-2", encode_row(HOSTS[0], zone="z2"))
        store.put("servers", "i-3", encode_row(HOSTS[1]))
        wait_until(lambda: HOSTS[1] in list_peers(process))
        store.remove("servers", "i-2")
        wait_until(lambda: list_peers(process) == dict.fromkeys(HOSTS, "r1"))
        store.put("servers", "i-1", encode_row(HOSTS[0], zone="z2"))
        wait_until(lambda: list_peers(process)[HOSTS[0]] == "r2")
    check_log(caplog)


def test_odd_report_of_the_engine_does_not_stop_the_agent(caplog):
    sound = json.dumps({"models": [{"name": "m", "version": 1, "adapters": []}]}).encode()
    bodies = [*ODD_REPORTS.values(), sound]

    def script(request, connection) -> None:
        body = bodies[0] if len(bodies) == 1 else bodies.pop(0)
        respond_with_body(body=body)(request, connection)

    engine = ReplicaStandIn("i-0", SERVICE, script)
    with run_store() as store, run_agent(store, engine.address) as process:
        wait_until(lambda: process._stager._is_present)
        assert bodies == [sound]
    engine.close()
    check_log(caplog)
