"""Callers that send requests over persistent connections and follow `Retry-After`."""

from __future__ import annotations

import http.client
import random
import threading
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import replace

from hibiscustray.soak.guarantees import NOT_RUN_STATUSES, GuaranteeChecker
from hibiscustray.soak.interface import StandIns
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import SoakOutcome, SoakRequest
from hibiscustray.soak.replicas import EVENTS_PER_STREAM
from hibiscustray.soak.schedule import HarmfulRequest

MEAN_THINK_TIME_S = 0.03
"""Mean time between a response and the next request of one caller."""
CONNECT_ALLOWANCE_S = 1.0
"""Time added to `READ_TIMEOUT_S` when waiting for a caller's last request to end."""
UNREACHABLE_PAUSE_S = 0.3
"""Time before the next request of a caller after an entry refused its connection."""
DEADLINE_S = 2.5
"""Deadline that callers send with each request."""
READ_TIMEOUT_S = 6.0
"""Timeout of a caller's connection, well beyond any deadline."""
MAX_REFUSED_PAUSE_S = 0.6
"""Longest time before the next request after a refusal, even if `Retry-After` is longer."""
REQUEST_KINDS = (
    ("book", "POST", "/book/"),
    ("look", "GET", "/book/look/"),
    ("draft", "POST", "/draft/"),
)
"""Kinds of requests with method and path prefix: a booking, which must run at most once, a lookup
of a booking, which may run again, and a stream.
"""
METHODS = {kind: method for kind, method, _ in REQUEST_KINDS}
PREFIXES = {kind: prefix for kind, _, prefix in REQUEST_KINDS}
MEAN_REPEAT_INTERVAL_S = 0.8
"""Mean time between two requests of one caller that repeats a harmful request."""
COMPANION_SHARE = 0.5
"""Share of its requests that are sound, but for one property like the harmful one."""
HARMFUL_PROMPT = "aa:40,c{number}:30,bb:60"
"""Prompt of a stream with a harmful part between those of the sound ones."""


class Caller:
    """Sends one request after another to randomly chosen entries, in a thread of its own."""

    def __init__(
        self,
        seed: str,
        entries: Sequence[EntryProgram],
        standins: StandIns,
        checker: GuaranteeChecker,
        choose_key: Callable[[random.Random], str],
        stop_event: threading.Event,
    ) -> None:
        self._rng = random.Random(seed)
        self._entries = entries
        self._standins = standins
        self._checker = checker
        self._choose_key = choose_key
        self._stop_event = stop_event
        self._connections: dict[int, tuple[int | None, http.client.HTTPConnection]] = {}
        self._thread = threading.Thread(target=self._run, name=f"caller-{seed}", daemon=True)

    def start(self) -> None:
        """Start to send requests."""
        self._thread.start()

    def join(self) -> None:
        """Wait until the last request has ended."""
        self._thread.join(READ_TIMEOUT_S + CONNECT_ALLOWANCE_S)

    def _run(self) -> None:
        while not self._stop_event.is_set():
            number = self._rng.randrange(len(self._entries))
            retry_after_s = self._send(number)
            self._stop_event.wait(self._find_pause(retry_after_s))

    def _find_pause(self, retry_after_s: float) -> float:
        return min(MAX_REFUSED_PAUSE_S, retry_after_s) or self._rng.expovariate(
            1 / MEAN_THINK_TIME_S
        )

    def _send(self, number: int) -> float:
        """Send a request to an entry; return the seconds to wait, or 0 to wait for a think time."""
        request = self._make_request(number)
        method = METHODS[request.kind]
        self._checker.record_request(request)
        pid, connection = self._open_connection(number)
        try:
            response = self._standins.call_entry(
                connection,
                method,
                request.path,
                request.body,
                request.id,
                request.key,
                request.deadline_s,
                request.prompt,
            )
        except ConnectionRefusedError:
            self._checker.record_unreachable(request)
            return UNREACHABLE_PAUSE_S
        except (OSError, http.client.HTTPException):
            connection.close()
            self._checker.record_outcome(
                SoakOutcome(request, 0, False, b"", ResponseEnd.CUT, time.monotonic())
            )
            return 0.0
        self._checker.record_outcome(
            SoakOutcome(
                request,
                response.status,
                response.is_sealed,
                response.body,
                response.end,
                time.monotonic(),
            )
        )
        if response.is_connection_closed:
            connection.close()
        else:
            self._connections[number] = pid, connection
        return response.retry_after_s if response.status in NOT_RUN_STATUSES else 0.0

    def _make_request(self, number: int) -> SoakRequest:
        kind, method, prefix = self._rng.choice(REQUEST_KINDS)
        body = b"" if method == "GET" else self._rng.randbytes(self._rng.randint(1, 900))
        return self._address(number, kind, f"{prefix}{self._rng.randint(1, 9)}", body)

    def _address(self, number: int, kind: str, path: str, body: bytes) -> SoakRequest:
        return SoakRequest(
            uuid.UUID(int=self._rng.getrandbits(128)).hex,
            kind,
            number,
            path,
            body,
            self._choose_key(self._rng),
            time.monotonic(),
            DEADLINE_S,
            EVENTS_PER_STREAM if kind == "draft" else 0,
        )

    def _open_connection(self, number: int) -> tuple[int | None, http.client.HTTPConnection]:
        """Return an open connection and the process that it leads to, or a new one."""
        pid, connection = self._connections.pop(number, (None, None))
        current_pid = self._entries[number].pid
        if connection is not None and pid == current_pid:
            return pid, connection
        return current_pid, self._connect(number)

    def _connect(self, number: int) -> http.client.HTTPConnection:
        host, _, port = self._entries[number].callers_address.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=READ_TIMEOUT_S)


class HarmfulCaller(Caller):
    """Repeats one harmful request at all entries, without regard to refusals.

    Between the repeats, it sends sound requests with the same path, or with the same path and body
    if a part of the prompt is harmful.
    """

    def __init__(self, harmful: HarmfulRequest, seed: str, *arguments) -> None:
        super().__init__(seed, *arguments)
        self._harmful = harmful

    def _find_pause(self, retry_after_s: float) -> float:
        return self._rng.expovariate(1 / MEAN_REPEAT_INTERVAL_S)

    def _make_request(self, number: int) -> SoakRequest:
        is_companion = self._rng.random() < COMPANION_SHARE
        harm_number = self._harmful.number
        harm = f"harmful {self._harmful.kind} {harm_number}"
        match self._harmful.kind:
            case "look":
                # Without a body, a sound lookup of the same path would be the same request.
                path = PREFIXES["look"] + ("1" if is_companion else f"h{harm_number}")
                request = self._address(number, "look", path, b"")
            case "part":
                prompt = HARMFUL_PROMPT.format(number=harm_number)
                path = f"{PREFIXES['draft']}{self._rng.randint(1, 9)}"
                request = self._address(number, "draft", path, self._rng.randbytes(9))
                if not is_companion:
                    request = replace(request, prompt=prompt)
            case kind:
                body = b"" if is_companion else f"harmful {harm_number}".encode()
                request = self._address(number, kind, f"{PREFIXES[kind]}1", body)
        return request if is_companion else replace(request, harm=harm)
