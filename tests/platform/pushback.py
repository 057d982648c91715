"""Replicas that turn requests away and ask for none for some time, and what reaches them."""

from __future__ import annotations

import http.client
import threading
import time
import uuid
from dataclasses import dataclass, field

from hibiscustray.platform.standins import ATTEMPT_ID, ReceivedRequest, reject
from hibiscustray.web.problem import PROBLEM_JSON
from tests.platform.quiet import BODY, EVENTS, KINDS, STREAM, Seen, split_body, split_stream
from tests.platform.site import HostedSite

GRACE_S = 0.5
"""Time after an answer with a pushback in which requests may still arrive."""
MAX_UNWANTED = 2
"""Requests that may arrive between that and the end of the pushback."""
MODEL = {
    "X-Hibiscustray-Model": "m",
    "X-Hibiscustray-Token-Count": "100,50",
    "X-Hibiscustray-Prompt-Prefix": "aa:40,bb:60",
}


@dataclass
class PushbackScript:
    """Responds in parts; while `pushback` is set, turns requests away with it as Retry-After.

    Requests are counted by the entry that is named by the first part of their ids. `work_s` is the
    time that each part of a response takes, and `silence_s` a silence before the head.
    """

    is_stream: bool
    pushback: str = ""
    work_s: float = 0.002
    silence_s: float = 0.0
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    answers: list[tuple[float, str, float]] = field(default_factory=list)

    def __call__(self, request: ReceivedRequest, connection) -> None:
        entry, pushback = request.id.partition("-")[0], self.pushback
        self.arrivals.append((time.monotonic(), entry))
        if pushback:
            self.answers.append((time.monotonic(), entry, float(pushback)))
            reject(503, Retry_After=pushback)(request, connection)
            return
        time.sleep(self.silence_s)
        for _, data in split_stream(request) if self.is_stream else split_body(request):
            time.sleep(self.work_s)
            connection.sendall(data)

    def push_back_once(self, seconds: float) -> threading.Timer:
        """Turn requests away from now on, and for `GRACE_S` after the first of them."""
        self.pushback = str(seconds)
        timer = threading.Timer(GRACE_S, self.accept)
        timer.start()
        return timer

    def accept(self) -> None:
        """Turn no more requests away."""
        self.pushback = ""

    def count_unwanted(self) -> int:
        """Return the most requests of an entry between the grace time and the end of a pushback."""
        return max(
            (
                sum(name == entry and at + GRACE_S < x < at + seconds for x, name in self.arrivals)
                for at, entry, seconds in self.answers
            ),
            default=0,
        )


def add_pushback(site: HostedSite, kind: str, pushback: str = "", **row) -> PushbackScript:
    """Add a replica for a kind of route and return its script."""
    service = KINDS[kind][2]
    script = PushbackScript(service == STREAM, pushback)
    site.add_replica(service, script, **row)
    return script


@dataclass(frozen=True)
class Answer:
    """What a caller saw, with the time that the call took.

    `retry_after_s` and `reason` are those of a refusal, 0 and "" without one.
    """

    seen: Seen
    retry_after_s: float
    took_s: float
    reason: str = ""


def ask(site: HostedSite, kind: str, entry: str = "e0", deadline_ms: int = 8000) -> Answer:
    """Send a request whose id names the entry, and read the response to its end."""
    method, path, service = KINDS[kind]
    body, model = (b"", {}) if method == "GET" else (b"p" * 50, {})
    if service == STREAM:
        model = MODEL
    headers = {
        ATTEMPT_ID: f"{entry}-{uuid.uuid4().hex}",
        "X-Hibiscustray-Deadline-Ms": str(deadline_ms),
    } | model
    started_at, retry_after_s, reason = time.monotonic(), 0.0, ""
    try:
        response, data = site.call(method, path, body, **headers)
    except (OSError, http.client.HTTPException) as error:
        result = f"no whole response: {error!r}"
    else:
        is_whole = data == (b"".join(EVENTS) if service == STREAM else BODY)
        result = "whole" if response.status == 200 and is_whole else f"status {response.status}"
        retry_after_s = float(response.headers.get("Retry-After", 0))
        if response.headers.get("Content-Type") == PROBLEM_JSON:
            reason = data.decode()
    ended_at = time.monotonic()
    return Answer(Seen(result, ended_at), retry_after_s, ended_at - started_at, reason)


class Callers:
    """Threads that send requests of one kind to sites in turn until the end of a `with` block."""

    def __init__(self, sites: list[HostedSite], kind: str, threads: int, per_s: float) -> None:
        self.answers: list[tuple[float, Answer]] = []
        self._sites = sites
        self._kind = kind
        self._interval_s = threads / per_s
        self._is_stopped = False
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(threads)]

    def __enter__(self) -> Callers:
        for thread in self._threads:
            thread.start()
            time.sleep(self._interval_s / len(self._threads))
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped = True
        for thread in self._threads:
            thread.join()

    def list_results(self, since: float = 0.0) -> list[str]:
        """Return the results of requests that were sent since a monotonic time."""
        return [answer.seen.result for sent_at, answer in list(self.answers) if sent_at >= since]

    def list_failures(self) -> list[str]:
        """Return the results and reasons of requests that were not answered whole."""
        return [
            f"{answer.seen.result} {answer.reason}"
            for _, answer in list(self.answers)
            if answer.seen.result != "whole"
        ]

    def _run(self, number: int) -> None:
        while not self._is_stopped:
            number += len(self._threads) + 1
            chosen, started_at = number % len(self._sites), time.monotonic()
            answer = ask(self._sites[chosen], self._kind, f"e{chosen}")
            self.answers.append((started_at, answer))
            time.sleep(max(0.0, started_at + self._interval_s - time.monotonic()))
