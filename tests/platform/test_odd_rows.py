"""Rows of another writer in the list of replicas: they name no replica, and the others hold."""

from __future__ import annotations

import http.client
import json
import logging
import time
from contextlib import closing, suppress

import pytest

from hibiscustray.composition import build_hosted_entry
from hibiscustray.exceptions import RecordInvalid
from hibiscustray.platform.records import decode_replica
from hibiscustray.platform.standins import (
    KEY,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    make_configuration,
    read_readiness,
    reject,
    respond_with_body,
)
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.telemetry import Metrics
from tests.platform.site import HostedSite, build_entry, run_hosted_site
from tests.waiting import wait_until

SOUND = {
    "service": "booking",
    "addr": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}
TEXTS = ["service", "addr", "zone", "state"]
NUMBERS = ["slots", "warmupLeftMs", "sequence", "born"]
ODD_VALUES = [None, True, [], {}, [1], {"a": 1}]
ODD_FIELDS = [
    *((name, value) for name in SOUND for value in ODD_VALUES),
    *((name, value) for name in TEXTS for value in (0, 1.5)),
    *((name, value) for name in NUMBERS for value in ("", "1", "v1")),
    *((name, value) for name in ["slots", "sequence", "born"] for value in (-1, 0.5, 10**30)),
    ("version", 0.5),
    ("warmupLeftMs", 1e300),
    ("warmupLeftMs", -1e300),
    *((name, value) for name in ["models", "layers"] for value in (0, "", True)),
    ("models", [{}]),
    ("models", [{"name": 1}]),
    ("models", [{"name": "m", "version": "1"}]),
    ("models", {}),
    ("models", None),
    ("layers", []),
    ("layers", {"rangeStart": 0}),
    ("layers", {"rangeStart": 0, "target": "16"}),
    ("layers", {"rangeStart": 0, "target": 16, "version": None}),
]
"""Values that no row of a replica has; the pages list these fields."""


def encode(**changes) -> bytes:
    return json.dumps(SOUND | changes).encode()


def nest(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


BROKEN_OFF = b'{"labels":' + b"[" * 4000
ODD_ROWS = {
    "not JSON": b"{",
    "not UTF-8": b'{"service":"\xff"}',
    "empty": b"",
    "breaks off within lists": b'{"service":' + b"[" * 4000,
    "breaks off within lists of an unknown field": BROKEN_OFF,
    "nested in a field": encode().replace(b'"z1"', nest(20_000)),
    "nested in an unknown field": encode(x=0).replace(b'"x": 0', b'"x":' + nest(20_000)),
    "slots of 400 digits": encode(slots=0).replace(b'"slots": 0', b'"slots":' + b"9" * 400),
    "slots of 20 digits": encode(slots=10**20),
    "slots of 18 digits": encode(slots=10**18),
    "negative slots": encode(slots=-1),
    "infinite warm-up": encode(x=0).replace(b'"x": 0', b'"warmupLeftMs":1e999'),
    "long warm-up": encode(warmupLeftMs=1e300),
    "not a number": encode(warmupLeftMs=float("nan")),
    "born in 2 ** 70": encode(born=2**70),
    "born in a text": encode(born="1"),
    "version of 30 digits": encode(models=[{"name": "m", "version": 10**30}]),
    "negative layers": encode(layers={"rangeStart": -1, "target": 2**40}),
    "port out of range": encode(addr="127.0.0.1:65536"),
    "port of 400 digits": encode(addr="127.0.0.1:" + "9" * 400),
    "port of 5000 digits": encode(addr="127.0.0.1:" + "9" * 5000),
    "port 0": encode(addr="127.0.0.1:0"),
    "port in other digits": encode(addr="127.0.0.1:\u0661\u0662"),
    "no port": encode(addr="127.0.0.1"),
    "no IP number": encode(addr="a" * 300 + ":80"),
    "IPv6": encode(addr="::1:80"),
    "address of all machines": encode(addr="0.0.0.0:80"),
    "multicast": encode(addr="224.0.0.1:80"),
    "broadcast": encode(addr="255.255.255.255:80"),
    "line break in the address": encode(addr="127.0.0.1\r\nX-A: b:80"),
    "unnamed state": encode(state="gone"),
    "unnamed service": encode(service="elsewhere"),
}
ODD_KEYS = {
    "other letters": "i-\u2603",
    "line break": "i-9\r\nX-A: b",
    "empty": "",
}


READY_TIMEOUT_S = 40.0
RECOVER_S = 12.0
"""Time after its start from which an entry must serve requests again."""


def check_requests(site: HostedSite) -> None:
    """Check that requests are served by two replicas that are added."""
    first = site.add_replica("booking", respond_with_body(body=b"seat"))
    second = site.add_replica("booking", respond_with_body(body=b"seat"))
    for path in ["/book/1", "/book/look/1"] * 6:
        assert site.call("POST", path, b"x")[0].status == 200
    assert first.received and second.received


def check_site(site: HostedSite) -> None:
    """Check that the list is followed, that requests are served and that a new entry gets ready."""
    check_requests(site)
    first, second = site.replicas
    site.update_replica(first, state="draining")
    wait_until(lambda: len(site.process._directory.list_ready("booking")) == 1)
    _, restarted = build_entry(site.store, threads=4)
    restarted.start()
    try:
        wait_until(restarted.is_ready)
        assert [r.id for r in restarted._directory.list_ready("booking")] == [second.id]
    finally:
        restarted.stop()


def check_log(caplog) -> None:
    """Check that nothing was logged as an unexpected failure."""
    assert not [r.getMessage() for r in caplog.records if r.levelno >= logging.ERROR]


@pytest.mark.parametrize("name", ODD_ROWS)
def test_odd_row_stops_neither_the_list_nor_requests(name, caplog):
    with run_hosted_site() as site:
        site.store.put("servers", "i-odd", ODD_ROWS[name])
        check_site(site)
    check_log(caplog)


@pytest.mark.parametrize("name", ODD_KEYS)
def test_row_with_an_odd_key_stops_neither_the_list_nor_requests(name, caplog):
    with run_hosted_site() as site:
        site.store.put("servers", ODD_KEYS[name], encode(addr="127.0.0.1:9"))
        check_site(site)
    check_log(caplog)


@pytest.mark.parametrize("name", [name for name in ODD_ROWS if name != "unnamed service"])
def test_odd_row_names_no_replica(name):
    with pytest.raises(RecordInvalid):
        decode_replica("i-odd", ODD_ROWS[name])


@pytest.mark.parametrize("key", ODD_KEYS)
def test_odd_key_names_no_replica(key):
    with pytest.raises(RecordInvalid):
        decode_replica(ODD_KEYS[key], encode())


@pytest.mark.parametrize("name", SOUND)
def test_row_without_a_field_names_no_replica(name):
    row = {field: value for field, value in SOUND.items() if field != name}
    with pytest.raises(RecordInvalid):
        decode_replica("i-odd", json.dumps(row).encode())


@pytest.mark.parametrize(("name", "value"), ODD_FIELDS)
def test_row_with_an_odd_value_names_no_replica(name, value):
    with pytest.raises(RecordInvalid):
        decode_replica("i-odd", encode(**{name: value}))


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 1},
        {"warmupLeftMs": 1200.5},
        {"slots": 0, "sequence": 0},
        {"models": [], "layers": None},
        {"models": [{"name": "m", "version": 1, "adapters": []}]},
        {"stage": "colocated", "later": {"a": [1]}},
    ],
)
def test_row_in_a_form_of_the_platform_names_a_replica(changes):
    assert decode_replica("i-1", encode(**changes)).address == "127.0.0.1:9"


# Guards against requests at a draining replica whose row another writer has replaced (DRAIN).
@pytest.mark.parametrize("missing", ["born", "sequence", "version", "warmupLeftMs", "slots"])
@pytest.mark.parametrize("is_announced", [True, False])
def test_row_with_a_field_missing_brings_no_requests_to_a_replica_that_leaves(
    missing, is_announced
):
    with run_hosted_site() as site:
        left = site.add_replica("booking", respond_with_body())
        site.add_replica("booking", respond_with_body())
        if is_announced:
            site.update_replica(left, state="draining", sequence=2)
        else:
            site.store.unlist(left)
            wait_until(lambda: site.process._directory.get(left.id) is None)
        row = {n: v for n, v in left.make_row(sequence=3).items() if n != missing}
        site.store.put("servers", left.id, row)
        time.sleep(0.2)
        for _ in range(20):
            assert site.call("POST", "/book/1", b"x")[0].status == 200
        assert not left.received


# Guards against a live replica that loses its requests to a row of another writer.
@pytest.mark.parametrize("name", ["not JSON", "no port", "unnamed state"])
def test_odd_row_under_the_id_of_a_replica_stops_no_requests(name):
    with run_hosted_site() as site:
        replica = site.add_replica("booking", respond_with_body())
        site.store.put("servers", replica.id, ODD_ROWS[name])
        time.sleep(0.2)
        for _ in range(5):
            assert site.call("POST", "/book/1", b"x")[0].status == 200
        site.store.discard_history()
        time.sleep(0.2)
        assert site.call("POST", "/book/1", b"x")[0].status == 200
        site.store.unlist(replica)
        wait_until(lambda: site.process._directory.get(replica.id) is None)


def test_sound_row_names_a_replica():
    assert decode_replica("i-1", encode()).address == "127.0.0.1:9"


@pytest.mark.parametrize("port", ["callers", "readiness"])
@pytest.mark.parametrize("state", ["ready", "draining"])
def test_row_with_the_address_of_the_entry_gets_no_requests(port, state, caplog):
    with run_hosted_site() as site:
        address = getattr(site.settings.entry, port)
        site.store.put("servers", "i-odd", encode(addr=address, state=state))
        check_requests(site)
        assert site.process._directory.get("i-odd") is None
        site.process.stop()
        restarted = build_hosted_entry(site.settings, Metrics("edge-1"))
        restarted.start()
        try:
            wait_until(restarted.is_ready)
            assert [r.id for r in restarted._directory.list_all("booking")] == ["i-0", "i-1"]
            assert site.call("POST", "/book/1", b"x")[0].status == 200
        finally:
            restarted.stop()
    check_log(caplog)


def test_row_that_takes_the_address_of_the_entry_replaces_the_replica():
    with run_hosted_site() as site:
        replica = site.add_replica("booking", respond_with_body(body=b"seat"))
        site.store.put("servers", replica.id, encode(addr=site.settings.entry.callers))
        wait_until(lambda: site.process._directory.get(replica.id) is None)
        assert site.call("POST", "/book/1", b"x")[0].status == 503


@pytest.mark.parametrize("key", ["i-", "i-00", "zz"])
@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("service", ["booking", "guide"])
def test_second_row_with_the_address_of_a_replica_stops_no_requests(key, state, service, caplog):
    def respond_if_expected(request, connection) -> None:
        is_expected = request.headers["x-hibiscustray-expect-instance"] == replica.id
        script = respond_with_body(body=b"seat") if is_expected else reject(421)
        script(request, connection)

    with run_hosted_site() as site:
        replica = site.add_replica("booking", respond_if_expected)
        row = encode(addr=replica.address, service=service, state=state)
        site.store.put("servers", key, row)
        wait_until(lambda: site.process._directory.get(key) is not None)
        for path in ["/book/1", "/book/look/1"] * 6:
            assert site.call("POST", path, b"x")[0].status == 200
        site.store.remove("servers", key)
        wait_until(lambda: site.process._directory.get(key) is None)
        assert site.process._directory.list_ready("booking")[0].id == replica.id
        assert site.call("POST", "/book/1", b"x")[0].status == 200
    check_log(caplog)


def test_entry_that_is_killed_beside_a_row_that_breaks_off_serves_again(tmp_path):
    def send(number: int) -> int:
        connection = http.client.HTTPConnection(entry.callers_address, timeout=5.0)
        with closing(connection):
            return call_entry(connection, "POST", "/book/1", b"x", f"a{number}", KEY, 2.5).status

    store = StoreStandIn()
    store.put("op", "config", make_configuration(3))
    replicas = [ReplicaStandIn(f"i-{n}", "booking", respond_with_body()) for n in range(3)]
    for replica in replicas:
        store.put("servers", replica.id, replica.make_row())
    entry = EntryProgram(0, store.address, tmp_path)
    try:
        entry.start()
        wait_until(lambda: is_ready(entry), READY_TIMEOUT_S)
        store.put("servers", "i-of-another-writer", BROKEN_OFF)
        assert [send(number) for number in range(10)] == [200] * 10
        store.put("op", "config", make_configuration(7))
        entry.kill()
        entry.start()
        wait_until(lambda: is_ready(entry), RECOVER_S)
        assert [send(number) for number in range(10, 40)] == [200] * 30
        for replica in replicas[1:]:
            store.remove("servers", replica.id)
        time.sleep(0.5)
        received = len(replicas[1].received) + len(replicas[2].received)
        assert [send(number) for number in range(40, 50)] == [200] * 10
        assert len(replicas[1].received) + len(replicas[2].received) == received
    finally:
        entry.kill()
        store.close()
        for replica in replicas:
            replica.close()


def is_ready(entry: EntryProgram) -> bool:
    with suppress(OSError, http.client.HTTPException):
        return read_readiness(entry.readiness_address) == 200
    return False
