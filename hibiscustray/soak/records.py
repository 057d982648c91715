"""What callers and replicas of a soak observe, and the violations that follow from it."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.soak.reading import ResponseEnd

SOUND_PROMPT = "aa:40,bb:60"
"""Parts of the prompt of a sound stream with their sizes; the last one is its own."""
MAX_VERSION_AGE_S = 6.5
"""Time within which streams have to stop beginning on outdated weights, set for the entries.

It has to exceed 5.45 s: entries require a version 2.2 s before the bound and are checked from
`CONTACT_S` + 0.25 s after a pause, so otherwise a version dated by the end of a pause passes.
"""


EVENT_END = b"\n\n"


@dataclass(frozen=True)
class SoakRequest:
    """A request of a caller; `event_count` is the number of events of its stream, 0 for a body.

    `sent_at` is a monotonic time in seconds. `harm` names what in it ends replicas, "" for a sound
    request, and `prompt` the parts of a stream's prompt.
    """

    id: str
    kind: str
    entry: int
    path: str
    body: bytes
    key: str
    sent_at: float
    deadline_s: float
    event_count: int = 0
    harm: str = ""
    prompt: str = SOUND_PROMPT


@dataclass(frozen=True)
class SoakOutcome:
    """How a request ended for its caller; `status` is 0 if the connection failed.

    `end` is what the caller could tell of the response's end. `ended_at` is a monotonic time in
    seconds.
    """

    request: SoakRequest
    status: int
    is_sealed: bool
    body: bytes
    end: ResponseEnd
    ended_at: float

    @property
    def is_ended(self) -> bool:
        """Return whether the response appeared complete."""
        return self.end.appears_complete


@dataclass(frozen=True)
class Violation:
    """A violation of a guarantee, at a time in seconds since the start of the soak."""

    rule: str
    at_s: float
    detail: str


def make_body(request_id: str, body: bytes, event_count: int) -> bytes:
    """Return the body of the complete response to a request, which differs for each request."""
    if not event_count:
        return f"answer of {request_id} to {len(body)} bytes".encode()
    return b"".join(make_event(request_id, number) for number in range(1, event_count + 1))


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of the stream for a request."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
