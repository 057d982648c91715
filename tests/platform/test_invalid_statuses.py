"""Responses whose status is no HTTP status, at each reader: they are taken for none at all."""

from __future__ import annotations

import contextlib
import json
import logging
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from hibiscustray.agent.interface import LoadMode
from hibiscustray.exceptions import (
    OriginUnavailable,
    PeerError,
    StoreUnavailable,
    UpstreamConnectionLost,
)
from hibiscustray.peers import HoldingsRequest, PeerPool
from hibiscustray.platform import (
    EntryFeed,
    OperatorFeed,
    PlatformEngine,
    PlatformOrigin,
    PlatformReplicaClient,
    PlatformStore,
    RelayedOperatorFeed,
    ReplicaFeed,
)
from hibiscustray.platform.standins import ATTEMPT_ID, MODEL_HEADERS, SERVER_SEAL
from hibiscustray.replicas import ReplicaRecord, ReplicaState
from hibiscustray.web import HttpClient
from tests.platform.quiet import KINDS
from tests.platform.site import run_hosted_site

INVALID = ["000", "001", "099", "600", "777", "999"]
MALFORMED = ["0", "20", "0200", "2000", "+20", "-20", "2 0", "20x", "2_0", "\u00b2\u00b2\u00b2", ""]
VALID = ["200", "299", "404", "418", "499", "500", "599"]
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
BODY = json.dumps({"rows": [], "revision": 1, "names": [], "held": [], "models": []}).encode()
EVENT = b"id: 1\ndata: a\n\n"


def encode_response(status: str, body: bytes, *lines: str) -> bytes:
    head = (f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *lines, "\r\n")
    return "\r\n".join(head).encode("latin-1") + body


@contextmanager
def serve(response: bytes) -> Iterator[str]:
    """Answer each request on any connection with the same bytes; yield the address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer(connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while connection.recv(65536):
                connection.sendall(response)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=answer, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield ":".join(map(str, listener.getsockname()))
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def respond(status: str, body: bytes = b"seat", prefix: bytes = b"", is_stream: bool = False):
    """Return a script that answers with a sealed response of this status."""

    def script(request, connection) -> None:
        lines = [f"{ATTEMPT_ID}: {request.id}", f"{SERVER_SEAL}: seal-1"]
        if is_stream:
            lines.append("Content-Type: text/event-stream")
        connection.sendall(prefix + encode_response(status, body, *lines))

    return script


@pytest.mark.parametrize("prefix", [b"", INTERIM], ids=["", "interim"])
@pytest.mark.parametrize("status", INVALID + MALFORMED)
def test_client_takes_an_invalid_status_for_a_lost_response(status, prefix):
    with serve(prefix + encode_response(status, BODY)) as address:
        client = HttpClient(f"http://{address}", 0.5)
        with pytest.raises(UpstreamConnectionLost):
            client.call("GET", "/")
        with pytest.raises(UpstreamConnectionLost):
            client.open("POST", "/", b"x")


@pytest.mark.parametrize("prefix", [b"", INTERIM], ids=["", "interim"])
@pytest.mark.parametrize("status", VALID)
def test_client_returns_a_valid_status(status, prefix):
    with serve(prefix + encode_response(status, BODY)) as address:
        assert HttpClient(f"http://{address}", 0.5).call("GET", "/").status == int(status)


# Guards against an invalid interim response whose final response is read all the same.
@pytest.mark.parametrize("status", INVALID)
def test_client_takes_an_invalid_interim_status_for_a_lost_response(status):
    interim = f"HTTP/1.1 {status} Status\r\n\r\n".encode()
    with (
        serve(interim + encode_response("200", BODY)) as address,
        pytest.raises(UpstreamConnectionLost),
    ):
        HttpClient(f"http://{address}", 0.5).call("GET", "/")


# Guards against callers that get an invalid status, sealed as if it were an answer (MIXED).
@pytest.mark.parametrize("prefix", [b"", INTERIM], ids=["", "interim"])
@pytest.mark.parametrize("kind", KINDS)
def test_caller_gets_502_for_an_invalid_status(kind, prefix, caplog):
    method, path, service = KINDS[kind]
    with run_hosted_site() as site:
        status = [""]
        is_stream = service == "guide"

        def script(request, connection) -> None:
            respond(status[0], EVENT, prefix, is_stream)(request, connection)

        for _ in range(2):
            site.add_replica(service, script)
        for status[0] in INVALID:
            response, body = site.call(method, path, b"x", **MODEL_HEADERS)
            assert response.status == 502, status[0]
            assert SERVER_SEAL not in response.headers
            assert EVENT not in body
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]


@pytest.mark.parametrize("status", INVALID)
def test_request_that_may_be_repeated_goes_to_another_replica_after_an_invalid_status(status):
    with run_hosted_site() as site:
        site.add_replica("booking", respond(status))
        site.add_replica("booking", respond("200"))
        for _ in range(6):
            response, body = site.call("GET", "/book/look/1")
            assert (response.status, body) == (200, b"seat")


# Guards against a stream that goes on with what is no response, or ends as if it were whole.
@pytest.mark.parametrize("status", INVALID)
def test_stream_is_not_resumed_with_an_invalid_status(status):
    def script(request, connection) -> None:
        if request.resume_after:
            respond(status, b"id: 2\ndata: b\n\n", is_stream=True)(request, connection)
            return
        lines = (f"{ATTEMPT_ID}: {request.id}", f"{SERVER_SEAL}: seal-1")
        head = ("HTTP/1.1 200 OK", *lines, "Content-Type: text/event-stream", "Content-Length: 99")
        connection.sendall("\r\n".join((*head, "\r\n")).encode() + EVENT)

    with run_hosted_site() as site:
        for _ in range(2):
            site.add_replica("guide", script)
        connection = site.connect()
        response = site.send(connection, "POST", "/draft/1", b"x", **MODEL_HEADERS)
        received = b""
        with pytest.raises(Exception) as raised:
            while block := response.read1(65536):
                received += block
            raise AssertionError("the stream looks whole")
        assert not isinstance(raised.value, AssertionError)
        assert b"data: b" not in received


STORE_CALLS = {
    "list read": lambda store: ReplicaFeed(store).read(),
    "list followed": lambda store: ReplicaFeed(store).follow(1, 0.1),
    "operator's table read": lambda store: OperatorFeed(store).read(),
    "operator's table followed": lambda store: OperatorFeed(store).follow(1, 0.1),
    "announcements read": lambda store: OperatorFeed(store).read_state(),
    "announcements followed": lambda store: RelayedOperatorFeed(store).follow(1, 0.1),
    "copy read": lambda store: RelayedOperatorFeed(store).read_copy(),
    "object written": lambda store: store.write_object("a", b"x"),
    "rows written": lambda store: store.write_rows("a", {"k": (b"x", 0)}),
    "row removed": lambda store: EntryFeed(store).remove_report("e-1"),
    "block read": lambda store: EntryFeed(store).read_block("r"),
}


@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize("call", STORE_CALLS)
def test_store_is_unavailable_whose_status_is_invalid(call, status):
    with serve(encode_response(status, BODY)) as address, pytest.raises(StoreUnavailable):
        STORE_CALLS[call](PlatformStore(address, 1.0))


ENGINE_CALLS = {
    "report": lambda engine: engine.read_report(),
    "staged chunks": lambda engine: engine.list_staged("m"),
    "staged chunk": lambda engine: engine.read_staged("m", 1, 4096),
    "stage": lambda engine: engine.stage("m", 1, b"x"),
    "order": lambda engine: engine.order_load("m", 1, LoadMode.FINISH_RUNNING, 0, 1),
}


# Guards against an order that counts as rejected, though it may have been accepted.
@pytest.mark.parametrize("status", INVALID)
@pytest.mark.parametrize("call", ENGINE_CALLS)
def test_response_of_an_engine_is_lost_whose_status_is_invalid(call, status):
    with serve(encode_response(status, BODY)) as address, pytest.raises(UpstreamConnectionLost):
        ENGINE_CALLS[call](PlatformEngine(address))


@pytest.mark.parametrize("status", INVALID)
def test_origin_is_unavailable_whose_status_is_invalid(status):
    with serve(encode_response(status, BODY)) as address:
        origin = PlatformOrigin(lambda: address)
        with pytest.raises(OriginUnavailable):
            origin.read_manifest("m", 1)
        with pytest.raises(OriginUnavailable):
            origin.read_range("m?version=1", 0, len(BODY))


@pytest.mark.parametrize("status", INVALID)
def test_health_check_is_unanswered_whose_status_is_invalid(status):
    with serve(encode_response(status, BODY)) as address:
        replica = ReplicaRecord("i-1", "booking", address, "z1", 6, ReplicaState.READY)
        with pytest.raises(UpstreamConnectionLost):
            PlatformReplicaClient().check(replica, "/health", 1.0)


@pytest.mark.parametrize("status", [*INVALID, "200"])
def test_peer_that_speaks_http_1_is_lost(status):
    with serve(encode_response(status, BODY)) as address:
        peers = PeerPool()
        with pytest.raises(PeerError):
            peers.get(address).read_holdings(HoldingsRequest(""), 1.0)
        peers.close()
