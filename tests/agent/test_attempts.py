"""Tests of attempts.

An agent may report "not run" only for attempts that never start, and must verify the upstream's
responses.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from hibiscustray.agent.attempts import AttemptServer
from hibiscustray.agent.keyed import KeyedRequests
from hibiscustray.agent.outcomes import OutcomeWriter
from hibiscustray.agent.state import ServingState
from hibiscustray.agent.upstream_call import UpstreamCall
from hibiscustray.peers import AttemptRequest, Data, End, Failed, KeepAlive, Refused
from hibiscustray.protocols import EngineClient
from hibiscustray.requests import ClaimStore, Ledger, TicketIssuer, Uncertain
from hibiscustray.telemetry import Metrics
from hibiscustray.web import HttpServer, Response, Router
from tests.requests.tables import FakeTable

DIGEST = "d1"
CHUNK = {"id": "r1", "system_fingerprint": DIGEST}


class Upstream:
    """A fake upstream with a configurable response that counts its runs."""

    def __init__(self):
        self.runs = 0
        self.respond = lambda request: Response.json(CHUNK)
        router = Router(lambda error: Response.json({}, 500))
        router.add("POST", "/", self.serve)
        self.http = HttpServer(router, "127.0.0.1", 0, 8)
        self.http.start()

    def serve(self, request):
        self.runs += 1
        return self.respond(request)


class Context:
    """Test double of the parts of a gRPC context that attempts use."""

    def __init__(self, remaining_s=10.0, is_active=True):
        self.remaining_s = remaining_s
        self.active = is_active
        self.callbacks = []

    def is_active(self):
        return self.active

    def time_remaining(self):
        return self.remaining_s

    def add_callback(self, callback):
        self.callbacks.append(callback)
        return self.active

    def cancel(self):
        self.active = False
        for callback in self.callbacks:
            callback()


@pytest.fixture
def upstream():
    upstream = Upstream()
    yield upstream
    upstream.http.stop()


@pytest.fixture
def state():
    return ServingState()


@pytest.fixture
def server(upstream, state):
    return make_server(upstream, state)


def make_server(upstream, state, busy_means_not_run=False, concurrency=4):
    metrics = Metrics("a")
    claims = ClaimStore(FakeTable(), "a", 1)
    writer = OutcomeWriter(claims, metrics)
    keyed = KeyedRequests(Ledger(), TicketIssuer("a", 1), claims, writer)
    state.serve(DIGEST)
    engine = EngineClient(upstream.http.url)
    return AttemptServer(state, engine, keyed, 1, concurrency, metrics, busy_means_not_run)


def make_attempt(**changes):
    fields = {
        "attempt_id": "a1",
        "request_id": "r1",
        "team": "hosts",
        "service": "booking",
        "digest": DIGEST,
        "path": "/",
        "body": b"{}",
        "timeout_s": 10.0,
        "is_idempotent": False,
    }
    return AttemptRequest(**(fields | changes))


def respond_with_events(*chunks):
    body = b"".join(b"data: " + chunk + b"\n\n" for chunk in chunks)
    return lambda request: Response(200, [body], "text/event-stream")


def encode(**changes):
    return msgspec.json.encode(CHUNK | changes)


@pytest.mark.parametrize(
    "context", [Context(remaining_s=0.0), Context(is_active=False)], ids=["late", "cancelled"]
)
def test_attempt_that_waited_too_long_for_a_thread_does_not_run(server, upstream, context):
    frames = list(server.serve(make_attempt(), context))
    assert isinstance(frames[-1], Refused)
    assert upstream.runs == 0


def test_attempt_of_another_incarnation_does_not_run(server, upstream):
    frames = list(server.serve(make_attempt(incarnation=7), Context()))
    assert [type(frame) for frame in frames] == [Refused]
    assert upstream.runs == 0


def test_call_cancelled_before_its_start_never_starts(upstream):
    outcomes = []
    engine = EngineClient(upstream.http.url)
    call = UpstreamCall(
        engine,
        make_attempt(),
        time.monotonic() + 10.0,
        lambda: None,
        lambda outcome: outcomes.append(outcome) or outcome,
        False,
    )
    assert call.cancel_if_not_started()
    call.run()
    assert outcomes[0].kind == "deadline"
    assert upstream.runs == 0


def test_call_does_not_start_late_after_a_pause_between_claim_and_start(upstream):
    call = UpstreamCall(
        EngineClient(upstream.http.url),
        make_attempt(),
        time.monotonic() + 0.2,
        lambda: time.sleep(0.4),
        lambda outcome: outcome,
        False,
    )
    call.run()
    assert call.items.get().kind == "deadline"
    assert upstream.runs == 0


def test_call_that_has_started_cannot_be_reported_as_not_run(upstream):
    started, released = threading.Event(), threading.Event()
    upstream.respond = lambda request: started.set() or released.wait(5.0) and Response.json(CHUNK)
    call = UpstreamCall(
        EngineClient(upstream.http.url),
        make_attempt(),
        time.monotonic() + 10.0,
        lambda: None,
        lambda outcome: outcome,
        False,
    )
    with ThreadPoolExecutor(1) as pool:
        pool.submit(call.run)
        assert started.wait(5.0)
        assert not call.cancel_if_not_started()
        released.set()


@pytest.mark.parametrize("status", [429, 503])
def test_busy_response_means_not_run_only_if_configured_or_idempotent(upstream, state, status):
    upstream.respond = lambda request: Response.json({}, status)
    by_default = list(make_server(upstream, state).serve(make_attempt(), Context()))
    configured = list(make_server(upstream, state, True).serve(make_attempt(), Context()))
    repeatable = make_attempt(is_idempotent=True)
    idempotent = list(make_server(upstream, state).serve(repeatable, Context()))
    assert [type(frames[-1]) for frames in (by_default, configured, idempotent)] == [
        Failed,
        Refused,
        Refused,
    ]


@pytest.mark.parametrize(
    "chunks",
    [
        (encode(id="r2"), b"[DONE]"),
        (encode(system_fingerprint="d2"), b"[DONE]"),
        (encode(), encode(id="r2"), b"[DONE]"),
        (b"{", b"[DONE]"),
        (encode(),),
        (encode(), b"[DONE"),
    ],
)
def test_crossed_or_truncated_stream_fails_the_attempt(server, upstream, chunks):
    upstream.respond = respond_with_events(*chunks)
    frames = list(server.serve(make_attempt(is_idempotent=True, is_stream=True), Context()))
    assert isinstance(frames[-1], Failed)


def test_complete_stream_of_the_request_is_a_response(server, upstream):
    upstream.respond = respond_with_events(encode(id="chatcmpl-r1"), encode(), b"[DONE]")
    frames = list(server.serve(make_attempt(is_idempotent=True, is_stream=True), Context()))
    assert isinstance(frames[-1], End)
    assert frames[-1].count == 2


def test_response_shorter_than_its_content_length_fails_the_attempt(server, upstream):
    upstream.respond = lambda request: Response(200, [encode()[:9]], headers=(CONTENT_LENGTH,))
    frames = list(server.serve(make_attempt(is_idempotent=True), Context()))
    assert isinstance(frames[-1], Failed)
    assert not any(isinstance(frame, Data) for frame in frames)


CONTENT_LENGTH = ("Content-Length", "500")


def test_late_second_response_of_a_service_is_not_that_to_the_next_request():
    bodies = [b"first", b"second"]
    count = iter(range(len(bodies)))

    def serve(connection):
        with connection, contextlib.suppress(OSError):
            sent = b""
            while data := connection.recv(65536):
                if not data.endswith(b"{}"):
                    continue
                body = bodies[next(count)]
                chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
                response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
                # What was sent before comes once more, where the next response is expected.
                connection.sendall(sent + response)
                sent = response

    def accept(listener):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=serve, args=(connection,), daemon=True).start()

    received = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=accept, args=(listener,), daemon=True).start()
        engine = EngineClient(f"http://127.0.0.1:{listener.getsockname()[1]}")
        for _ in bodies:
            request = make_attempt(digest="", is_idempotent=True)
            deadline = time.monotonic() + 5.0
            call = UpstreamCall(engine, request, deadline, lambda: None, lambda o: o, False)
            call.run()
            received.append(call.items.get_nowait())
        listener.shutdown(socket.SHUT_RDWR)
    assert received == bodies


def test_waiting_attempt_sends_keep_alive_frames_and_counts_as_running(server, upstream, state):
    released = threading.Event()
    upstream.respond = lambda request: released.wait(5.0) and Response.json(CHUNK)
    frames = server.serve(make_attempt(), Context())
    assert isinstance(next(frames), KeepAlive)
    assert state.running == 1
    released.set()
    assert isinstance(list(frames)[-1], End)
    assert state.running == 0


def test_cancelled_keyed_request_continues_and_its_repeat_is_answered(server, upstream, state):
    released = threading.Event()
    upstream.respond = lambda request: released.wait(5.0) and Response.json(CHUNK)
    context = Context()
    frames = server.serve(make_attempt(key="k1"), context)
    assert isinstance(next(frames), KeepAlive)
    context.cancel()
    frames.close()
    repeat = server.serve(make_attempt(key="k1"), Context())
    assert isinstance(next(repeat), KeepAlive)
    state.leave()
    released.set()
    assert isinstance(list(repeat)[-1], End)
    assert upstream.runs == 1
    assert state.wait_until_idle(5.0)


def test_busy_agent_refuses_without_running(upstream, state):
    server = make_server(upstream, state, concurrency=1)
    assert state.begin_attempt(DIGEST) == ""
    frames = list(server.serve(make_attempt(key="k1"), Context()))
    assert isinstance(frames[-1], Refused)
    state.end_attempt()
    assert isinstance(list(server.serve(make_attempt(key="k1"), Context()))[-1], End)
    assert upstream.runs == 1


def test_repeat_of_a_failed_keyed_request_fails_without_waiting(server, upstream):
    upstream.respond = lambda request: Response(200, [b"{}"], headers=(CONTENT_LENGTH,))
    first = list(server.serve(make_attempt(key="k1"), Context()))
    second = list(server.serve(make_attempt(key="k1"), Context()))
    assert isinstance(first[-1], Failed)
    assert [type(frame) for frame in second] == [Failed]
    assert upstream.runs == 1


def test_internal_error_has_an_uncertain_outcome():
    def fail():
        raise ValueError("broken")

    outcomes = []
    call = UpstreamCall(None, make_attempt(), 0.0, fail, outcomes.append, False)
    with pytest.raises(ValueError, match="broken"):
        call.run()
    assert isinstance(outcomes[0], Uncertain)
