"""The whole path through a hosted entry, with the faults that replicas and callers bring."""

from __future__ import annotations

import threading
import time

import pytest

from hibiscustray.platform.standins import (
    ATTEMPT,
    HOST,
    KEY,
    SEAL,
    answer_raw,
    answer_whole,
    lose_answer,
    refuse,
    stream,
)
from tests.platform.site import (
    MODEL_HEADERS,
    HostedSite,
    run_hosted_site,
    run_in_background,
)
from tests.waiting import wait_until

EVENTS = b"".join(f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 6))


@pytest.fixture
def site():
    with run_hosted_site() as running:
        yield running


def count_received(site: HostedSite) -> int:
    return sum(len(replica.received) for replica in site.replicas)


# Readiness, routes and teams


def test_an_entry_without_a_configuration_is_not_ready_and_refuses():
    with run_hosted_site(configured=False) as site:
        assert site.read_ready() == 503
        response, _ = site.call("POST", "/book/1", b"x")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0


def test_the_longest_prefix_of_the_host_decides(site):
    replica = site.add_replica("booking", answer_whole(body=b"seat"))
    response, body = site.call("GET", "/book/look/7?seat=a%20b")
    assert (response.status, body) == (200, b"seat")
    assert replica.received[0].path == "/book/look/7?seat=a%20b"
    assert site.call("GET", "/other/1")[0].status == 404
    assert site.call("GET", "/book/look/7", Host="else.example")[0].status == 404


def test_a_request_is_passed_on_with_id_time_team_and_replica_but_without_its_key(site):
    replica = site.add_replica("booking", answer_whole())
    forged = {"X_Hibiscustray_Tenant": "forged", "X_Hibiscustray_Expect_Instance": "forged"}
    response, _ = site.call("POST", "/book/1", b"abc", X_Note="kept", **forged)
    sent = replica.received[0]
    assert sent.body == b"abc"
    assert sent.headers["x-hibiscustray-tenant"] == "hosts"
    assert sent.headers["x-hibiscustray-expect-instance"] == replica.id
    assert 0 < int(sent.headers["x-hibiscustray-deadline-ms"]) <= 2500
    assert sent.headers["x-note"] == "kept"
    assert "authorization" not in sent.headers
    assert response.headers[SEAL] == "seal-1"
    assert response.headers[ATTEMPT] == sent.headers[ATTEMPT.lower()]


def test_an_unknown_key_is_refused_and_a_new_one_is_taken_on(site):
    site.add_replica("booking", answer_whole())
    assert site.call("POST", "/book/1", b"x", Authorization="Bearer none")[0].status == 401
    site.configure(5, tenants=[{"name": "crews", "keys": ["new"]}])
    assert site.call("POST", "/book/1", b"x", Authorization="Bearer new")[0].status == 200
    assert site.call("POST", "/book/1", b"x", Authorization=f"Bearer {KEY}")[0].status == 401


def test_a_route_of_an_unknown_kind_is_served_and_never_repeated(site):
    site.configure(
        4,
        routes=[
            {"name": "job", "host": HOST, "prefix": "/job/", "kind": "keyed"}
            | {"service": "booking", "timeoutMs": 3000, "attempts": 2}
        ],
    )
    for _ in range(2):
        site.add_replica("booking", lose_answer)
    assert site.call("POST", "/job/1", b"x")[0].status == 502
    assert count_received(site) == 1


def test_an_older_configuration_never_comes_back(site):
    site.configure(9)
    site.store.put("op", "config", {"version": 4, "routes": [], "services": []})
    time.sleep(0.3)
    assert site.process._catalogs.current.revision == 9


# At most once, and the truth of refusals


def test_a_booking_whose_answer_is_lost_is_not_sent_again(site):
    for _ in range(2):
        site.add_replica("booking", lose_answer)
    response, _ = site.call("POST", "/book/1", b"x")
    assert response.status == 502
    assert count_received(site) == 1


def test_a_lookup_whose_answer_is_lost_is_tried_at_another_replica(site):
    lost = threading.Event()

    def lose_first(request, connection):
        if not lost.is_set():
            lost.set()
            return
        answer_whole(body=b"seat")(request, connection)

    for _ in range(2):
        site.add_replica("booking", lose_first)
    response, body = site.call("GET", "/book/look/1")
    assert (response.status, body) == (200, b"seat")
    assert count_received(site) == 2


def test_a_refusal_by_all_replicas_is_passed_on_as_not_run(site):
    site.add_replica("booking", refuse())
    response, _ = site.call("POST", "/book/1", b"x")
    assert response.status == 503
    assert SEAL not in response.headers
    assert float(response.headers["Retry-After"]) > 0


def test_a_booking_refused_by_one_replica_is_taken_by_another(site):
    site.add_replica("booking", refuse())
    site.add_replica("booking", answer_whole(body=b"seat"))
    assert {site.call("POST", "/book/1", b"x")[1] for _ in range(4)} == {b"seat"}


def test_a_replica_that_is_another_one_gets_no_second_chance(site):
    site.add_replica("booking", answer_raw(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"))
    assert site.call("POST", "/book/1", b"x")[0].status == 503


def test_a_failure_of_the_replica_itself_is_passed_on(site):
    site.add_replica("booking", answer_whole(status=500, body=b"broken"))
    response, body = site.call("POST", "/book/1", b"x")
    assert (response.status, body, response.headers[SEAL]) == (500, b"broken", "seal-1")


def test_no_replica_means_a_refusal_at_once(site):
    started = time.monotonic()
    assert site.call("POST", "/book/1", b"x")[0].status == 503
    assert time.monotonic() - started < 0.5


def test_a_dead_address_is_skipped_for_a_booking_too(site):
    dead = site.add_replica("booking", answer_whole())
    dead.close()
    site.add_replica("booking", answer_whole(body=b"seat"))
    for _ in range(4):
        assert site.call("POST", "/book/1", b"x")[1] == b"seat"


# Answers that are not what they seem


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
    ids=["garbage", "short", "no proof", "another request's", "cut chunk"],
)
def test_an_answer_that_is_not_whole_and_own_never_looks_like_success(site, data):
    site.add_replica("booking", answer_raw(data))
    response, _ = site.call("POST", "/book/1", b"x")
    assert response.status == 502
    assert SEAL not in response.headers


def test_bytes_behind_an_answer_belong_to_no_request(site):
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

    def answer_twice(request, connection):
        answer_whole(body=b"seat")(request, connection)
        connection.sendall(extra)

    site.add_replica("booking", answer_twice)
    connection = site.connect()
    for _ in range(3):
        response = site.send(connection, "POST", "/book/1", b"x")
        assert response.read() == b"seat"
    assert len(site.replicas[0].received) == 3


def test_an_answer_without_a_length_ends_with_its_connection(site):
    def answer_unframed(request, connection):
        identity = f"{ATTEMPT}: {request.headers[ATTEMPT.lower()]}\r\n{SEAL}: s\r\n"
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + identity.encode() + b"\r\nseat")

    site.add_replica("booking", answer_unframed)
    response, body = site.call("POST", "/book/1", b"x")
    assert (body, response.headers["Content-Length"]) == (b"seat", "4")


# Streams


def test_events_are_passed_on_as_they_come(site):
    site.add_replica("guide", stream(1, 5, pause_s=0.2))
    connection = site.connect()
    started = time.monotonic()
    response = site.send(connection, "POST", "/draft/1", b"p", **MODEL_HEADERS)
    first = response.read1(4096)
    assert first == EVENTS[: len(first)] != EVENTS
    assert time.monotonic() - started < 0.7
    assert first + response.read() == EVENTS


@pytest.mark.parametrize("cut_at", [1, 3])
def test_a_stream_cut_within_an_event_is_resumed_at_another_replica(site, cut_at):
    site.add_replica("guide", stream(1, 5, cut_at=cut_at))
    site.add_replica("guide", stream(1, 5), zone="z2")
    response, body = site.draft()
    assert body == EVENTS
    resumed = [r for r in site.replicas[1].received if "last-event-id" in r.headers]
    if site.replicas[0].received and cut_at > 1:
        assert [r.headers["last-event-id"] for r in resumed] == [str(cut_at - 1)]


def test_a_stream_that_cannot_be_resumed_does_not_look_complete(site):
    site.configure(
        3,
        routes=[
            {"name": "draft", "host": HOST, "prefix": "/draft/", "kind": "streaming"}
            | {"service": "guide", "timeoutMs": 3000, "attempts": 2}
        ],
    )
    for _ in range(2):
        site.add_replica("guide", stream(1, 5, cut_at=3))
    connection = site.connect()
    response = site.send(connection, "POST", "/draft/1", b"p", **MODEL_HEADERS)
    with pytest.raises(Exception, match="IncompleteRead"):
        response.read()
    assert count_received(site) == 1


def test_a_silent_replica_is_left_for_another_before_the_first_event(site):
    site.add_replica("guide", lambda request, connection: time.sleep(3))
    site.add_replica("guide", lambda request, connection: stream(1, 5)(request, connection))
    bodies = [site.draft()[1] for _ in range(2)]
    assert bodies == [EVENTS, EVENTS]


def test_a_caller_that_leaves_is_noticed_within_half_a_second(site):
    left_at: list[float] = []

    def stream_until_cut(request, connection):
        try:
            stream(1, 400, pause_s=0.02)(request, connection)
        except OSError:
            left_at.append(time.monotonic())

    site.add_replica("guide", stream_until_cut)
    connection = site.connect()
    response = site.send(connection, "POST", "/draft/1", b"p", **MODEL_HEADERS)
    response.read1(64)
    closed_at = time.monotonic()
    response.close()
    connection.close()
    wait_until(lambda: bool(left_at))
    assert left_at[0] - closed_at < 0.5


def test_a_request_that_outlasts_its_route_gets_its_answer_then(site):
    site.add_replica("booking", lambda request, connection: time.sleep(4))
    started = time.monotonic()
    response, _ = site.call("POST", "/book/1", b"x", X_Hibiscustray_Deadline_Ms="600")
    assert response.status == 504
    assert time.monotonic() - started < 1.0


# Weights


def test_a_new_version_is_required_once_its_bound_has_passed(site):
    replica = site.add_replica("guide", stream(1, 5))
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    assert site.draft()[0].status == 200
    time.sleep(1.2)
    response, _ = site.draft()
    assert response.status == 503
    site.list_again(
        replica,
        models=[{"name": "m", "version": 2, "adapters": []}],
        layers={"rangeStart": 0, "target": 16, "version": 2},
    )
    assert site.draft()[0].status == 200
    assert replica.received[-1].headers["x-hibiscustray-expect-version"] == "2"


def test_a_replica_that_is_ahead_of_the_required_version_serves_in_the_next_release(site):
    def answer_own_version_only(request, connection):
        expected = request.headers.get("x-hibiscustray-expect-version", "3")
        script = stream(1, 5) if expected == "3" else refuse(421)
        script(request, connection)

    site.add_replica(
        "guide",
        answer_own_version_only,
        models=[{"name": "m", "version": 3, "adapters": []}],
        layers={"rangeStart": 0, "target": 16, "version": 3},
    )
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    time.sleep(1.2)
    site.store.put("op", "version/m", {"model": "m", "version": 3})
    wait_until(lambda: site.process._relay._attempts._versions.find_newest("m") == 3)
    assert site.draft()[0].status == 200


def test_an_address_that_another_replica_has_now_is_asked_once(site):
    site.add_replica("booking", refuse(421))
    site.add_replica("booking", answer_whole(body=b"seat"))
    assert [site.call("POST", "/book/1", b"x")[1] for _ in range(6)] == [b"seat"] * 6
    time.sleep(0.8)
    assert [site.call("POST", "/book/1", b"x")[1] for _ in range(6)] == [b"seat"] * 6
    assert len(site.replicas[0].received) <= 1


def test_a_request_that_has_not_begun_when_a_bound_passes_is_tried_on_the_new_version(site):
    cut_at: list[float] = []

    def queue_without_end(request, connection):
        connection.settimeout(4)
        connection.recv(1)
        cut_at.append(time.monotonic())

    site.add_replica("guide", queue_without_end)
    answers: list[bytes] = []
    named_at = time.monotonic()
    site.store.put("op", "version/m", {"model": "m", "version": 2})
    wait_until(lambda: site.process._relay._attempts._versions.find_newest("m") == 2)
    caller = run_in_background(lambda: answers.append(site.draft()[1]))
    wait_until(lambda: bool(site.replicas[0].received))
    site.add_replica(
        "guide",
        stream(1, 5),
        models=[{"name": "m", "version": 2, "adapters": []}],
        layers={"rangeStart": 0, "target": 16, "version": 2},
    )
    caller.join()
    assert answers == [EVENTS]
    wait_until(lambda: bool(cut_at))
    assert cut_at[0] - named_at < 1.0


def test_a_replica_without_all_layers_gets_no_requests(site):
    site.add_replica("guide", stream(1, 5), layers={"rangeStart": 0, "target": 8, "version": 1})
    assert site.draft()[0].status == 503
    assert count_received(site) == 0


# The list of replicas


def test_a_draining_or_unlisted_replica_gets_no_new_requests(site):
    leaving = site.add_replica("booking", answer_whole(body=b"old"))
    site.add_replica("booking", answer_whole(body=b"new"))
    site.list_again(leaving, state="draining")
    assert {site.call("POST", "/book/1", b"x")[1] for _ in range(6)} == {b"new"}
    site.store.remove("servers", leaving.id)
    time.sleep(0.2)
    assert {site.call("POST", "/book/1", b"x")[1] for _ in range(6)} == {b"new"}


@pytest.mark.parametrize(
    "entry",
    [b"\xff\xfe", b"[]", {"service": "booking"}, {"service": 7, "addr": "127.0.0.1:1"}],
)
def test_an_entry_that_cannot_be_read_names_no_replica_and_harms_no_other(site, entry):
    site.add_replica("booking", answer_whole(body=b"seat"))
    site.store.put("servers", "i-odd", entry)
    site.store.put("op", "strange", entry)
    time.sleep(0.2)
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"
    assert site.process._directory.get("i-odd") is None


def test_entries_of_a_later_format_are_read_for_what_is_known(site):
    site.add_replica("booking", answer_whole(body=b"seat"), colour="green", nested={"a": [1]})
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"


def test_changes_are_found_after_the_history_is_lost(site):
    site.store.forget_history()
    site.add_replica("booking", answer_whole(body=b"seat"))
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"


def test_a_store_that_is_away_stops_no_request_and_its_changes_are_caught_up(site):
    site.add_replica("booking", answer_whole(body=b"seat"))
    site.store.refusal = 503
    time.sleep(1.2)
    assert site.call("POST", "/book/1", b"x")[1] == b"seat"
    site.store.remove("servers", "i-0")
    site.store.refusal = 0
    wait_until(lambda: not site.process._directory.list_ready("booking"))
    assert site.call("POST", "/book/1", b"x")[0].status == 503


# Callers that send odd bytes


def exchange_raw(site: HostedSite, data: bytes) -> bytes:
    with site.open_socket() as connection:
        connection.sendall(data)
        return connection.recv(65536)


def raw_request(path: str = "/book/1", extra: str = "", body: str = "") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{extra}\r\n"
    return (head + body).encode()


def test_a_body_in_chunks_is_passed_on_whole(site):
    replica = site.add_replica("booking", answer_whole())
    body = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    answer = exchange_raw(site, raw_request(extra="Transfer-Encoding: chunked\r\n", body=body))
    assert answer.startswith(b"HTTP/1.1 200")
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
def test_a_body_that_lies_about_its_length_reaches_no_replica(site, extra):
    site.add_replica("booking", answer_whole())
    answer = exchange_raw(site, raw_request(extra=extra, body="abc"))
    assert answer.split(b" ")[1] in (b"400", b"501")
    assert count_received(site) == 0


def test_a_smuggled_request_is_not_run(site):
    site.add_replica("booking", answer_whole())
    smuggled = raw_request("/book/hidden").decode()
    extra = f"Content-Length: {len(smuggled) + 5}\r\nTransfer-Encoding: chunked\r\n"
    exchange_raw(site, raw_request(extra=extra, body="0\r\n\r\n" + smuggled))
    time.sleep(0.2)
    assert [r.path for r in site.replicas[0].received if "hidden" in r.path] == []


def test_headers_and_bodies_beyond_the_limits_are_refused(site):
    site.add_replica("booking", answer_whole())
    answer = exchange_raw(site, raw_request(extra="X-Big: " + "x" * 70000 + "\r\n"))
    assert answer.split(b" ")[1] == b"431"
    response, _ = site.call("POST", "/book/1", b"x" * 70000)
    assert response.status == 413
    assert count_received(site) == 0


def test_a_head_that_takes_too_long_ends_its_connection(site):
    with site.open_socket() as connection:
        connection.settimeout(10)
        for part in raw_request(extra="Content-Length: 1\r\n").decode().split("\r\n")[:2]:
            connection.sendall(part.encode() + b"\r\n")
        started = time.monotonic()
        assert connection.recv(100) == b""
        assert time.monotonic() - started < 9


# The stop


def test_late_in_a_planned_stop_kept_connections_are_closed_and_requests_finished(site):
    site.add_replica("guide", stream(1, 20, pause_s=0.1))
    site.add_replica("booking", answer_whole())
    kept = site.connect()
    assert site.send(kept, "POST", "/book/1", b"x").read() == b"{}"
    stop = run_in_background(lambda: site.process.drain(8.0))
    time.sleep(2.0)
    bodies: list[bytes] = []
    caller = run_in_background(lambda: bodies.append(site.draft()[1]))
    started = time.monotonic()
    assert kept.sock.recv(1) == b"", "closed before a request that could not end in time"
    assert time.monotonic() - started < 2.0
    caller.join()
    stop.join()
    assert bodies == [b"".join(f"id: {n}\ndata: token-{n}\n\n".encode() for n in range(1, 21))]


def test_a_planned_stop_cuts_no_request(site):
    site.add_replica("guide", stream(1, 20, pause_s=0.05))
    kept = site.connect()
    site.add_replica("booking", answer_whole())
    assert site.send(kept, "POST", "/book/1", b"x").read() == b"{}"
    bodies: list[bytes] = []
    caller = run_in_background(lambda: bodies.append(site.draft()[1]))
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
