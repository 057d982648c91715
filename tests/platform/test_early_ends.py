"""Responses of replicas that end early must not look whole to callers."""

from __future__ import annotations

import logging
import socket

import pytest

from hibiscustray.platform.standins import ReceivedRequest
from tests.platform.quiet import BODY, EVENTS, KINDS, STREAM, encode_chunk, encode_head, make_routes
from tests.platform.raw_caller import End, call_raw
from tests.platform.site import run_hosted_site

PLAIN = ("idempotent", "non_idempotent")
FRAMINGS = {"chunks": "Transfer-Encoding: chunked", "length": f"Content-Length: {len(BODY)}"}


@pytest.fixture
def site():
    with run_hosted_site() as running:
        running.configure(2, routes=make_routes())
        yield running


def make_body(kind: str) -> bytes:
    """Return the whole body of a kind of request."""
    return b"".join(EVENTS) if KINDS[kind][2] == STREAM else BODY


def make_head(request: ReceivedRequest, kind: str, *lines: str) -> bytes:
    """Return the head of a response to a kind of request."""
    is_stream = KINDS[kind][2] == STREAM
    return encode_head(request, *lines, *(["Content-Type: text/event-stream"] * is_stream))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("is_cut", [False, True], ids=["whole", "cut"])
def test_body_that_only_its_connection_ends_is_not_given_a_length_or_a_last_chunk(
    site, kind, is_cut
):
    body = make_body(kind)
    # A stream is cut between two events, where nothing shows it.
    sent = body[: len(b"".join(EVENTS[:3]))] if is_cut else body

    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        connection.sendall(make_head(request, kind) + sent)

    site.add_replica(KINDS[kind][2], respond)
    response = call_raw(site, kind)
    assert (response.status, response.body, response.end) == (200, sent, End.CLOSED)


@pytest.mark.parametrize("is_whole", [False, True], ids=["cut", "whole"])
def test_resumed_stream_without_a_mark_of_its_end_does_not_end_a_stream_in_chunks(site, is_whole):
    served = []

    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        served.append(request)
        if len(served) == 1:
            head = make_head(request, "resumable", "Transfer-Encoding: chunked")
            connection.sendall(head + b"".join(encode_chunk(event) for event in EVENTS[:2]))
            return
        last = len(EVENTS) if is_whole else 4
        events = b"".join(EVENTS[request.resume_after : last])
        connection.sendall(make_head(request, "resumable") + events)

    for _ in range(2):
        site.add_replica(STREAM, respond)
    response = call_raw(site, "resumable")
    assert response.body == b"".join(EVENTS if is_whole else EVENTS[:4])
    assert response.end is End.CUT


def test_stream_without_a_mark_of_its_end_is_reset_when_it_breaks_off(site):
    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        connection.sendall(make_head(request, "plain_stream") + b"".join(EVENTS[:2]) + b"id: 3")

    site.add_replica(STREAM, respond)
    response = call_raw(site, "plain_stream")
    assert (response.status, response.end) == (200, End.RESET)


HEAD_CUTS = {
    "before the seal": b"\r\nX-Hibiscustray-Server-Seal",
    "after the seal": b"\r\nContent-",
    "within the length": b"00\r\n\r\n",
    "before the empty line": b"\r\n\r\n",
    "within the empty line": b"\n",
}


@pytest.mark.parametrize("kind", PLAIN)
@pytest.mark.parametrize("cut", HEAD_CUTS)
@pytest.mark.parametrize("status", [200, 503])
def test_response_cut_within_its_head_is_not_forwarded(site, kind, cut, status):
    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        head = encode_head(request, f"Content-Length: {len(BODY)}")
        head = head.replace(b"200 OK", f"{status} Status".encode())
        connection.sendall(head[: head.rindex(HEAD_CUTS[cut])])

    replica = site.add_replica(KINDS[kind][2], respond)
    response = call_raw(site, kind)
    assert (response.status, response.is_certain) == (502, True)
    assert len(replica.received) == 1


@pytest.mark.parametrize("kind", PLAIN)
def test_interim_response_is_not_forwarded_as_the_final_one(site, kind):
    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        connection.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        connection.sendall(encode_head(request, f"Content-Length: {len(BODY)}") + BODY)

    site.add_replica(KINDS[kind][2], respond)
    response = call_raw(site, kind)
    assert (response.status, response.body, response.end) == (200, BODY, End.WHOLE)


@pytest.mark.parametrize("kind", PLAIN)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_chunks_and_heads_are_not_forwarded_as_a_body_after_a_line_that_is_no_header(
    site, kind, framing
):
    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        body = encode_chunk(BODY) + b"0\r\n\r\n" if framing == "chunks" else BODY
        cut_head = encode_head(request).removesuffix(b"\r\n")
        connection.sendall(cut_head + encode_head(request, FRAMINGS[framing]) + body)

    site.add_replica(KINDS[kind][2], respond)
    response = call_raw(site, kind)
    assert (response.status, response.is_certain) == (502, True)


@pytest.mark.parametrize("kind", KINDS)
def test_interim_response_is_not_forwarded_in_place_of_the_response(site, kind):
    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        interim = encode_head(request).replace(b"200 OK", b"103 Early Hints")
        head = make_head(request, kind, "Transfer-Encoding: chunked")
        connection.sendall(interim + head + encode_chunk(make_body(kind)) + b"0\r\n\r\n")

    site.add_replica(KINDS[kind][2], respond)
    response = call_raw(site, kind)
    assert (response.status, response.body, response.end) == (200, make_body(kind), End.WHOLE)


@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_log_and_metrics_tell_how_a_replica_framed_its_response(site, framing, caplog):
    caplog.set_level(logging.INFO)

    def respond(request: ReceivedRequest, connection: socket.socket) -> None:
        lines = [FRAMINGS[framing]] if framing in FRAMINGS else []
        body = encode_chunk(BODY) + b"0\r\n\r\n" if framing == "chunks" else BODY
        connection.sendall(encode_head(request, *lines) + body)

    site.add_replica("booking", respond)
    assert call_raw(site, "idempotent").body == BODY
    ended = next(r for r in caplog.records if r.message == "request ended")
    assert (ended.outcome, ended.framing, ended.body_b) == ("answered", framing, len(BODY))
    labels = {"service": "booking", "framing": framing}
    assert site.process._forwarder._attempts._metrics.read("responses_framed_total", labels) == 1
