"""Ways in which a response of a replica ends early, and what a caller may be shown of each."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum

from hibiscustray.platform.standins import ATTEMPT_ID, SERVER_SEAL, ReceivedRequest
from tests.platform.quiet import BODY, EVENTS, KINDS, STREAM, encode_chunk
from tests.platform.raw_caller import End, RawResponse

REPEATABLE = ("resumable", "idempotent")
OTHER_BODY = b"host" * 1000
"""Body of the second replica's response to an idempotent request."""
FIRST_SEAL, SECOND_SEAL = "seal-1", "seal-2"
SHORT_DEADLINE_S = 0.7
"""Deadline of the requests that can only end with it."""
LONG_DEADLINE_S = 4.0
MAX_LATE_S = 0.5
"""Time after the deadline by which the users want a response to have ended."""
PROMPT_S = 2.0
"""Time for what is known to be whole, half the deadline."""
BREAK_S = 0.02
HOLD_S = 8.0
"""Longest time for which a replica leaves a connection open."""
FAILURES = frozenset((502, 504))
"""Statuses that promise nothing."""
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request has not run."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Form(StrEnum):
    """What marks the end of a replica's response, and its version of HTTP."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    OLD = "old"
    """HTTP/1.0, ended by the connection."""

    @property
    def is_marked(self) -> bool:
        """Return whether the response has a mark of its end."""
        return self in (Form.LENGTH, Form.CHUNKS)


class Stop(StrEnum):
    """What a replica does at the place where its response stops."""

    CLOSE = "close"
    RESET = "reset"
    SHUT = "shut"
    """It ends sending and leaves the connection open."""
    SILENCE = "silence"
    BREAK = "break"
    """It goes on after `BREAK_S`."""
    PAUSE = "pause"
    """It goes on once another replica has responded in its place."""
    SECOND = "second"
    """A second response follows."""
    GARBAGE = "garbage"
    """Bytes follow that are no response, and then nothing."""


ENDING = (Stop.CLOSE, Stop.SHUT, Stop.BREAK)
"""Stops with an orderly end."""


@dataclass(frozen=True)
class Sent:
    """What a replica has sent up to some place: bytes, and of the body `body`."""

    data: bytes
    body: bytes = b""
    has_head: bool = False
    has_mark: bool = False

    @property
    def events(self) -> bytes:
        """Return the whole events of the body."""
        end = self.body.rfind(b"\n\n")
        return self.body[: end + 2] if end >= 0 else b""


@dataclass
class Cell:
    """A request whose first response stops at a place; further ones are sound.

    `version` is the caller's version of HTTP, `skipped` the number of events before the first that
    the response has, and `received` has the requests that replicas got.
    `left_at` is the monotonic time at which the entry left a replica that kept its connection open.
    """

    kind: str
    form: Form
    status: int
    place: str
    stop: Stop
    version: str
    replicas: int
    number: int = 0
    skipped: int = 0
    received: list[ReceivedRequest] = field(default_factory=list)
    left_at: float = 0.0
    lock: threading.Lock = field(default_factory=threading.Lock, repr=False)
    is_answered: threading.Event = field(default_factory=threading.Event, repr=False)

    @property
    def name(self) -> str:
        """Return what tells the cell from the others."""
        replicas = "one replica" if self.replicas == 1 else "two replicas"
        caller = f"caller of HTTP/{self.version}"
        return f"{self.kind}/{self.form}/{self.status}/{self.place}/{self.stop}/{caller}/{replicas}"

    @property
    def is_stream(self) -> bool:
        """Return whether the request is for a stream."""
        return KINDS[self.kind][2] == STREAM

    @property
    def may_repeat(self) -> bool:
        """Return whether another replica may and can be tried."""
        return self.kind in REPEATABLE and self.replicas > 1

    @property
    def path(self) -> str:
        """Return a path that no other cell has."""
        return f"/cell-{self.number}/1"

    @property
    def headers(self) -> dict[str, str]:
        """Return headers of the request, with parts of a prompt that no other cell has."""
        deadline_ms = int(self.find_deadline_s() * 1000)
        headers = {"X_Hibiscustray_Deadline_Ms": str(deadline_ms)}
        if self.is_stream:
            headers["X_Hibiscustray_Prompt_Prefix"] = f"a{self.number}:40,b{self.number}:60"
        return headers

    @property
    def service(self) -> str:
        """Return a service that no other cell has."""
        return f"service-{self.number}"

    def find_sent(self) -> Sent:
        """Return what the replica sends before it stops, for a request without an id."""
        return list_places(self, "")["whole" if self.stop is Stop.BREAK else self.place]

    def find_deadline_s(self) -> float:
        """Return the deadline of the request."""
        ends_late = self.stop is Stop.SILENCE and not self.find_sent().has_mark
        return SHORT_DEADLINE_S if ends_late and not self.may_repeat else LONG_DEADLINE_S

    def respond(self, request: ReceivedRequest, connection: socket.socket) -> None:
        """Send the first response up to the place, or a sound one to any further request."""
        with self.lock:
            self.received.append(request)
            is_first = len(self.received) == 1
        if is_first:
            self.stop_at_place(list_places(self, request.id), connection)
        else:
            connection.sendall(encode_sound(self, request))
            self.is_answered.set()

    def stop_at_place(self, places: dict[str, Sent], connection: socket.socket) -> None:
        """Send a response up to the place, and stop."""
        sent = places[self.place].data
        connection.sendall(sent)
        match self.stop:
            case Stop.CLOSE:
                return
            case Stop.RESET:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                connection.close()
                return
            case Stop.SHUT:
                connection.shutdown(socket.SHUT_WR)
            case Stop.BREAK:
                time.sleep(BREAK_S)
                connection.sendall(places["whole"].data[len(sent) :])
                return
            case Stop.PAUSE:
                self.is_answered.wait(HOLD_S)
                connection.sendall(places["whole"].data[len(sent) :])
                return
            case Stop.SECOND:
                connection.sendall(places["whole"].data)
            case Stop.GARBAGE:
                connection.sendall(b"\0seat\r\n" * 20)
        connection.settimeout(HOLD_S)
        try:
            connection.recv(1)
        finally:
            self.left_at = time.monotonic()


@dataclass
class SecondCell(Cell):
    """A repeatable request whose first response is reset, and whose second one stops at a place.

    The first response has `skipped` events; `first` is its form, None if it ends before it begins.
    """

    first: Form | None = None

    @property
    def name(self) -> str:
        """Return what tells the cell from the others."""
        return f"{super().name} after {self.first or 'nothing'}"

    @property
    def may_repeat(self) -> bool:
        """Return False, as both attempts are used."""
        return False

    def respond(self, request: ReceivedRequest, connection: socket.socket) -> None:
        """Send the first response and reset it, or the second one up to the place."""
        with self.lock:
            self.received.append(request)
            is_first = len(self.received) == 1
        if not is_first:
            self.stop_at_place(list_places(self, request.id), connection)
            return
        if self.first is not None:
            cell = Cell(self.kind, self.first, 200, "before a split event", Stop.RESET, "1.1", 2)
            connection.sendall(list_places(cell, request.id)[cell.place].data)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@dataclass(frozen=True)
class Shown:
    """What a caller may be shown; `body` None is the entry's own."""

    statuses: frozenset[int]
    body: bytes | None
    ends: frozenset[End]

    def __str__(self) -> str:
        ends = "/".join(sorted(self.ends))
        return f"{'/'.join(map(str, sorted(self.statuses)))} {_shorten(self.body)} {ends}"

    def matches(self, seen: RawResponse) -> bool:
        """Return whether a caller was shown this."""
        is_body_right = self.body is None or seen.body == self.body
        return seen.status in self.statuses and is_body_right and seen.end in self.ends


FAILURE = Shown(FAILURES, None, frozenset((End.WHOLE,)))
BROKEN = frozenset((End.CUT, End.RESET))


def find_shown(cell: Cell) -> list[Shown]:
    """Return what the caller of a cell may be shown, by what its replicas have sent."""
    sent = cell.find_sent()
    if cell.skipped:
        return [_show_resumed(cell, sent)]
    is_event_stream = cell.is_stream and cell.status == 200
    is_promise = cell.status in PROMISES
    if sent.has_mark and not is_promise and not _is_retried(cell):
        return [_show_whole(cell)]
    if _is_uncertain(cell, sent) and not is_promise and not _is_retried(cell):
        return [Shown(frozenset((cell.status,)), sent.body, frozenset((End.CLOSED,)))]
    has_begun = is_event_stream and bool(sent.events)
    if cell.may_repeat:
        first = [_show_whole(cell)] if cell.stop is Stop.PAUSE and not is_promise else []
        return [_show_second(cell, has_begun), *first]
    if not has_begun:
        return [FAILURE]
    is_reset = cell.version == "1.0" or not cell.form.is_marked
    ends = frozenset((End.RESET,)) if is_reset else BROKEN
    # The deadline may pass before an event has been passed on.
    late = [FAILURE] if cell.stop is Stop.SILENCE else []
    return [Shown(frozenset((200,)), sent.events, ends), *late]


def _show_resumed(cell: SecondCell, sent: Sent) -> Shown:
    body = b"".join(EVENTS[: cell.skipped]) + sent.events
    is_framed = cell.first.is_marked and cell.version == "1.1"
    if sent.has_mark:
        ends = frozenset((End.WHOLE if is_framed else End.CLOSED,))
    elif is_framed:
        ends = BROKEN
    elif _is_uncertain(cell, sent) and not cell.first.is_marked:
        ends = frozenset((End.CLOSED,))
    else:
        ends = frozenset((End.RESET,))
    return Shown(frozenset((200,)), body, ends)


def _is_retried(cell: Cell) -> bool:
    """Return whether a whole response is an error after which another replica is tried."""
    return cell.status != 200 and cell.kind == "idempotent" and cell.may_repeat


def _is_uncertain(cell: Cell, sent: Sent) -> bool:
    """Return whether what a replica has sent can't be told from a whole response."""
    if not sent.has_head or cell.form.is_marked or cell.stop not in ENDING:
        return False
    is_event_stream = cell.is_stream and cell.status == 200
    return not is_event_stream or bool(sent.body) and sent.body == sent.events


def _show_second(cell: Cell, has_begun: bool) -> Shown:
    if not cell.is_stream:
        return Shown(frozenset((200,)), OTHER_BODY, frozenset((End.WHOLE,)))
    has_mark = cell.version == "1.1" and (cell.form.is_marked or not has_begun)
    end = End.WHOLE if has_mark else End.CLOSED
    return Shown(frozenset((200,)), b"".join(EVENTS), frozenset((end,)))


def _show_whole(cell: Cell) -> Shown:
    is_streamed = cell.is_stream and cell.status == 200
    is_old = is_streamed and cell.version == "1.0"
    end = End.WHOLE if cell.form.is_marked and not is_old else End.CLOSED
    return Shown(frozenset((cell.status,)), _make_body(cell), frozenset((end,)))


def list_faults(cell: Cell, seen: RawResponse, took_s: float) -> Iterator[str]:
    """Yield what is wrong with what a caller was shown."""
    allowed = find_shown(cell)
    if not any(shown.matches(seen) for shown in allowed):
        texts = " or ".join(map(str, allowed))
        yield f"got {seen.status} {_shorten(seen.body)} {seen.end}, not {texts}"
    limit = 2 if cell.kind in REPEATABLE else 1
    if not 1 <= len(cell.received) <= limit:
        yield f"{len(cell.received)} replicas got the request"
    is_whole = cell.find_sent().has_mark
    limit_s = PROMPT_S if is_whole else cell.find_deadline_s() + MAX_LATE_S
    if took_s > limit_s:
        yield f"took {took_s:.2f} s"
    seal = seen.headers.get(SERVER_SEAL.lower())
    if seal == FIRST_SEAL and seen.status != cell.status:
        yield "the seal is that of another response"
    if (seen.body == OTHER_BODY) != (seal == SECOND_SEAL and not cell.is_stream):
        yield "the body is that of another response than the seal"


def _shorten(body: bytes | None) -> str:
    if body is None or len(body) < 80:
        return repr(body)
    return f"{body[:20]!r}...{body[-20:]!r} ({len(body)} bytes)"


def list_places(cell: Cell, request_id: str) -> dict[str, Sent]:
    """Return what a replica has sent at each place of its response to a request."""
    is_event_stream = cell.is_stream and cell.status == 200
    lines = {Form.LENGTH: f"Content-Length: {len(_make_body(cell))}\r\n"}
    lines[Form.CHUNKS] = "Transfer-Encoding: chunked\r\n"
    status_line = f"HTTP/{'1.0' if cell.form is Form.OLD else '1.1'} {cell.status} Status\r\n"
    parts = {
        "before the first byte": "",
        "within the status line": status_line[:11],
        "within a header": status_line[11:] + ATTEMPT_ID[:9],
        "before the seal": f"{ATTEMPT_ID[9:]}: {request_id}\r\n",
        "after the seal": f"{SERVER_SEAL}: {FIRST_SEAL}\r\n",
        "within the framing": lines.get(cell.form, "X-Type: a\r\n")[:-3],
        "before the empty line": lines.get(cell.form, "X-Type: a\r\n")[-3:]
        + ("Content-Type: text/event-stream\r\n" if is_event_stream else ""),
        "within the empty line": "\r",
    }
    data, places = b"", {}
    for place, text in parts.items():
        data += text.encode()
        places[place] = Sent(data)
    sent = Sent(data + b"\n", has_head=True)
    places["after the head"] = sent
    blocks = _split_body(cell)
    for before, place, block in blocks:
        if before:
            places[before] = sent
        if cell.form is Form.CHUNKS:
            places |= _list_places_in_chunk(sent, place, block)
            data = sent.data + _encode_padded_chunk(block)
        else:
            places[place] = _add(sent, block[:9], block[:9])
            data = sent.data + block
        sent = replace(sent, data=data, body=sent.body + block)
    if cell.form is Form.CHUNKS:
        places["before the last chunk"] = sent
        places["within the last chunk"] = _add(sent, b"0")
        places["within the line of the last chunk"] = _add(sent, b"0\r")
        sent = _add(sent, b"0\r\n")
        places["after the last chunk"] = replace(sent, has_mark=True)
        sent = _add(sent, b"\r\n")
    places["whole"] = replace(sent, has_mark=cell.form.is_marked)
    return places


def _list_places_in_chunk(sent: Sent, place: str, block: bytes) -> dict[str, Sent]:
    size = f"000{len(block):X}".encode()
    return {
        f"{place}, after the zeros of its size": _add(sent, b"000"),
        f"{place}, within its size": _add(sent, size[:-1]),
        f"{place}, within its size line": _add(sent, size + b"\r"),
        f"{place}, within its data": _add(sent, size + b"\r\n" + block[:9], block[:9]),
        f"{place}, before its end": _add(sent, size + b"\r\n" + block, block),
    }


def _encode_padded_chunk(block: bytes) -> bytes:
    return b"000" + encode_chunk(block)


def _split_body(cell: Cell) -> list[tuple[str, str, bytes]]:
    """Return the blocks of a body, each with the names of the places before and within it."""
    if not cell.is_stream or cell.status != 200:
        return [("", "first part", BODY[:1000]), ("between parts", "last part", BODY[1000:])]
    first, *middle, last = EVENTS
    blocks = [
        ("", "first event", first),
        ("between events", "second event", b"".join(middle[:1])),
        ("before a split event", "first part of an event", middle[1][:9]),
        ("within an event", "last part of an event", middle[1][9:]),
        ("", "fourth event", middle[2]),
        ("before the last event", "last event", last),
    ]
    return blocks[cell.skipped :]


def _make_body(cell: Cell) -> bytes:
    return b"".join(block for _, _, block in _split_body(cell))


def _add(sent: Sent, data: bytes, body: bytes = b"") -> Sent:
    return replace(sent, data=sent.data + data, body=sent.body + body)


def encode_sound(cell: Cell, request: ReceivedRequest) -> bytes:
    """Return the response of a sound replica, a stream after the last event that was received."""
    head = f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {request.id}\r\n{SERVER_SEAL}: {SECOND_SEAL}\r\n"
    if not cell.is_stream:
        return f"{head}Content-Length: {len(OTHER_BODY)}\r\n\r\n".encode() + OTHER_BODY
    chunks = b"".join(encode_chunk(event) for event in EVENTS[request.resume_after :])
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"
