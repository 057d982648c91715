"""Ends of responses: what is cut, malformed or cancelled must not be taken for whole."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable

import pytest

from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.web import Framing, HttpClient

HEAD = b"HTTP/1.1 200 OK\r\nX-Seal: seal-1\r\n"
BODY = b"seat" * 5
CHUNKS = b"0008\r\nseatseat\r\n00000C;a=b\r\nseatseatseat\r\n000\r\n"
TIMEOUT_S = 2.0


def serve(respond: Callable[[socket.socket], None]) -> HttpClient:
    """Serve one connection: read a part of the request and respond. Return a client for it."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        connection, _ = listener.accept()
        with listener, connection, contextlib.suppress(OSError):
            connection.recv(1024)
            respond(connection)

    threading.Thread(target=run, daemon=True).start()
    return HttpClient(f"http://127.0.0.1:{listener.getsockname()[1]}", TIMEOUT_S)


def serve_bytes(data: bytes) -> HttpClient:
    return serve(lambda connection: connection.sendall(data))


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def test_head_cut_at_any_byte_raises():
    head = HEAD + b"Content-Length: 20\r\n\r\n"
    for cut in range(len(head)):
        with pytest.raises(UpstreamConnectionLost):
            serve_bytes(head[:cut]).open("GET", "/")


def test_interim_response_cut_at_any_byte_raises():
    interim = b"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"
    for cut in range(len(interim) + 1):
        with pytest.raises(UpstreamConnectionLost):
            serve_bytes(interim[:cut]).open("GET", "/")


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_response_is_not_taken_for_the_final_one(status):
    interim = f"HTTP/1.1 {status} Interim\r\nLink: a\r\n\r\n".encode()
    data = 2 * interim + HEAD + b"Content-Length: 20\r\n\r\n" + BODY
    response = serve_bytes(data).call("GET", "/")
    assert (response.status, response.body) == (200, BODY)
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(interim).call("GET", "/")


def test_switch_of_protocols_that_was_not_asked_for_raises():
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + BODY).open("GET", "/")


def test_body_with_a_length_cut_at_any_byte_raises():
    for cut in range(len(BODY)):
        with pytest.raises(UpstreamConnectionLost):
            serve_bytes(HEAD + b"Content-Length: 20\r\n\r\n" + BODY[:cut]).call("GET", "/")


def test_body_in_chunks_cut_at_any_byte_before_the_end_of_the_last_chunk_raises():
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for cut in range(len(CHUNKS)):
        with pytest.raises(UpstreamConnectionLost):
            serve_bytes(head + CHUNKS[:cut]).call("GET", "/")
        with pytest.raises(UpstreamConnectionLost):
            list(serve_bytes(head + CHUNKS[:cut]).open("GET", "/").read_lines())


@pytest.mark.parametrize("trailer", [b"", b"\r", b"X-A: b", b"X-A: b\r\n", b"\r\n", b"\r\nmore"])
def test_body_in_chunks_is_whole_from_the_last_chunk_on(trailer):
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS + trailer
    assert serve_bytes(data).call("GET", "/").body == BODY


@pytest.mark.parametrize("end", [reset, lambda _: time.sleep(TIMEOUT_S)], ids=["reset", "silent"])
def test_whole_body_in_chunks_does_not_wait_for_its_trailer(end):
    def respond(connection: socket.socket) -> None:
        connection.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS)
        end(connection)

    started_at = time.monotonic()
    assert serve(respond).call("GET", "/").body == BODY
    assert time.monotonic() - started_at < TIMEOUT_S / 2


@pytest.mark.parametrize(
    "size", [b"-8", b"+8", b"0x8", b"0_8", b"", b"8 8", b"8" * 20, b"\xef\xbc\x98"]
)
def test_malformed_chunk_size_raises(size):
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + size + b"\r\nseatseat\r\n0\r\n\r\n"
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(data).call("GET", "/")


def test_chunk_that_is_longer_than_its_size_raises():
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nseatseat\r\n0\r\n\r\n"
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(data).call("GET", "/")


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 2O\r\n",
        b"Content-Length: -20\r\n",
        b"Content-Length: +20\r\n",
        b"Content-Length: 2_0\r\n",
        b"Content-Length:\r\n",
        b"Content-Length: 20, 16\r\n",
        b"Content-Length: 16\r\nContent-Length: 20\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: identity\r\nContent-Length: 20\r\n",
    ],
)
def test_unknown_framing_raises_rather_than_that_the_connection_ends_the_body(lines):
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(HEAD + lines + b"\r\n" + BODY).open("GET", "/")


@pytest.mark.parametrize(
    "line",
    [b"garbage", b"Content-Length : 20", b"X-\xc3\xa9: b", b"X-A: b\r", b"X-A: b\r\rX-B: c"],
)
def test_malformed_header_line_does_not_hide_the_length(line):
    data = HEAD + line + b"\r\nContent-Length: 20\r\n\r\n" + BODY[:10]
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(data).call("GET", "/")


@pytest.mark.parametrize("fold", [b"\r\n ", b"\n\t", b" \r\n  \r\n "])
def test_folded_header_is_read_as_one_line(fold):
    data = HEAD + b"X-A: b" + fold + b"c\r\nContent-Length:" + fold + b"20\r\n\r\n" + BODY
    response = serve_bytes(data).call("GET", "/")
    assert (response.headers["x-a"], response.body) == ("b c", BODY)


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"no header\r\n",
        b"X-A : b\r\n",
        b": b\r\n",
        b"X\xe9: b\r\n",
        b"\0\0: b\r\n",
        b"X-A: b\0\r\n",
        b"From a\r\n",
    ],
)
@pytest.mark.parametrize("lines", [b"Content-Length: 20\r\n", b"Transfer-Encoding: chunked\r\n"])
def test_line_that_is_no_header_raises_rather_than_that_it_ends_the_head(line, lines):
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(HEAD + line + lines + b"\r\n" + CHUNKS).open("GET", "/")


@pytest.mark.parametrize("line", [b"X-A: b\rX-B: c\r\n", b" folded\r\n", b"X-A: b\r\r\n"])
@pytest.mark.parametrize("lines", [b"Content-Length: 20\r\n", b"Transfer-Encoding: chunked\r\n"])
def test_bare_cr_or_fold_does_not_hide_the_framing(line, lines):
    body = BODY if b"Length" in lines else CHUNKS
    data = HEAD + line + lines + b"\r\n" + body
    assert serve_bytes(data).call("GET", "/").body == BODY
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(data[:-6]).call("GET", "/")


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_response_is_not_taken_for_the_response(status):
    interim = f"HTTP/1.1 {status} Status\r\nX-Seal: seal-1\r\nContent-Length: 3\r\n\r\n".encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
    response = serve_bytes(2 * interim + head + BODY).call("GET", "/")
    assert (response.status, response.body) == (200, BODY)
    assert "x-seal" not in response.headers


def test_change_of_protocol_raises():
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(HEAD.replace(b"200", b"101") + b"\r\n" + BODY).open("GET", "/")


@pytest.mark.parametrize("line", [b"HTTP/1.1 2_00", b"HTTP/1.1 200\0", b"HTTP/1.7 200 OK", b"seat"])
def test_malformed_status_line_raises(line):
    with pytest.raises(UpstreamConnectionLost):
        serve_bytes(line + b"\r\nContent-Length: 20\r\n\r\n" + BODY).open("GET", "/")


@pytest.mark.parametrize(
    "head, framing",
    [
        (HEAD + b"Content-Length: 20\r\n\r\n", Framing.LENGTH),
        (HEAD + b"Content-Length: 20\r\nContent-Length: 20\r\n\r\n", Framing.LENGTH),
        (HEAD + b"Transfer-Encoding: Chunked\r\n\r\n", Framing.CHUNKS),
        (HEAD + b"\r\n", Framing.CONNECTION),
        (HEAD.replace(b"1.1", b"1.0") + b"\r\n", Framing.CONNECTION),
        (b"HTTP/1.1 204 No Content\r\n\r\n", Framing.LENGTH),
        (b"HTTP/1.1 200\nX-A:b\nContent-Length:20\n\n", Framing.LENGTH),
        (HEAD + b"Content-Type: multipart/mixed\r\nContent-Length: 20\r\n\r\n", Framing.LENGTH),
    ],
)
def test_framing_tells_what_marks_the_end_of_the_body(head, framing):
    stream = serve_bytes(head + BODY).open("GET", "/")
    assert stream.framing is framing
    stream.close()


def test_body_that_its_connection_ends_is_not_whole_after_a_reset():
    def respond(connection: socket.socket) -> None:
        connection.sendall(HEAD + b"\r\n" + BODY)
        time.sleep(0.2)
        reset(connection)

    with pytest.raises(UpstreamConnectionLost):
        serve(respond).call("GET", "/")


def test_body_that_its_connection_ends_is_not_whole_after_a_reset_that_sending_has_met():
    def respond(connection: socket.socket) -> None:
        connection.sendall(HEAD + b"\r\n" + BODY)
        time.sleep(0.2)
        # What is left unread makes the kernel reset the connection.
        connection.close()

    with pytest.raises(UpstreamConnectionLost):
        serve(respond).call("POST", "/", b"p" * 32 * 1024 * 1024)


def test_body_with_a_length_is_whole_although_the_request_was_not_read():
    def respond(connection: socket.socket) -> None:
        connection.sendall(HEAD + b"Content-Length: 20\r\n\r\n" + BODY)
        time.sleep(0.2)
        connection.close()

    assert serve(respond).call("POST", "/", b"p" * 32 * 1024 * 1024).body == BODY


@pytest.mark.parametrize("read", ["read_block", "read_lines"])
def test_body_that_its_connection_ends_is_not_whole_when_reading_is_cancelled(read):
    ended = threading.Event()

    def respond(connection: socket.socket) -> None:
        connection.sendall(HEAD + b"\r\nseat\n")
        ended.wait(TIMEOUT_S)

    stream = serve(respond).open("GET", "/")
    threading.Timer(0.2, stream.abort).start()
    with pytest.raises(UpstreamConnectionLost):
        if read == "read_lines":
            list(stream.read_lines())
        else:
            while stream.read_block():
                pass
    ended.set()
    stream.close()
