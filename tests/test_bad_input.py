"""Tests that an entry refuses invalid input with a problem response and does not run it."""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import pytest

from hibiscustray.standins.site import TEAM_KEY
from hibiscustray.web import ClientResponse, HttpClient
from hibiscustray.web.server import MAX_HEADERS_B
from tests.site import run_site

TIMEOUT_S = 10.0
PROBLEM_KEYS = {"type", "title", "status", "detail", "outcome", "request_id"}
BOOKING = "/v1/services/booking"
CHAT = "/v1/chat/completions"
AUTHORIZED = {"Authorization": f"Bearer {TEAM_KEY}", "Content-Type": "application/json"}
CHAT_BODY = {"model": "guide-llm", "messages": [{"role": "user", "content": "hello"}]}


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with run_site(tmp_path_factory.mktemp("site")) as site:
        yield site


@pytest.fixture
def client(site):
    client = HttpClient(site.entries[0].url, TIMEOUT_S)
    yield client
    client.close()


def read_problem(response: ClientResponse) -> dict:
    problem = msgspec.json.decode(response.body)
    assert response.headers["content-type"] == "application/problem+json"
    assert set(problem) >= PROBLEM_KEYS
    assert problem["status"] == response.status
    assert b"Traceback" not in response.body
    return problem


@contextmanager
def connect(site) -> Iterator[socket.socket]:
    entry = site.entries[0].http
    with socket.create_connection((entry.address, entry.port), TIMEOUT_S) as connection:
        yield connection


def send_raw(site, text: bytes) -> ClientResponse:
    """Send bytes unchanged and read one response."""
    with connect(site) as connection:
        connection.sendall(text)
        response = http.client.HTTPResponse(connection)
        response.begin()
        headers = {key.lower(): value for key, value in response.getheaders()}
        return ClientResponse(response.status, headers, response.read())


def count_runs(site) -> int:
    return sum(sum(plain.service.runs.values()) for plain in site.plains)


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (b"{", "malformed"),
        (b"[1]", "malformed"),
        (b"", "malformed"),
        (b"\xff\xfe", "malformed"),
        (b'{"model":' + b"[" * 20_000, "malformed"),
        (b'{"messages":' + b"[" * 20_000 + b"]" * 20_000 + b"}", "malformed"),
        (b'{"model": 5, "messages": []}', "malformed"),
        (b'{"messages": []}', "malformed"),
        (b'{"model": "guide-llm", "messages": "hello"}', "malformed"),
        (b'{"model": "guide-llm", "messages": []}', "malformed"),
        (b'{"model": "guide-llm", "messages": [{"role": 1}]}', "malformed"),
        (b'{"model": "guide-llm", "messages": [3]}', "malformed"),
        (b'{"model": "absent", "messages": [{"role": "user", "content": "a"}]}', "unknown-service"),
    ],
)
def test_an_invalid_chat_body_is_refused(client, body, kind):
    problem = read_problem(client.call("POST", CHAT, body, AUTHORIZED))
    assert problem["type"].endswith(f":{kind}")
    assert problem["outcome"] == "not_run"


@pytest.mark.parametrize(
    "deadline",
    ["0", "-5", "soon", "1e99", "999999999999", "", "1.5", "nan", "\xb2", "9" * 400, "9" * 5000],
)
def test_an_invalid_deadline_is_refused(site, client, deadline):
    before = count_runs(site)
    headers = AUTHORIZED | {"Hibiscustray-Deadline-Ms": deadline}
    problem = read_problem(client.call("POST", BOOKING, b'{"reference": "late"}', headers))
    assert problem["type"].endswith(":deadline")
    assert problem["outcome"] == "not_run"
    assert count_runs(site) == before


def test_a_request_without_deadline_gets_the_default(client):
    response = client.call("POST", CHAT, msgspec.json.encode(CHAT_BODY), AUTHORIZED)
    assert response.status == 200


@pytest.mark.parametrize("value", ["", "Bearer", "Bearer wrong", "Basic aG9zdHM6", "Bearer \xe9"])
def test_an_invalid_credential_is_refused(client, value):
    headers = {"Authorization": value}
    problem = read_problem(client.call("POST", BOOKING, b"{}", headers))
    assert (problem["status"], problem["outcome"]) == (401, "not_run")


def test_an_unknown_service_is_refused(client):
    problem = read_problem(client.call("POST", "/v1/services/absent", b"{}", AUTHORIZED))
    assert (problem["status"], problem["outcome"]) == (404, "not_run")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/absent", 404), ("DELETE", CHAT, 405), ("GET", CHAT, 405)],
)
def test_an_unknown_route_gets_a_problem(client, method, path, status):
    problem = read_problem(client.call(method, path))
    assert (problem["status"], problem["outcome"]) == (status, "not_run")


def test_an_oversized_body_is_refused(site, client):
    before = count_runs(site)
    body = msgspec.json.encode({"reference": "x" * 70_000})
    problem = read_problem(client.call("POST", BOOKING, body, AUTHORIZED))
    assert (problem["status"], problem["outcome"]) == (413, "not_run")
    assert count_runs(site) == before


@pytest.mark.parametrize(
    ("headers", "body", "status"),
    [
        (b"Content-Length: 99999999999\r\n", b"{}", 413),
        (b"Content-Length: -1\r\n", b"{}", 400),
        (b"Content-Length: two\r\n", b"{}", 400),
        (b"Content-Length: 2\r\nContent-Length: 3\r\n", b"{}", 400),
        (
            b"Transfer-Encoding: chunked\r\n",
            b"20000\r\n" + b"a" * 0x20000 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"Transfer-Encoding: chunked\r\n", b"zz\r\n", 400),
        (b"X-Long: " + b"a" * MAX_HEADERS_B + b"\r\n", b"", 431),
        (b"Idempotency-Key: a\nX-Injected: b\r\n", b"", 400),
        (b"Bad Header\r\n", b"", 400),
    ],
)
def test_an_invalid_header_or_length_gets_a_problem(site, headers, body, status):
    start = b"POST /v1/services/booking HTTP/1.1\r\nHost: a\r\n"
    problem = read_problem(send_raw(site, start + headers + b"\r\n" + body))
    assert (problem["status"], problem["outcome"]) == (status, "not_run")


def test_an_incomplete_request_does_not_run(site, client):
    before = count_runs(site)
    head = f"POST {BOOKING} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TEAM_KEY}\r\n"
    with connect(site) as connection:
        connection.sendall(head.encode() + b'Content-Length: 500\r\n\r\n{"reference": "half"')
        connection.shutdown(socket.SHUT_WR)
        assert connection.recv(1) == b""
    assert count_runs(site) == before
    assert client.call("POST", BOOKING, b'{"reference": "whole"}', AUTHORIZED).status == 200


def test_a_key_reused_with_another_body_is_refused(site, client):
    headers = AUTHORIZED | {"Idempotency-Key": "key-1"}
    first = client.call("POST", BOOKING, b'{"reference": "one"}', headers)
    repeated = client.call("POST", BOOKING, b'{"reference": "one"}', headers)
    assert first.status == repeated.status == 200
    assert first.body == repeated.body
    problem = read_problem(client.call("POST", BOOKING, b'{"reference": "two"}', headers))
    assert (problem["status"], problem["outcome"]) == (422, "not_run")
    assert [plain.service.runs["one"] for plain in site.plains] == [1]
    assert [plain.service.runs["two"] for plain in site.plains] == [0]


@pytest.mark.parametrize("key", ["k" * 201, "a\tb", "caf\xe9"])
def test_a_key_that_is_too_long_or_not_printable_is_refused(client, key):
    headers = AUTHORIZED | {"Idempotency-Key": key}
    problem = read_problem(client.call("POST", BOOKING, b'{"reference": "key"}', headers))
    assert (problem["status"], problem["outcome"]) == (400, "not_run")


def test_a_disconnected_caller_cancels_its_stream(site, client):
    body = msgspec.json.encode(CHAT_BODY | {"stream": True, "max_tokens": 100_000})
    stream = client.open("POST", CHAT, body, AUTHORIZED)
    assert next(stream.read_lines()).startswith(b"data: ")
    stream.abort()
    stream.close()
    engine = site.models[0].engine
    deadline = time.monotonic() + TIMEOUT_S
    while not any(not r.is_finished for r in engine.records) and time.monotonic() < deadline:
        time.sleep(0.02)
    assert any(not r.is_finished for r in engine.records)


def test_a_complete_stream_ends_with_done(client):
    body = msgspec.json.encode(CHAT_BODY | {"stream": True, "max_tokens": 5})
    lines = list(client.open("POST", CHAT, body, AUTHORIZED).read_lines())
    assert lines[-2:] == [b"data: [DONE]\n", b"\n"]
    events = [line for line in lines if line.startswith(b"data: {")]
    assert len(events) == 5
