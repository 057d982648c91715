"""Callers of a soak: they keep connections open until these end, and come back when told to."""

from __future__ import annotations

import http.client
import random
import threading
import time
import uuid
from collections.abc import Callable, Sequence

from hibiscustray.soak.interface import StandIns
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.promises import NOT_RUN_STATUSES, Answered, Asked, Promises
from hibiscustray.soak.replicas import EVENTS

THINK_S = 0.03
"""Mean time between an answer and the next request of one caller."""
CONNECT_S = 1.0
UNREACHABLE_S = 0.3
"""Time before a caller tries an entry again that takes no connections."""
DEADLINE_S = 2.5
ANSWER_S = 6.0
"""Time after which a caller stops reading, well beyond any deadline."""
CAME_BACK_S = 0.6
"""Longest wait before a request that was refused comes back."""
KINDS = (("book", "POST", "/book/"), ("look", "GET", "/book/look/"), ("draft", "POST", "/draft/"))


class Caller:
    """Sends one request after another to entries drawn at random, on a thread of its own."""

    def __init__(
        self,
        seed: str,
        entries: Sequence[EntryProgram],
        standins: StandIns,
        promises: Promises,
        choose_key: Callable[[random.Random], str],
        stopping: threading.Event,
    ) -> None:
        self._random = random.Random(seed)
        self._entries = entries
        self._standins = standins
        self._promises = promises
        self._choose_key = choose_key
        self._stopping = stopping
        self._open: dict[int, http.client.HTTPConnection] = {}
        self._thread = threading.Thread(target=self._run, name=f"caller-{seed}", daemon=True)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def join(self) -> None:
        """Wait for the end of the last request."""
        self._thread.join(ANSWER_S + CONNECT_S)

    def _run(self) -> None:
        while not self._stopping.is_set():
            number = self._random.randrange(len(self._entries))
            retry_after_s = self._send(number)
            pause_s = min(CAME_BACK_S, retry_after_s) or self._random.expovariate(1 / THINK_S)
            self._stopping.wait(pause_s)

    def _send(self, number: int) -> float:
        """Send a request to an entry; return the time to come back in, in seconds."""
        kind, method, prefix = self._random.choice(KINDS)
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        body = b"" if method == "GET" else self._random.randbytes(self._random.randint(1, 900))
        asked = Asked(
            request_id,
            kind,
            number,
            f"{prefix}{self._random.randint(1, 9)}",
            body,
            self._choose_key(self._random),
            time.monotonic(),
            DEADLINE_S,
            EVENTS if kind == "draft" else 0,
        )
        self._promises.note_asked(asked)
        connection = self._open.pop(number, None) or self._connect(number)
        try:
            answer = self._standins.call_entry(
                connection, method, asked.path, body, asked.id, asked.key, DEADLINE_S
            )
        except ConnectionRefusedError:
            self._promises.note_unreachable(asked)
            return UNREACHABLE_S
        except (OSError, http.client.HTTPException):
            connection.close()
            self._promises.note_answered(Answered(asked, 0, False, b"", False, time.monotonic()))
            return 0.0
        self._promises.note_answered(
            Answered(
                asked,
                answer.status,
                answer.is_sealed,
                answer.body,
                answer.is_ended,
                time.monotonic(),
            )
        )
        if answer.is_connection_closed:
            connection.close()
        else:
            self._open[number] = connection
        return answer.retry_after_s if answer.status in NOT_RUN_STATUSES else 0.0

    def _connect(self, number: int) -> http.client.HTTPConnection:
        host, _, port = self._entries[number].callers.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=ANSWER_S)
