"""Tests of a hosted entry over HTTP, with faults of replicas, callers and the store."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Iterator

import pytest

from hibiscustray.catalog import SEND_LEAD_S
from hibiscustray.gateway import digest_part
from hibiscustray.platform.standins import (
    ATTEMPT_ID,
    HOST,
    KEY,
    SERVER_SEAL,
    StoreStandIn,
    close_without_response,
    make_configuration,
    reject,
    respond_with_body,
    respond_with_bytes,
    stream_tokens,
)
from hibiscustray.platform.wire import ENTRY_TABLE, TEAM
from tests.platform.site import (
    MODEL_HEADERS,
    HostedSite,
    run_hosted_site,
    run_in_background,
)
from tests.waiting import wait_until

EVENTS = b"".join(f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 6))
SWAP_BOUND_S = SEND_LEAD_S + 1.0


@pytest.fixture
def site():
    with run_hosted_site() as running:
        yield running


def count_received_requests(site: HostedSite) -> int:
    return sum(len(replica.received) for replica in site.replicas)


# Readiness, routes and teams


def test_an_entry_without_a_configuration_is_not_ready_and_returns_503():
    with run_hosted_site(is_configured=False) as site:
        assert site.read_ready() == 503
        response, _ = site.call("POST", "/book/1", b"x")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0


def test_entry_is_not_out_of_service_while_only_the_table_of_entries_cannot_be_read(monkeypatch):
    serve = StoreStandIn.handle_get

    def fail_for_entries(store, path):
        return (503, {}) if ENTRY_TABLE in path else serve(store, path)

    monkeypatch.setattr(StoreStandIn, "handle_get", fail_for_entries)
    with run_hosted_site() as site:
        site.add_replica("booking", respond_with_body(body=b"seat"))
        assert site.call("GET", "/book/look/7")[0].status == 200


def test_the_longest_matching_prefix_of_the_host_selects_the_route(site):
    replica = site.add_replica("booking", respond_with_body(body=b"seat"))
    response, body = site.call("GET", "/book/look/7?seat=a%20b")
    assert (response.status, body) == (200, b"seat")
    assert replica.received[0].path == "/book/look/7?seat=a%20b"
    assert site.call("GET", "/other/1")[0].status == 404
    assert site.call("GET", "/book/look/7", Host="else.example")[0].status == 404


def test_forwarded_requests_carry_id_deadline_team_and_replica_but_not_the_key(site):
    replica = site.add_replica("booking", respond_with_body())
    forged = {"X_Hibiscustray_Tenant": "forged", "X_Hibiscustray_Expect_Instance": "forged"}
    response, _ = site.call("POST", "/book/1", b"abc", X_Note="kept", **forged)
    sent = replica.received[0]
    assert sent.body == b"abc"
    assert sent.headers["x-hibiscustray-tenant"] == "hosts"
    assert sent.headers["x-hibiscustray-expect-instance"] == replica.id
    assert 0 < int(sent.headers["x-hibiscustray-deadline-ms"]) <= 2500
    assert sent.headers["x-note"] == "kept"
    assert "authorization" not in sent.headers
    assert response.headers[SERVER_SEAL] == "seal-1"
    assert response.headers[ATTEMPT_ID] == sent.headers[ATTEMPT_ID.lower()]


def test_keys_are_checked_against_the_active_configuration(site):
    site.add_replica("booking", respond_with_body())
    assert site.call("POST", "/book/1", b"x", Authorization="Bearer none")[0].status == 401
    site.configure(5, tenants=[{"name": "crews", "keys": ["new"]}])
    assert site.call("POST", "/book/1", b"x", Authorization="Bearer new")[0].status == 200
    assert site.call("POST", "/book/1", b"x", Authorization=f"Bearer {KEY}")[0].status == 401


# Guards against requests that run without a valid key, as a configuration with no team or no key
# was taken for one that asks for no keys.
@pytest.mark.parametrize(
    "tenants",
    [[], [{"name": "hosts", "keys": []}], [{"name": "hosts"}], [{"name": "a", "keys": [""]}]],
)
def test_no_request_is_run_once_the_only_team_has_no_key_left(site, tenants):
    replica = site.add_replica("booking", respond_with_body())
    site.configure(5, tenants=tenants)
    for headers in ({}, {"Authorization": "Bearer none"}, {"Authorization": ""}):
        assert site.call("POST", "/book/1", b"x", **headers)[0].status == 401
    assert not replica.received


# Guards against refusals of all requests where the operator asks for no keys.
def test_requests_need_no_key_under_a_configuration_without_teams(site):
    replica = site.add_replica("booking", respond_with_body())
    configuration = make_configuration(5)
    del configuration["tenants"]
    site.store.put("op", "config", configuration)
    wait_until(lambda: site.process._catalogs.current.revision == 5)
    for headers in ({"Authorization": ""}, {"Authorization": "Bearer any"}):
        assert site.call("POST", "/book/1", b"x", **headers)[0].status == 200
    assert [TEAM.lower() in request.headers for request in replica.received] == [False, False]


# Guards against the loss of the team's header if the team's name is empty.
def test_team_with_an_empty_name_is_named_to_the_replica(site):
    replica = site.add_replica("booking", respond_with_body())
    site.configure(5, tenants=[{"name": "", "keys": ["k"]}])
    assert site.call("POST", "/book/1", b"x", Authorization="Bearer k")[0].status == 200
    assert TEAM.lower() in replica.received[0].headers


def test_a_request_of_an_unknown_route_kind_is_sent_once_and_not_repeated(site):
    site.configure(
        4,
        routes=[
            {"name": "job", "host": HOST, "prefix": "/job/", "kind": "keyed"}
            | {"service": "booking", "timeoutMs": 3000, "attempts": 2}
        ],
    )
    for _ in range(2):
        site.add_replica("booking", close_without_response)
    assert site.call("POST", "/job/1", b"x")[0].status == 502
    assert count_received_requests(site) == 1


def test_a_configuration_with_a_lower_version_is_ignored(site):
    site.configure(9)
    site.store.put("op", "config", {"version": 4, "routes": [], "services": []})
    time.sleep(0.3)
    assert site.process._catalogs.current.revision == 9


# At-most-once execution and rejected requests


def test_a_non_idempotent_request_is_not_repeated_after_a_lost_response(site):
    for _ in range(2):
        site.add_replica("booking", close_without_response)
    response, _ = site.call("POST", "/book/1", b"x")
    assert response.status == 502
    assert count_received_requests(site) == 1


def test_an_idempotent_request_is_repeated_at_another_replica_after_a_lost_response(site):
    lost = threading.Event()

    def drop_first_response(request, connection):
        if not lost.is_set():
            lost.set()
            return
        respond_with_body(body=b"seat")(request, connection)

    for _ in range(2):
        site.add_replica("booking", drop_first_response)
    response, body = site.call("GET", "/book/look/1")
    assert (response.status, body) == (200, b"seat")
    assert count_received_requests(site) == 2


@pytest.mark.parametrize("begins_before", [False, True])
def test_retries_stay_within_a_budget_that_was_changed_while_the_entry_ran(site, begins_before):
    for _ in range(2):
        site.add_replica("booking", close_without_response)
    if begins_before:
        assert site.call("GET", "/book/look/1")[0].status == 502
        assert count_received_requests(site) == 2
    bounds = dataclasses.replace(site.settings.bounds, retry_share=0.0, retry_slack=0.0)
    site.process.reload(dataclasses.replace(site.settings, bounds=bounds))
    before = count_received_requests(site)
    site.call("GET", "/book/look/2")
    assert count_received_requests(site) <= before + 1


def test_a_request_rejected_by_all_replicas_is_reported_as_not_run(site):
    site.add_replica("booking", reject())
    response, _ = site.call("POST", "/book/1", b"x")
    assert response.status == 503
    assert SERVER_SEAL not in response.headers
    assert float(response.headers["Retry-After"]) > 0


def test_a_non_idempotent_request_rejected_by_one_replica_is_sent_to_another(site):
    site.add_replica("booking", reject())
    site.add_replica("booking", respond_with_body(body=b"seat"))
    assert {site.call("POST", "/book/1", b"x")[1] for _ in range(4)} == {b"seat"}


def test_a_misdirected_request_without_another_replica_returns_503(site):
    site.add_replica("booking", respond_with_bytes(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"))
    assert site.call("POST", "/book/1", b"x")[0].status == 503


def test_an_error_response_of_a_replica_is_forwarded(site):
    site.add_replica("booking", respond_with_body(status=500, body=b"broken"))
    response, body = site.call("POST", "/book/1", b"x")
    assert (response.status, body, response.headers[SERVER_SEAL]) == (500, b"broken", "seal-1")


def test_without_replicas_a_request_is_refused_immediately(site):
    started = time.monotonic()
    assert site.call("POST", "/book/1", b"x")[0].status == 503
    assert time.monotonic() - started < 0.5


def test_a_non_idempotent_request_skips_a_replica_that_refuses_connections(site):
    dead = site.add_replica("booking", respond_with_body())
    dead.close()
    site.add_replica("booking", respond_with_body(body=b"seat"))
    for _ in range(4):
        assert site.call("POST", "/book/1", b"x")[1] == b"seat"


# Invalid responses


@pytest.mark.parametrize(
    "data",
    [
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Hibiscustray-Server-Seal: s\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Hibiscustray-Server-Seal: s\r\n"
        b"X-Hibiscustray-Attempt-Id: another\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Hibiscustray-Server-Seal: s\r\n\r\n"
        b"5\r\nab",
    ],
    ids=["not HTTP", "short body", "no seal", "id of another request", "truncated chunk"],
)
def test_incomplete_or_unauthenticated_responses_return_502(site, data):
    site.add_replica("booking", respond_with_bytes(data))
    response, _ = site.call("POST", "/book/1", b"x")
    assert response.status == 502
    assert SERVER_SEAL not in response.headers


@pytest.mark.parametrize("status", [408, 429, 503])
def test_promise_not_to_have_run_without_a_seal_is_not_forwarded(site, status):
    site.add_replica(
        "booking", respond_with_bytes(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
    )
    assert site.call("POST", "/book/1", b"x")[0].status == 502
    assert count_received_requests(site) == 1


UNREADABLE_NUMBERS = ["\xb2", "9" * 400, "9" * 5000]


@pytest.mark.parametrize("number", UNREADABLE_NUMBERS, ids=["superscript", "400", "5000"])
@pytest.mark.parametrize(
    "header", ["X_Hibiscustray_Replica_Load", "X_Hibiscustray_Weight_Versions"]
)
def test_unreadable_number_of_a_replica_does_not_lose_its_response(site, header, number):
    value = f"{number},1,1" if header.endswith("Load") else number
    respond = respond_with_body(body=b"seat", **{header: value})

    class Latin1Connection:
        def __init__(self, connection):
            self.sendall = lambda data: connection.sendall(data.decode().encode("latin-1"))

    site.add_replica("booking", lambda request, c: respond(request, Latin1Connection(c)))
    for _ in range(2):
        response, body = site.call("POST", "/book/1", b"x")
        assert (response.status, body) == (200, b"seat")


@pytest.mark.parametrize("number", UNREADABLE_NUMBERS, ids=["superscript", "400", "5000"])
def test_unreadable_number_of_a_caller_counts_as_none(site, number):
    site.add_replica("booking", respond_with_body(body=b"seat"))
    headers = {
        "X-Hibiscustray-Deadline-Ms": number,
        "X-Hibiscustray-Model": "m",
        "X-Hibiscustray-Token-Count": f"{number},1",
    }
    response, body = site.call("POST", "/book/1", b"x", **headers)
    assert (response.status, body) == (200, b"seat")


def test_bytes_after_a_response_are_discarded(site):
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

    def respond_with_extra_bytes(request, connection):
        respond_with_body(body=b"seat")(request, connection)
        connection.sendall(extra)

    site.add_replica("booking", respond_with_extra_bytes)
    connection = site.connect()
    for _ in range(3):
        response = site.send(connection, "POST", "/book/1", b"x")
        assert response.read() == b"seat"
    assert len(site.replicas[0].received) == 3


def test_a_response_without_a_length_ends_when_its_connection_closes(site):
    def respond_without_length(request, connection):
        identity = f"{ATTEMPT_ID}: {request.headers[ATTEMPT_ID.lower()]}\r\n{SERVER_SEAL}: s\r\n"
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + identity.encode() + b"\r\nseat")

    site.add_replica("booking", respond_without_length)
    response, body = site.call("POST", "/book/1", b"x")
    framing = [response.headers[name] for name in ("Content-Length", "Transfer-Encoding")]
    assert (response.status, body, framing) == (200, b"seat", [None, None])
    assert response.headers["Connection"] == "close"


# Streams


def test_events_are_forwarded_as_they_arrive(site):
    site.add_replica("guide", stream_tokens(1, 5, pause_s=0.2))
    connection = site.connect()
    started = time.monotonic()
    response = site.send(connection, "POST", "/draft/1", b"p", **MODEL_HEADERS)
    first = response.read1(4096)
    assert first == EVENTS[: len(first)] != EVENTS
    assert time.monotonic() - started < 0.7
    assert first + response.read() == EVENTS


@pytest.mark.parametrize("cut_at", [1, 3])
def test_a_stream_truncated_within_an_event_is_resumed_at_another_replica(site, cut_at):
    site.add_replica("guide", stream_tokens(1, 5, cut_at=cut_at))
    site.add_replica("guide", stream_tokens(1, 5), zone="z2")
    response, body = site.request_stream()
    assert body == EVENTS
    resumed = [r for r in site.replicas[1].received if "last-event-id" in r.headers]
    if site.replicas[0].received and cut_at > 1:
        assert [r.headers["last-event-id"] for r in resumed] == [str(cut_at - 1)]


def test_a_truncated_stream_that_cannot_be_resumed_ends_incomplete(site):
    site.configure(
        3,
        routes=[
            {"name": "draft", "host": HOST, "prefix": "/draft/", "kind": "streaming"}
            | {"service": "guide", "timeoutMs": 3000, "attempts": 2}
        ],
    )
    for _ in range(2):
        site.add_replica("guide", stream_tokens(1, 5, cut_at=3))
    connection = site.connect()
    response = site.send(connection, "POST", "/draft/1", b"p", **MODEL_HEADERS)
    with pytest.raises(Exception, match="IncompleteRead"):
        response.read()
    assert count_received_requests(site) == 1


def test_a_replica_that_sends_no_first_event_is_replaced_by_another(site):
    site.add_replica("guide", lambda request, connection: time.sleep(3))
    site.add_replica("guide", lambda request, connection: stream_tokens(1, 5)(request, connection))
    bodies = [site.request_stream()[1] for _ in range(2)]
    assert bodies == [EVENTS, EVENTS]


def test_the_replica_connection_closes_within_half_a_second_of_a_disconnect(site):
    disconnected_at: list[float] = []

    def stream_until_disconnect(request, connection):
        try:
            stream_tokens(1, 400, pause_s=0.02)(request, connection)
        except OSError:
            disconnected_at.append(time.monotonic())

    site.add_replica("guide", stream_until_disconnect)
    connection = site.connect()
    response = site.send(connection, "POST", "/draft/1", b"p", **MODEL_HEADERS)
    response.read1(64)
    closed_at = time.monotonic()
    response.close()
    connection.close()
    wait_until(lambda: bool(disconnected_at))
    assert disconnected_at[0] - closed_at < 0.5


def test_a_request_gets_504_when_its_deadline_passes(site):
    site.add_replica("booking", lambda request, connection: time.sleep(4))
    started = time.monotonic()
    response, _ = site.call("POST", "/book/1", b"x", X_Hibiscustray_Deadline_Ms="600")
    assert response.status == 504
    assert time.monotonic() - started < 1.0


def test_time_in_which_a_request_waits_for_a_thread_counts_for_its_deadline(site):
    busy_threads = site.settings.entry.threads
    site.add_replica("booking", lambda request, connection: time.sleep(4), slots=10 * busy_threads)
    took_s: list[float] = []

    def call(deadline_ms: str) -> None:
        started = time.monotonic()
        site.call("POST", "/book/1", b"x", X_Hibiscustray_Deadline_Ms=deadline_ms)
        took_s.append(time.monotonic() - started)

    busy = [run_in_background(lambda: call("1500")) for _ in range(busy_threads)]
    wait_until(lambda: site.process._forwarder.running == busy_threads)
    took_s.clear()
    waiting = run_in_background(lambda: call("1600"))
    for thread in (*busy, waiting):
        thread.join()
    assert max(took_s) < 2.0


def test_time_in_which_machine_was_suspended_counts_for_deadline(site, suspend_machine):
    replica = site.add_replica("booking", lambda request, connection: time.sleep(4))
    statuses: list[int] = []
    caller = run_in_background(
        lambda: statuses.append(site.call("POST", "/book/1", b"x")[0].status)
    )
    wait_until(lambda: bool(replica.received))
    suspend_machine(2.5)
    resumed_at = time.monotonic()
    caller.join()
    assert statuses == [504]
    assert time.monotonic() - resumed_at < 1.0


# Weights


@pytest.fixture
def swapping_site() -> Iterator[HostedSite]:
    """Run a site that uses outdated weights for a second after newer ones were set."""
    with run_hosted_site(version_ms=SWAP_BOUND_S * 1000) as running:
        yield running


def test_the_target_version_is_required_once_its_time_limit_has_passed(swapping_site):
    site = swapping_site
    replica = site.add_replica("guide", stream_tokens(1, 5))
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    assert site.request_stream()[0].status == 200
    time.sleep(1.2)
    response, _ = site.request_stream()
    assert response.status == 503
    site.update_replica(
        replica,
        models=[{"name": "m", "version": 2, "adapters": []}],
        layers={"rangeStart": 0, "target": 16, "version": 2},
    )
    assert site.request_stream()[0].status == 200
    assert replica.received[-1].headers["x-hibiscustray-expect-version"] == "2"


def test_a_replica_that_already_has_the_next_target_version_serves_once_it_is_set(site):
    def respond_only_to_version_3(request, connection):
        expected = request.headers.get("x-hibiscustray-expect-version", "3")
        script = stream_tokens(1, 5) if expected == "3" else reject(421)
        script(request, connection)

    site.add_replica(
        "guide",
        respond_only_to_version_3,
        models=[{"name": "m", "version": 3, "adapters": []}],
        layers={"rangeStart": 0, "target": 16, "version": 3},
    )
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    time.sleep(1.2)
    site.store.put("op", "version/m", {"model": "m", "version": 3})
    wait_until(lambda: site.process._forwarder._attempts._versions.find_newest("m") == 3)
    assert site.request_stream()[0].status == 200


def test_a_replica_that_returns_misdirected_gets_at_most_one_request(site):
    site.add_replica("booking", reject(421))
    site.add_replica("booking", respond_with_body(body=b"seat"))
    assert [site.call("POST", "/book/1", b"x")[1] for _ in range(6)] == [b"seat"] * 6
    time.sleep(0.8)
    assert [site.call("POST", "/book/1", b"x")[1] for _ in range(6)] == [b"seat"] * 6
    assert len(site.replicas[0].received) <= 1


def test_a_queued_request_moves_to_the_target_version_before_the_time_limit(swapping_site):
    site = swapping_site
    disconnected_at: list[float] = []

    def wait_for_disconnect(request, connection):
        connection.settimeout(4)
        connection.recv(1)
        disconnected_at.append(time.monotonic())

    site.add_replica("guide", wait_for_disconnect)
    bodies: list[bytes] = []
    target_set_at = time.monotonic()
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    wait_until(lambda: site.process._forwarder._attempts._versions.find_newest("m") == 2)
    # The deadline of the caller is later than the end of the time limit.
    time.sleep(0.6)
    caller = run_in_background(
        lambda: bodies.append(site.request_stream(X_Hibiscustray_Deadline_Ms="3000")[1])
    )
    wait_until(lambda: bool(site.replicas[0].received))
    site.add_replica(
        "guide",
        stream_tokens(1, 5),
        models=[{"name": "m", "version": 2, "adapters": []}],
        layers={"rangeStart": 0, "target": 16, "version": 2},
    )
    caller.join()
    assert bodies == [EVENTS]
    wait_until(lambda: bool(disconnected_at))
    assert disconnected_at[0] - target_set_at < SWAP_BOUND_S


def test_a_replica_without_all_layers_gets_no_requests(site):
    site.add_replica(
        "guide", stream_tokens(1, 5), layers={"rangeStart": 0, "target": 8, "version": 1}
    )
    assert site.request_stream()[0].status == 503
    assert count_received_requests(site) == 0


# Replica list


def test_a_draining_or_unlisted_replica_gets_no_new_requests(site):
    leaving = site.add_replica("booking", respond_with_body(body=b"old"))
    site.add_replica("booking", respond_with_body(body=b"new"))
    site.update_replica(leaving, state="draining")
    assert {site.call("POST", "/book/1", b"x")[1] for _ in range(6)} == {b"new"}
    site.store.remove("servers", leaving.id)
    time.sleep(0.2)
    assert {site.call("POST", "/book/1", b"x")[1] for _ in range(6)} == {b"new"}


@pytest.mark.parametrize(
    "row",
    [b"\xff\xfe", b"[]", {"service": "booking"}, {"service": 7, "addr": "127.0.0.1:1"}],
)
def test_an_invalid_row_is_ignored_and_does_not_affect_other_replicas(site, row):
    site.add_replica("booking", respond_with_body(body=b"seat"))
    site.store.put("servers", "i-odd", row)
    site.store.put("op", "strange", row)
    time.sleep(0.2)
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"
    assert site.process._directory.get("i-odd") is None


def test_unknown_fields_of_a_replica_row_are_ignored(site):
    site.add_replica("booking", respond_with_body(body=b"seat"), colour="green", nested={"a": [1]})
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"


def test_changes_are_read_after_the_store_discards_its_history(site):
    site.store.discard_history()
    site.add_replica("booking", respond_with_body(body=b"seat"))
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"


def test_requests_continue_during_a_store_outage_and_changes_follow_after_it(site):
    site.add_replica("booking", respond_with_body(body=b"seat"))
    site.store.error_status = 503
    time.sleep(1.2)
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"
    site.store.remove("servers", "i-0")
    site.store.error_status = 0
    wait_until(lambda: not site.process._directory.list_ready("booking"))
    assert site.call("POST", "/book/1", b"x")[0].status == 503


# Malformed requests


def send_raw(site: HostedSite, data: bytes) -> bytes:
    with site.open_socket() as connection:
        connection.sendall(data)
        return connection.recv(65536)


def encode_request(path: str = "/book/1", extra: str = "", body: str = "") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{extra}\r\n"
    return (head + body).encode()


def test_a_chunked_request_body_is_forwarded_completely(site):
    replica = site.add_replica("booking", respond_with_body())
    body = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    raw_response = send_raw(site, encode_request(extra="Transfer-Encoding: chunked\r\n", body=body))
    assert raw_response.startswith(b"HTTP/1.1 200")
    assert replica.received[0].body == b"abcde"
    assert replica.received[0].headers["content-length"] == "5"


@pytest.mark.parametrize(
    "extra",
    [
        "Content-Length: 3\r\nContent-Length: 5\r\n",
        "Content-Length: -3\r\n",
        "Content-Length: 3x\r\n",
        "Transfer-Encoding: gzip, chunked, odd\r\n",
    ],
)
def test_a_request_with_an_invalid_body_length_is_not_forwarded(site, extra):
    site.add_replica("booking", respond_with_body())
    raw_response = send_raw(site, encode_request(extra=extra, body="abc"))
    assert raw_response.split(b" ")[1] in (b"400", b"501")
    assert count_received_requests(site) == 0


def test_a_smuggled_request_is_not_forwarded(site):
    site.add_replica("booking", respond_with_body())
    smuggled = encode_request("/book/hidden").decode()
    extra = f"Content-Length: {len(smuggled) + 5}\r\nTransfer-Encoding: chunked\r\n"
    send_raw(site, encode_request(extra=extra, body="0\r\n\r\n" + smuggled))
    time.sleep(0.2)
    assert [r.path for r in site.replicas[0].received if "hidden" in r.path] == []


def test_headers_and_bodies_over_the_limits_are_refused(site):
    site.add_replica("booking", respond_with_body())
    raw_response = send_raw(site, encode_request(extra="X-Big: " + "x" * 70000 + "\r\n"))
    assert raw_response.split(b" ")[1] == b"431"
    response, _ = site.call("POST", "/book/1", b"x" * 70000)
    assert response.status == 413
    assert count_received_requests(site) == 0


def test_a_connection_closes_if_its_request_head_takes_too_long(site):
    with site.open_socket() as connection:
        connection.settimeout(10)
        for part in encode_request(extra="Content-Length: 1\r\n").decode().split("\r\n")[:2]:
            connection.sendall(part.encode() + b"\r\n")
        started = time.monotonic()
        assert connection.recv(100) == b""
        assert time.monotonic() - started < 9


# Drain


def test_idle_connections_are_closed_late_in_a_drain_and_requests_complete(site):
    site.add_replica("guide", stream_tokens(1, 20, pause_s=0.1))
    site.add_replica("booking", respond_with_body())
    kept = site.connect()
    assert site.send(kept, "POST", "/book/1", b"x").read() == b"{}"
    stop = run_in_background(lambda: site.process.drain(8.0))
    time.sleep(2.0)
    bodies: list[bytes] = []
    caller = run_in_background(lambda: bodies.append(site.request_stream()[1]))
    started = time.monotonic()
    assert kept.sock.recv(1) == b"", "open although a new request could not complete in time"
    assert time.monotonic() - started < 2.0
    caller.join()
    stop.join()
    assert bodies == [b"".join(f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 21))]


def test_a_drain_completes_running_and_new_requests(site):
    site.add_replica("guide", stream_tokens(1, 20, pause_s=0.05))
    kept = site.connect()
    site.add_replica("booking", respond_with_body())
    assert site.send(kept, "POST", "/book/1", b"x").read() == b"{}"
    bodies: list[bytes] = []
    caller = run_in_background(lambda: bodies.append(site.request_stream()[1]))
    wait_until(lambda: bool(site.replicas[0].received))
    drained: list[bool] = []
    stop = run_in_background(lambda: drained.append(site.process.drain(3.0)))
    wait_until(lambda: site.read_ready() == 503)
    response = site.send(kept, "POST", "/book/1", b"x")
    assert response.read() == b"{}"
    assert response.headers["Connection"] == "close"
    assert site.call("POST", "/book/1", b"x")[0].status == 200
    caller.join()
    stop.join()
    assert bodies == [b"".join(f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 21))]
    assert drained == [True]


def test_replica_whose_answers_are_newer_than_its_record_keeps_its_time_for_first_event(site):
    pauses_s = [0.0, 0.3]

    def respond_with_version_2(request, connection):
        time.sleep(pauses_s.pop(0))
        head = f"{ATTEMPT_ID}: {request.id}\r\n{SERVER_SEAL}: seal-1\r\n"
        head += f"X-Hibiscustray-Weight-Versions: 2\r\nContent-Length: {len(EVENTS)}\r\n\r\n"
        connection.sendall(f"HTTP/1.1 200 OK\r\n{head}".encode() + EVENTS)

    site.add_replica("guide", respond_with_version_2)
    assert site.request_stream()[1] == EVENTS
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    wait_until(lambda: site.process._forwarder._attempts._versions.find_newest("m") == 2)
    time.sleep(1.2)
    response, body = site.request_stream()
    assert (response.status, body) == (200, EVENTS)


def test_the_end_of_a_request_is_logged_with_the_weights_that_it_ran_on(site, caplog):
    caplog.set_level("INFO", logger="hibiscustray.gateway.reporter")
    site.add_replica("guide", stream_tokens(1, 5))
    assert site.request_stream()[0].status == 200
    wait_until(lambda: any(r.message == "request ended" for r in caplog.records))
    line = next(r for r in caplog.records if r.message == "request ended")
    assert (line.required_weights, line.listed_weights, line.answered_weights) == (0, 1, 1)


def test_attempt_is_logged_with_the_time_that_its_weights_had_left_when_it_was_sent(caplog):
    caplog.set_level("INFO")
    with run_hosted_site(version_ms=8000.0) as site:
        site.add_replica("guide", close_without_response)
        site.store.set_target_version(2)
        versions = site.process._forwarder._attempts._versions
        wait_until(lambda: versions.find_newest("m") == 2)
        site.request_stream()
        wait_until(lambda: any(r.message == "request ended" for r in caplog.records))
    lines = {r.message: r for r in caplog.records if r.message in ("attempt lost", "request ended")}
    assert 7.0 < lines["request ended"].weights_left_s <= 8.0
    assert 7.0 < lines["attempt lost"].weights_left_s <= 8.0
    assert 0.0 <= lines["attempt lost"].sent_s_ago < 1.0


def test_lost_attempt_is_logged_with_its_replica_and_the_parts_of_its_prompt(site, caplog):
    caplog.set_level("INFO")
    replica = site.add_replica("guide", close_without_response)
    site.request_stream(X_Hibiscustray_Prompt_Prefix="aa:40, BB:10,cc:60")
    line = next(record for record in caplog.records if record.message == "attempt lost")
    assert line.replica == replica.id
    assert not line.has_response
    assert line.prompt_parts == [digest_part("aa"), digest_part("bb")]


def test_lost_attempts_of_repeats_are_logged_with_one_digest_whatever_their_headers(site, caplog):
    caplog.set_level("INFO")
    site.add_replica("guide", close_without_response)
    site.add_replica("booking", close_without_response)

    def lose(path: str, body: bytes, **headers) -> str:
        caplog.clear()
        site.call("POST", path, body, **headers)
        return next(r for r in caplog.records if r.message == "attempt lost").digest

    first = lose("/book/1", b"x")
    assert lose("/book/1", b"x", X_Hibiscustray_Deadline_Ms="900", X_Other="1") == first
    assert len({first, lose("/book/2", b"x"), lose("/book/1", b""), lose("/draft/1", b"x")}) == 4
