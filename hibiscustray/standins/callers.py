"""Stand-in for callers that sends requests to entries and checks every response."""

from __future__ import annotations

import itertools
import random
import ssl
import threading
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from hibiscustray.exceptions import UpstreamError
from hibiscustray.standins.tokens import make_text
from hibiscustray.web import HttpClient

DEADLINE_MS = 20_000
SEED_STRIDE = 1000
"""Keeps the seeds of the threads' random generators apart between runs with consecutive seeds."""
EVENT_PREFIX = b"data: "


@dataclass(frozen=True)
class CallerResult:
    """Outcome of one request at its caller.

    `is_wrong` is true if the response is incorrect or belongs to another request, `is_cut` if it
    was truncated.
    """

    reference: str
    outcome: str
    tokens: int = 0
    digests: frozenset[str] = frozenset()
    is_wrong: bool = False
    is_cut: bool = False
    detail: str = ""


class Callers:
    """Sends requests from a fixed number of threads until stopped."""

    def __init__(
        self,
        urls: Sequence[str],
        keys: Sequence[str] | str,
        model_service: str,
        plain_services: Sequence[str] | str,
        seed: int,
        think_s: float = 0.0,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.results: list[CallerResult] = []
        self.clients = [HttpClient(url, 60.0, context) for url in urls]
        self._keys = [keys] if isinstance(keys, str) else list(keys)
        self._model_service = model_service
        self._plain_services = (
            [plain_services] if isinstance(plain_services, str) else list(plain_services)
        )
        self._seed = seed
        self._think_s = think_s
        self._counter = itertools.count()
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []

    def start(self, threads: int) -> None:
        """Start the threads that send requests."""
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let the requests in flight finish and stop all threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def count_outcomes(self) -> Counter[str]:
        """Return the number of requests by outcome."""
        return Counter(result.outcome for result in self.results)

    def chat(self, client: HttpClient, key: str, is_stream: bool) -> CallerResult:
        """Send one chat request and check its response."""
        prompt = f"prompt {next(self._counter)} {uuid.uuid4().hex[:8]}"
        count = 8 + next(self._counter) % 24
        body = {
            "model": self._model_service,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": count,
            "stream": is_stream,
        }
        stream = client.open(
            "POST", "/v1/chat/completions", msgspec.json.encode(body), _make_headers(key)
        )
        try:
            if stream.status != 200:
                return _read_problem(prompt, stream.read_all())
            if is_stream:
                return self._check_stream(stream, prompt, count)
            completion = msgspec.json.decode(stream.read_all())
            text = completion["choices"][0]["message"]["content"]
            return _check_text(prompt, count, text, {completion["system_fingerprint"]})
        finally:
            stream.close()

    def book(self, client: HttpClient, key: str, service: str) -> CallerResult:
        """Send one booking that must run at most once, and check its response."""
        reference = uuid.uuid4().hex
        headers = _make_headers(key) | {
            "Idempotency-Key": reference,
            "Hibiscustray-Retry-Count": "0",
        }
        body = msgspec.json.encode({"reference": reference})
        response = client.call("POST", f"/v1/services/{service}", body, headers)
        booking = msgspec.json.decode(response.body)
        if response.status != 200:
            return _read_problem(reference, response.body)
        is_correct = booking["reference"] == reference and booking["run"] == 1
        return CallerResult(reference, "answered", is_wrong=not is_correct)

    def _run(self, index: int) -> None:
        rng = random.Random(self._seed * SEED_STRIDE + index)
        key = self._keys[index % len(self._keys)]
        while not self._stopping.wait(rng.uniform(0.0, 2 * self._think_s)):
            result = self._send(rng, key)
            with self._lock:
                self.results.append(result)

    def _send(self, rng: random.Random, key: str) -> CallerResult:
        client = rng.choice(self.clients)
        try:
            match rng.randrange(3):
                case 0:
                    return self.book(client, key, rng.choice(self._plain_services))
                case 1:
                    return self.chat(client, key, is_stream=True)
                case _:
                    return self.chat(client, key, is_stream=False)
        except UpstreamError as error:
            return CallerResult("", "unknown", is_cut=True, detail=str(error))

    def _check_stream(self, stream, prompt: str, count: int) -> CallerResult:
        text, digests = "", set()
        for line in stream.read_lines():
            if not line.startswith(EVENT_PREFIX):
                continue
            payload = line[len(EVENT_PREFIX) :].strip()
            if payload == b"[DONE]":
                stream.read_all()
                return _check_text(prompt, count, text, digests)
            event = msgspec.json.decode(payload)
            if "error" in event:
                return _read_problem(prompt, msgspec.json.encode(event["error"]))
            text += event["choices"][0]["delta"]["content"]
            digests.add(event["system_fingerprint"])
        return CallerResult(prompt, "unknown", count, frozenset(digests), is_cut=True)


def _make_headers(key: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {key}",
        "Hibiscustray-Deadline-Ms": str(DEADLINE_MS),
        "Content-Type": "application/json",
    }


def _check_text(prompt: str, count: int, text: str, digests: set[str]) -> CallerResult:
    is_correct = len(digests) == 1 and text == make_text(next(iter(digests)), prompt, count)
    return CallerResult(prompt, "answered", count, frozenset(digests), is_wrong=not is_correct)


def _read_problem(reference: str, body: bytes) -> CallerResult:
    problem = msgspec.json.decode(body)
    return CallerResult(reference, problem["outcome"], detail=problem["detail"])
