"""Responses that replicas frame in different ways and end early, and what marks their end."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hibiscustray.soak.proxy import RESET_ON_CLOSE

FRAMINGS = ("length", "chunks", "connection")
"""What marks the end of a body; `connection` if only the end of the connection does."""
PLACES = ("head", "after head", "part", "between", "whole")
"""Where a response ends: within its head, right after it, within a part of the body, between two
parts, or nowhere early. Parts are the events of a stream, or blocks of a plain body.
"""
CHUNK_PLACES = (*PLACES, "size", "last chunk", "trailer")
"""The same for a body in chunks: also within the size of a chunk, before the last chunk, or before
the empty line after it.
"""
ENDINGS = ("close", "reset", "silence")
"""How a connection ends: in order, by a reset, or by a reset after a silence."""
HTTP_VERSIONS = ("1.1", "1.1", "1.0")
MAX_LATE_S = 0.3
"""Longest time from a whole response to a late second one."""
WHOLE_SHARE = 0.3
"""Share of whole responses beside those drawn as such; entries avoid replicas that only fail."""
UNMARKED_SHARE = 0.5
MIN_ENDS, MAX_ENDS = 2, 6
"""Number of ends that a replica uses in turn."""
LATE_SHARE = 0.5
"""Share of whole responses with a marked end that are followed by a second one."""
MAX_SILENCE_S = 3.0
"""Longest time for which a silent connection is kept open."""
PART_INTERVAL_S = 0.01
"""Time between two parts of a body."""
SIZE_DIGITS = 4
LAST_CHUNK, TRAILER_END = b"0\r\n", b"\r\n"


@dataclass(frozen=True)
class EarlyEnd:
    """How a replica frames a response, and where and how it ends it.

    `framing` is one of `FRAMINGS`, `place` one of `CHUNK_PLACES`, and `ending` one of `ENDINGS`.
    `share`, from 0 to 1, is how far in the head or in the parts that place is. `late_s` is the time
    in seconds after which a second response follows, None for no other.
    """

    framing: str
    place: str
    ending: str
    share: float = 0.5
    http_version: str = "1.1"
    late_s: float | None = None


def generate_early_ends(rng: random.Random) -> tuple[EarlyEnd, ...]:
    """Return ends for a replica to use in turn.

    Half of the times they are orderly ends without a mark only, after which entries do not avoid
    the replica.
    """
    count = rng.randint(MIN_ENDS, MAX_ENDS)
    if rng.random() < UNMARKED_SHARE:
        places = ("part", "between", "whole")
        return tuple(
            EarlyEnd("connection", rng.choice(places), "close", rng.random(), version)
            for version in rng.choices(HTTP_VERSIONS, k=count)
        )
    return tuple(generate_early_end(rng) for _ in range(count))


def generate_early_end(rng: random.Random) -> EarlyEnd:
    """Return a random end of a response."""
    framing = rng.choice((*FRAMINGS, "connection"))
    place = rng.choice(CHUNK_PLACES if framing == "chunks" else PLACES)
    if rng.random() < WHOLE_SHARE:
        place = "whole"
    ending, share = rng.choice((*ENDINGS, "close", "close")), rng.random()
    version, late_s = rng.choice(HTTP_VERSIONS), rng.uniform(0.0, MAX_LATE_S)
    is_late = place == "whole" and framing != "connection" and rng.random() < LATE_SHARE
    return EarlyEnd(
        framing,
        place,
        ending,
        share,
        "1.1" if framing == "chunks" else version,
        late_s if is_late else None,
    )


def send_response(
    connection: socket.socket,
    early: EarlyEnd,
    encode_head: Callable[..., bytes],
    parts: Sequence[bytes],
    on_end: Callable[[bytes], None],
) -> None:
    """Send a response with a body in parts up to its early end.

    `encode_head` returns a head with the header fields that it is passed. `on_end` is called with
    the body so far before an orderly end that is all that marks the end of the body.
    """
    fields = {
        "length": {"Content_Length": str(sum(map(len, parts)))},
        "chunks": {"Transfer_Encoding": "chunked"},
        "connection": {},
    }[early.framing]
    head = encode_head(**fields).replace(b"HTTP/1.1", f"HTTP/{early.http_version}".encode(), 1)
    if early.place == "head":
        connection.sendall(head[: 1 + int(early.share * (len(head) - 1))])
    else:
        connection.sendall(head)
        body = _send_body(connection, early, parts)
        if early.framing == "connection" and early.ending == "close":
            on_end(body)
    if early.late_s is not None:
        time.sleep(early.late_s)
        connection.sendall(encode_head(Content_Length="4") + b"late")
    _end(connection, early.ending)


def _send_body(connection: socket.socket, early: EarlyEnd, parts: Sequence[bytes]) -> bytes:
    """Send the body up to its early end; return the bytes of the body that were sent."""
    count, cut = _find_place(early, parts)
    is_chunked = early.framing == "chunks"
    for part in parts[:count]:
        connection.sendall(_encode_chunk(part) if is_chunked else part)
        time.sleep(PART_INTERVAL_S)
    sent = b"".join(parts[:count])
    if count < len(parts) and early.place in ("part", "size"):
        size, part = _encode_size(parts[count]), parts[count][:cut]
        if early.place == "size":
            connection.sendall(size[:cut])
            return sent
        connection.sendall(size + part if is_chunked else part)
        return sent + part
    if is_chunked and early.place in ("trailer", "whole"):
        connection.sendall(LAST_CHUNK + (TRAILER_END if early.place == "whole" else b""))
    return sent


def _find_place(early: EarlyEnd, parts: Sequence[bytes]) -> tuple[int, int]:
    """Return the number of whole parts, and of the bytes of the next one or of its size."""
    match early.place:
        case "after head":
            return 0, 0
        case "part" | "size" if parts:
            number = int(early.share * len(parts))
            size = SIZE_DIGITS if early.place == "size" else len(parts[number])
            return number, max(1, size // 2)
        case "between":
            return 1 + int(early.share * (len(parts) - 1)), 0
        case _:
            return len(parts), 0


def _end(connection: socket.socket, ending: str) -> None:
    """Prepare the end of a connection that is closed next."""
    if ending == "silence":
        connection.settimeout(MAX_SILENCE_S)
        with contextlib.suppress(TimeoutError):
            connection.recv(1)
    if ending != "close":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _encode_size(data: bytes) -> bytes:
    """Return the line before a chunk; the zeros look like the last chunk if the line is cut."""
    return f"{len(data):0{SIZE_DIGITS}X}\r\n".encode()


def _encode_chunk(data: bytes) -> bytes:
    return _encode_size(data) + data + b"\r\n"
