"""Open-loop load: arrivals planned from a seed, sent on time regardless of earlier responses."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from hibiscustray.exceptions import UpstreamError
from hibiscustray.standins.site import make_team_key
from hibiscustray.standins.tokens import make_text
from hibiscustray.web import HttpClient
from hibiscustray.web.client import HttpStream

EVENT_PREFIX = b"data: "
SENDER_THREADS = 320
RESPONSE_GRACE_S = 3.0
"""Time after the deadline until a call without an outcome counts as hung."""
PREFIX_WORDS = 48
"""Words at the start of a prompt that all prompts of a team share."""
MS_PER_S = 1000
CHAT_DEADLINE_S = 5.0
BOOKING_DEADLINE_S = 5.0
MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS = 16, 48
REPEAT_SHARE = 0.1
REPEAT_DELAY_S = 0.2

ANSWERED = "answered"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
HUNG = "hung"


@dataclass(frozen=True)
class Mix:
    """Shares of request kinds; the rest are chat requests without streaming."""

    stream: float = 0.25
    booking: float = 0.15


@dataclass(frozen=True)
class Arrival:
    """One planned request; engines and services record its `reference` when they run it.

    `kind` is "stream" for a streamed chat request, "plain" for one without streaming, or "booking".
    """

    at_s: float
    team: str
    kind: str
    reference: str
    entry: int
    output_tokens: int
    is_repeated: bool


@dataclass(frozen=True)
class CallRecord:
    """One call as seen by its caller; with `is_repeat` it is the second call of its arrival.

    `sent_s` counts from the start of the run, the other times from the start of the call. Without
    streaming, `first_token_s` equals `completed_s`.
    """

    arrival: Arrival
    outcome: str
    request_id: str
    sent_s: float
    first_token_s: float
    completed_s: float
    deadline_s: float
    is_wrong: bool = False
    is_truncated: bool = False
    is_repeat: bool = False
    detail: str = ""

    @property
    def is_in_deadline(self) -> bool:
        """Return whether a complete response was received before the deadline."""
        return self.outcome == ANSWERED and self.completed_s <= self.deadline_s


def plan_arrivals(
    seed: int, seconds: float, rates: dict[str, float], mix: Mix, entries: int
) -> list[Arrival]:
    """Return the arrivals of independent Poisson processes, one per team, sorted by time."""
    arrivals = []
    for team, rate in rates.items():
        rng = random.Random(f"{seed}/{team}")
        at_s = rng.expovariate(rate)
        while at_s < seconds:
            arrivals.append(_plan_arrival(rng, at_s, team, mix, entries))
            at_s += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _plan_arrival(rng: random.Random, at_s: float, team: str, mix: Mix, entries: int) -> Arrival:
    uniform = rng.random()
    kind = "plain"
    if uniform < mix.stream:
        kind = "stream"
    elif uniform < mix.stream + mix.booking:
        kind = "booking"
    return Arrival(
        at_s=at_s,
        team=team,
        kind=kind,
        reference=f"{rng.getrandbits(64):016x}",
        entry=rng.randrange(entries),
        output_tokens=rng.randint(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
        is_repeated=rng.random() < REPEAT_SHARE,
    )


class LoadGenerator:
    """Sends planned arrivals to the entries and records the outcome of each call."""

    def __init__(self, urls: list[str], model_service: str, plain_service: str) -> None:
        self.records: list[CallRecord] = []
        self._clients = [HttpClient(url) for url in urls]
        self._model_service = model_service
        self._plain_service = plain_service
        self._lock = threading.Lock()
        self._started_at = 0.0

    def run(self, arrivals: list[Arrival]) -> list[CallRecord]:
        """Send all arrivals at their planned times and wait until all calls have an outcome."""
        self._started_at = time.monotonic()
        with ThreadPoolExecutor(SENDER_THREADS, thread_name_prefix="caller") as pool:
            for arrival in arrivals:
                delay_s = self._started_at + arrival.at_s - time.monotonic()
                if delay_s > 0:
                    time.sleep(delay_s)
                pool.submit(self._send, arrival)
        for client in self._clients:
            client.close()
        return self.records

    def _send(self, arrival: Arrival) -> None:
        record = self._call(arrival, is_repeat=False)
        if arrival.kind == "booking" and (arrival.is_repeated or record.outcome != ANSWERED):
            time.sleep(REPEAT_DELAY_S)
            self._call(arrival, is_repeat=True)

    def _call(self, arrival: Arrival, is_repeat: bool) -> CallRecord:
        call = Call(self._clients[arrival.entry], arrival, is_repeat)
        sent_s = time.monotonic() - self._started_at
        try:
            if arrival.kind == "booking":
                record = call.book(self._plain_service, sent_s)
            else:
                record = call.chat(self._model_service, sent_s)
        except UpstreamError as error:
            record = call.make_failed_record(sent_s, str(error))
        with self._lock:
            self.records.append(record)
        return record


class Call:
    """Sends one call, checks its response and makes its record."""

    def __init__(self, client: HttpClient, arrival: Arrival, is_repeat: bool) -> None:
        self._client = client
        self._arrival = arrival
        self._is_repeat = is_repeat
        self._is_booking = arrival.kind == "booking"
        self._deadline_s = BOOKING_DEADLINE_S if self._is_booking else CHAT_DEADLINE_S
        self._started_at = time.monotonic()
        self._first_token_s = 0.0
        self._request_id = ""

    def chat(self, service: str, sent_s: float) -> CallRecord:
        """Send a chat request and check the response against the expected text."""
        prompt = make_prompt(self._arrival)
        body = {
            "model": service,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": self._arrival.output_tokens,
            "stream": self._arrival.kind == "stream",
        }
        stream = self._open("/v1/chat/completions", body)
        try:
            if stream.status != 200:
                return self._make_problem_record(sent_s, msgspec.json.decode(stream.read_all()))
            if self._arrival.kind == "stream":
                return self._check_stream(stream, prompt, sent_s)
            response = msgspec.json.decode(stream.read_all())
            text = response["choices"][0]["message"]["content"]
            return self._check_text(prompt, text, {response["system_fingerprint"]}, sent_s)
        finally:
            stream.close()

    def book(self, service: str, sent_s: float) -> CallRecord:
        """Send a booking with its reference as idempotency key and check the response."""
        reference = self._arrival.reference
        stream = self._open(f"/v1/services/{service}", {"reference": reference}, reference)
        try:
            response = msgspec.json.decode(stream.read_all())
        finally:
            stream.close()
        if stream.status != 200:
            return self._make_problem_record(sent_s, response)
        is_correct = response["reference"] == reference and response["run"] == 1
        return self._make_record(sent_s, ANSWERED, is_wrong=not is_correct)

    def make_failed_record(self, sent_s: float, detail: str) -> CallRecord:
        """Return the record of a call whose connection was lost or whose response did not come."""
        is_hung = time.monotonic() - self._started_at >= self._deadline_s + RESPONSE_GRACE_S
        outcome = HUNG if is_hung else UNKNOWN
        return self._make_record(sent_s, outcome, is_truncated=not is_hung, detail=detail)

    def _open(self, path: str, body: dict, key: str = "") -> HttpStream:
        headers = {
            "Authorization": f"Bearer {make_team_key(self._arrival.team)}",
            "Hibiscustray-Deadline-Ms": str(int(self._deadline_s * MS_PER_S)),
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
            headers["Hibiscustray-Retry-Count"] = str(int(self._is_repeat))
        stream = self._client.open(
            "POST", path, msgspec.json.encode(body), headers, self._deadline_s + RESPONSE_GRACE_S
        )
        self._request_id = stream.headers.get("hibiscustray-request-id", "")
        return stream

    def _check_stream(self, stream: HttpStream, prompt: str, sent_s: float) -> CallRecord:
        text, digests = "", set()
        for line in stream.read_lines():
            if not line.startswith(EVENT_PREFIX):
                continue
            payload = line[len(EVENT_PREFIX) :].strip()
            if payload == b"[DONE]":
                stream.read_all()
                return self._check_text(prompt, text, digests, sent_s)
            event = msgspec.json.decode(payload)
            if "error" in event:
                return self._make_problem_record(sent_s, event["error"])
            self._first_token_s = self._first_token_s or time.monotonic() - self._started_at
            text += event["choices"][0]["delta"]["content"]
            digests.add(event["system_fingerprint"])
        return self._make_record(
            sent_s, UNKNOWN, is_truncated=True, detail="the stream ended without [DONE]"
        )

    def _check_text(self, prompt: str, text: str, digests: set[str], sent_s: float) -> CallRecord:
        expected = make_text(next(iter(digests), ""), prompt, self._arrival.output_tokens)
        is_wrong = len(digests) != 1 or text != expected
        return self._make_record(sent_s, ANSWERED, is_wrong=is_wrong)

    def _make_problem_record(self, sent_s: float, problem: dict) -> CallRecord:
        return self._make_record(sent_s, problem["outcome"], detail=problem["detail"])

    def _make_record(self, sent_s: float, outcome: str, **fields) -> CallRecord:
        completed_s = time.monotonic() - self._started_at
        return CallRecord(
            arrival=self._arrival,
            outcome=outcome,
            request_id=self._request_id,
            sent_s=sent_s,
            first_token_s=self._first_token_s or completed_s,
            completed_s=completed_s,
            deadline_s=self._deadline_s,
            is_repeat=self._is_repeat,
            **fields,
        )


def make_prompt(arrival: Arrival) -> str:
    """Return a prompt that starts with its team's common prefix and ends with the reference."""
    shared = " ".join(f"{arrival.team}-{index}" for index in range(PREFIX_WORDS))
    return f"{shared} {arrival.reference}"
