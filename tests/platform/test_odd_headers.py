"""Odd values in the headers of replicas and callers: they say nothing, and requests are served."""

from __future__ import annotations

import logging
import uuid

import pytest

from hibiscustray.platform.standins import (
    ATTEMPT_ID,
    HOST,
    KEY,
    MODEL_HEADERS,
    SERVER_SEAL,
    Script,
)
from tests.platform.quiet import KINDS
from tests.platform.raw_caller import RawResponse, read_raw
from tests.platform.site import HostedSite, run_hosted_site

BODY = b"id: 1\ndata: a\n\n"

ODD_NUMBERS = {
    "400 digits": "9" * 400,
    "5000 digits": "9" * 5000,
    "18 digits": "9" * 18,
    "superscript digit": "\u00b2",
    "negative": "-1",
    "two points": "1.5.0",
    "exponent": "1e999",
    "infinite": "inf",
    "not a number": "nan",
    "empty": "",
    "text": "\u00e9",
}
ODD_TEXTS = ["a\r\n b", "a\r\n\tb", "a\r\n \r\n b", "a\rb", "a\x0bb", "\x85", "\u00e9", " " * 9000]
REPLICA_HEADERS = {
    "load": lambda n: {"X-Hibiscustray-Replica-Load": f"{n},{n},{n}"},
    "slots": lambda n: {"X-Hibiscustray-Replica-Load": f"1,0,{n}"},
    "version": lambda n: {"X-Hibiscustray-Weight-Versions": n},
    "limit": lambda n: {"Server-Limit": n},
    "pushback": lambda n: {"Retry-After": n},
    "idle time": lambda n: {"Keep-Alive": f"timeout={n}"},
    "draining": lambda n: {"Server-Leaving": n},
}
CALLER_HEADERS = {
    "deadline": lambda n: {"X-Hibiscustray-Deadline-Ms": n},
    "tokens": lambda n: {"X-Hibiscustray-Token-Count": f"{n},{n}"},
    "output tokens": lambda n: {"X-Hibiscustray-Token-Count": f"1,{n}"},
    "hint": lambda n: {"X-Hibiscustray-Length-Hint": n},
    "parts": lambda n: {"X-Hibiscustray-Prompt-Prefix": f"{n}:{n},bb:{n},cc:1"},
    "event": lambda n: {"Last-Event-Id": n},
}


def respond(headers: dict[str, str]) -> Script:
    """Return a script that responds with headers in Latin-1."""

    def script(request, connection) -> None:
        identity = {ATTEMPT_ID: request.id, SERVER_SEAL: "seal-1"}
        fields = identity | {"Content-Length": str(len(BODY))} | headers
        connection.sendall(encode("HTTP/1.1 200 OK", fields) + BODY)

    return script


def encode(line: str, fields: dict[str, str]) -> bytes:
    lines = (f"{name}: {value}" for name, value in fields.items())
    return "\r\n".join((line, *lines, "\r\n")).encode("latin-1")


def call(site: HostedSite, kind: str, headers: dict[str, str]) -> RawResponse:
    """Send a request of a kind with headers in Latin-1 and read its response."""
    method, path, _ = KINDS[kind]
    fields = {
        "Host": HOST,
        ATTEMPT_ID: uuid.uuid4().hex,
        "Authorization": f"Bearer {KEY}",
        "X-Hibiscustray-Deadline-Ms": "4000",
    }
    with site.open_socket() as connection:
        connection.sendall(encode(f"{method} {path} HTTP/1.1", fields | MODEL_HEADERS | headers))
        return read_raw(connection)


def check_log(caplog) -> None:
    """Check that nothing was logged as an unexpected failure."""
    assert not [r.getMessage() for r in caplog.records if r.levelno >= logging.ERROR]


@pytest.mark.parametrize("header", REPLICA_HEADERS)
def test_odd_header_of_a_replica_loses_no_response(header, caplog):
    headers: dict[str, str] = {}
    with run_hosted_site() as site:
        for service in ("booking", "guide"):
            site.add_replica(service, respond(headers))
        for name, number in ODD_NUMBERS.items():
            headers |= REPLICA_HEADERS[header](number)
            for kind in ["non_idempotent", "resumable"] * 2:
                response = call(site, kind, {})
                assert (response.status, response.body) == (200, BODY), name
    check_log(caplog)


@pytest.mark.parametrize("header", CALLER_HEADERS)
def test_odd_header_of_a_caller_fails_no_request(header, caplog):
    with run_hosted_site() as site:
        for service in ("booking", "guide"):
            site.add_replica(service, respond({}))
        for name, number in ODD_NUMBERS.items():
            for headers in (CALLER_HEADERS[header](number), {}):
                for kind in ("non_idempotent", "resumable"):
                    assert call(site, kind, headers).status == 200, name
    check_log(caplog)


@pytest.mark.parametrize("name", ["X-Odd", "Content-Type", "Keep-Alive", "Connection"])
def test_folded_header_of_a_replica_loses_no_response(name, caplog):
    headers: dict[str, str] = {}
    with run_hosted_site() as site:
        for service in ("booking", "guide"):
            site.add_replica(service, respond(headers))
        for text in ODD_TEXTS:
            headers |= {name: text}
            for kind in ("non_idempotent", "resumable"):
                response = call(site, kind, {})
                assert (response.status, response.body) == (200, BODY), text
    check_log(caplog)


@pytest.mark.parametrize("path", ["/book/\x01", "/book/\x7f", "/book/\x00", "/book/1?\x1f"])
def test_control_character_in_a_path_does_not_count_as_a_loss_of_the_replica(path, caplog):
    with run_hosted_site() as site:
        replica = site.add_replica("booking", respond({}))
        fields = {"Host": HOST, ATTEMPT_ID: "a", "Authorization": f"Bearer {KEY}"}
        for _ in range(3):
            with site.open_socket() as connection:
                connection.sendall(encode(f"POST {path} HTTP/1.1", fields))
                assert read_raw(connection).status == 400
        assert not replica.received
        assert call(site, "non_idempotent", {}).status == 200
    check_log(caplog)


@pytest.mark.parametrize("digits", [19, 400, 5000])
def test_long_content_length_of_a_caller_gets_a_response(digits, caplog):
    with run_hosted_site() as site:
        headers = {"Content-Length": "9" * digits}
        assert call(site, "non_idempotent", headers).status in (400, 413)
    check_log(caplog)
