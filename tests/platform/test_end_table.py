"""Each way in which a replica's response may end, and what callers are shown of it."""

from __future__ import annotations

import itertools
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import replace

import pytest

from hibiscustray.platform.standins import (
    ReceivedRequest,
    ReplicaStandIn,
    make_configuration,
    make_engine,
)
from tests.platform.ends import (
    MAX_LATE_S,
    RESET_ON_CLOSE,
    Cell,
    Form,
    SecondCell,
    Sent,
    Stop,
    list_faults,
    list_places,
)
from tests.platform.quiet import BOOKING, KINDS, STREAM
from tests.platform.raw_caller import End, RawResponse, open_raw, read_raw
from tests.platform.site import HostedSite, run_hosted_site
from tests.waiting import wait_until

pytestmark = pytest.mark.timed

CONCURRENT = 8
"""Callers at a time. They share one interpreter with the entry, the replicas and the store; more of
them would wait for it rather than for the entry."""
SECOND_CONCURRENT = 4
"""The same where two attempts have to end within the short deadline."""
VERSIONS = itertools.count(2)
LEAVE_AFTER_S = 0.1
"""Time after which a caller leaves once a replica has its request."""
MORE_S = 0.05
GOING_ON = (Stop.SECOND, Stop.GARBAGE, Stop.PAUSE)
"""Stops after which a replica goes on sending."""
NUMBERS = itertools.count(1)
FIRST_FORMS = {"resumable": [None, Form.LENGTH, Form.CHUNKS, Form.CONNECTION], "idempotent": [None]}


@pytest.fixture(scope="module")
def site():
    with run_hosted_site(threads=2 * CONCURRENT) as running:
        yield running


def list_cells(kind: str, form: Form, status: int) -> list[Cell]:
    """Return the cells of a kind of request, a form and a status of the response."""
    sample = Cell(kind, form, status, "whole", Stop.CLOSE, "1.1", 1)
    return [
        Cell(kind, form, status, place, stop, version, replicas, next(NUMBERS))
        for place, sent in list_places(sample, "").items()
        for stop in Stop
        for version in ("1.1", "1.0")
        for replicas in (1, 2)
        if _is_in_table(Cell(kind, form, status, place, stop, version, replicas), sent)
    ]


def _is_in_table(cell: Cell, sent: Sent) -> bool:
    """Return whether a cell is possible and differs from others by more than its name."""
    if cell.replicas > 1 and not cell.may_repeat and cell.stop is not Stop.CLOSE:
        return False
    if cell.form is Form.OLD and not sent.has_head and cell.stop is not Stop.CLOSE:
        return False
    if cell.status == 503 and cell.stop is not Stop.CLOSE:
        return False
    if cell.version == "1.0" and not (cell.status == 200 and sent.has_head):
        return False
    match cell.stop:
        case Stop.SECOND | Stop.GARBAGE:
            return sent.has_mark and cell.place == "whole"
        case Stop.PAUSE:
            return cell.may_repeat and cell.place != "whole" and not sent.has_mark
        case Stop.BREAK:
            return cell.status == 200 and cell.replicas == 1 and cell.place != "whole"
        case Stop.SHUT:
            return cell.status == 200 and sent.has_head
    return True


@contextmanager
def run_cells(site: HostedSite, cells: list[Cell]) -> Iterator[None]:
    """Give each cell a route and a service with replicas of its own."""
    by_path = {cell.path: cell for cell in cells}

    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        by_path[request.path].respond(request, connection)

    hosts = {name: ReplicaStandIn(name, name, respond) for name in (STREAM, BOOKING)}
    usual = {route["name"]: route for route in make_configuration()["routes"]}
    names = {"resumable": "draft", "plain_stream": "draft", "idempotent": "look"}
    names["non_idempotent"] = "book"
    routes, services, rows = [], [], {}
    for cell in cells:
        changes = {"name": f"route-{cell.number}", "prefix": f"/cell-{cell.number}/"}
        changes |= {"service": cell.service, "timeoutMs": 8000}
        if cell.is_stream:
            changes["streamResume"] = cell.kind == "resumable"
        routes.append(usual[names[cell.kind]] | changes)
        engine = {"engine": make_engine()} if cell.is_stream else {}
        services.append({"name": cell.service, "maxConnections": 64} | engine)
        host = hosts[KINDS[cell.kind][2]]
        for number in range(cell.replicas):
            rows[f"i-{cell.number}-{number}"] = host.make_row(service=cell.service)
    for replica_id, row in rows.items():
        site.store.put("servers", replica_id, row)
    site.configure(next(VERSIONS), routes=routes, services=services)
    wait_until(lambda: all(site.process._directory.get(replica_id) for replica_id in rows))
    try:
        yield
    finally:
        for replica_id in rows:
            site.store.remove("servers", replica_id)
        for host in hosts.values():
            host.close()


def call(site: HostedSite, cell: Cell) -> tuple[RawResponse, float]:
    """Send the request of a cell; return its response and the seconds until it ended."""
    started_at = time.monotonic()
    deadline_s = cell.find_deadline_s()
    with open_raw(site, cell.kind, cell.version, cell.path, **cell.headers) as connection:
        seen = read_raw(connection, deadline_s + 2 * MAX_LATE_S)
        took_s = time.monotonic() - started_at
        if seen.end is End.WHOLE and cell.stop in GOING_ON:
            seen = replace(seen, body=seen.body + _read_more(connection))
        return seen, took_s


def _read_more(connection: socket.socket) -> bytes:
    """Return what follows a whole response within a moment."""
    connection.settimeout(MORE_S)
    try:
        return connection.recv(65536)
    except OSError:
        return b""


def leave(site: HostedSite, cell: Cell, is_reset: bool) -> str:
    """Send the request of a cell and leave; return what is wrong after that, or an empty text."""
    headers = cell.headers | {"X_Hibiscustray_Deadline_Ms": "4000"}
    with open_raw(site, cell.kind, cell.version, cell.path, **headers) as connection:
        wait_until(lambda: cell.received)
        time.sleep(LEAVE_AFTER_S)
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    left_at = time.monotonic()
    wait_until(lambda: cell.left_at)
    took_s = cell.left_at - left_at
    if took_s > MAX_LATE_S:
        return f"{cell.name}: left after {took_s:.2f} s"
    return "" if len(cell.received) == 1 else f"{cell.name}: sent {len(cell.received)} times"


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("form", [Form.LENGTH, Form.CHUNKS, Form.CONNECTION])
@pytest.mark.parametrize("kind", KINDS)
def test_replica_whose_response_stops_is_left_when_the_caller_leaves(site, kind, form, is_reset):
    sample = Cell(kind, form, 200, "whole", Stop.SILENCE, "1.1", 1)
    cells = [
        Cell(kind, form, 200, place, Stop.SILENCE, version, replicas, next(NUMBERS))
        for place, sent in list_places(sample, "").items()
        for version, replicas in (("1.1", 1), ("1.0", 2))
        if not sent.has_mark
    ]
    with run_cells(site, cells), ThreadPoolExecutor(CONCURRENT) as pool:
        faults = list(filter(None, pool.map(lambda cell: leave(site, cell, is_reset), cells)))
    assert not faults, "\n".join([f"{len(faults)} faults in {len(cells)} cells", *faults])


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("kind", KINDS)
def test_promise_that_a_replica_does_not_make_is_not_passed_on(site, kind, status):
    cells = [
        Cell(kind, form, status, "whole", Stop.CLOSE, "1.1", replicas, next(NUMBERS))
        for form in Form
        for replicas in (1, 2)
    ]
    _check(site, cells)


@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize("form", Form)
@pytest.mark.parametrize("kind", KINDS)
def test_response_that_ends_early_does_not_look_whole_and_a_whole_one_does(
    site, kind, form, status
):
    _check(site, list_cells(kind, form, status))


@pytest.mark.parametrize("form", Form)
@pytest.mark.parametrize(
    ("kind", "first"), [(kind, first) for kind, forms in FIRST_FORMS.items() for first in forms]
)
def test_second_response_that_ends_early_does_not_look_whole_and_a_whole_one_does(
    site, kind, first, form
):
    skipped = 2 if first else 0
    sample = Cell(kind, form, 200, "whole", Stop.CLOSE, "1.1", 2, skipped=skipped)
    cells = [
        SecondCell(
            kind, form, 200, place, stop, version, 2, next(NUMBERS), skipped=skipped, first=first
        )
        for place, sent in list_places(sample, "").items()
        for stop in (Stop.CLOSE, Stop.RESET, Stop.SILENCE)
        for version in (("1.1", "1.0") if sent.has_head else ("1.1",))
    ]
    _check(site, cells, SECOND_CONCURRENT)


def _check(site: HostedSite, cells: list[Cell], concurrent: int = CONCURRENT) -> None:
    with run_cells(site, cells), ThreadPoolExecutor(concurrent) as pool:
        results = list(pool.map(lambda cell: call(site, cell), cells))
    faults = [
        f"{cell.name}: {fault}"
        for cell, (seen, took_s) in zip(cells, results, strict=True)
        for fault in list_faults(cell, seen, took_s)
    ]
    assert not faults, "\n".join([f"{len(faults)} faults in {len(cells)} cells", *faults])
