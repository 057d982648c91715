"""The caller's HTTP interface under /v1."""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

import msgspec

from hibiscustray.deployments import Configuration, Service
from hibiscustray.entry.bodies import check_chat_body, read_chat_model
from hibiscustray.entry.dispatch import Dispatcher
from hibiscustray.entry.problems import describe_problem, make_problem_response
from hibiscustray.entry.teams import TeamCredentials
from hibiscustray.exceptions import (
    ConfigurationUnknown,
    DeadlineInvalid,
    HibiscustrayError,
    RequestMalformed,
    RequestTooLarge,
    ServiceUnknown,
)
from hibiscustray.peers import End
from hibiscustray.reports import ServiceLevelEvent, ServiceLevelRecorder
from hibiscustray.reports.recorder import ABANDONED, ANSWERED
from hibiscustray.requests import CallerRequest, estimate_call, estimate_chat
from hibiscustray.settings import LimitSettings
from hibiscustray.telemetry import Metrics
from hibiscustray.web import Request, Response, Router

EVENT_STREAM = "text/event-stream"
CHAT_PATH = "/v1/chat/completions"
DEADLINE_HEADER = "hibiscustray-deadline-ms"
REPEATABLE_HEADER = "hibiscustray-repeatable"
KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 200
MS_PER_S = 1000.0
KIB = 1024
RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class ProcessIdentity:
    """Which incarnation of which process answers."""

    process: str
    incarnation: int


@dataclass(frozen=True)
class Health:
    """The body of the health answer; `ready` is what the balancer follows."""

    ready: bool
    process: str
    incarnation: int


@dataclass
class Progress:
    """What is known of a request while it is served."""

    started: float
    cpu_started: float
    team: str = "unknown"
    service: str = "unknown"
    first_payload_s: float | None = None


class EntryApplication:
    """Reads callers' requests, hands them to the dispatcher and writes answers."""

    def __init__(
        self,
        configuration: Configuration,
        dispatcher: Dispatcher,
        credentials: TeamCredentials,
        limits: LimitSettings,
        metrics: Metrics,
        recorder: ServiceLevelRecorder,
        identity: ProcessIdentity,
    ) -> None:
        self._recorder = recorder
        self._identity = identity
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._credentials = credentials
        self._limits = limits
        self._metrics = metrics
        self._is_leaving = False
        self._running = 0
        self._idle = threading.Condition()
        self.router = Router(lambda error: make_problem_response(error, "-"))
        self.router.add("POST", "/v1/services/{service}", self._serve_service)
        self.router.add("POST", CHAT_PATH, self._serve_chat)
        self.router.add("GET", "/health", self._serve_health)
        self.router.add("GET", "/metrics", self._serve_metrics)

    def leave(self) -> None:
        """Turn the balancer's health answer."""
        self._is_leaving = True

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request runs; tell whether that was reached in time."""
        with self._idle:
            return self._idle.wait_for(lambda: self._running == 0, timeout_s)

    def _serve_health(self, request: Request) -> Response:
        is_ready = self._configuration.is_justified() and not self._is_leaving
        health = Health(is_ready, self._identity.process, self._identity.incarnation)
        return Response.json(health, 200 if is_ready else 503)

    def _serve_metrics(self, request: Request) -> Response:
        body, content_type = self._metrics.render_text()
        return Response(200, body, content_type)

    def _serve_chat(self, request: Request) -> Response:
        return self._serve(request, read_chat_model, CHAT_PATH)

    def _serve_service(self, request: Request) -> Response:
        return self._serve(request, lambda body: request.groups["service"], "")

    def _serve(self, request: Request, name_service, path: str) -> Response:
        request_id = uuid.uuid4().hex
        progress = Progress(time.monotonic(), time.thread_time())
        self._change_running(1)
        try:
            progress.team = self._credentials.identify(request.headers.get("authorization", ""))
            caller, service = self._read_request(request, request_id, progress, name_service, path)
            answer = self._dispatcher.run(caller, service)
            first = next(answer)
        except HibiscustrayError as error:
            self._record_failure(progress, error, request_id)
            return make_problem_response(error, request_id)
        progress.first_payload_s = time.monotonic() - progress.started
        answer = self._record(chain([first], answer), progress, request_id)
        headers = (("Hibiscustray-Request-Id", request_id),)
        if caller.is_stream:
            body = self._stream_events(answer, request, request_id)
            return Response(200, body, EVENT_STREAM, headers)
        return self._collect(answer, request_id, headers)

    def _read_request(
        self, request: Request, request_id: str, progress: Progress, name_service, path: str
    ) -> tuple[CallerRequest, Service]:
        if len(request.body) > self._limits.body_kib * KIB:
            raise RequestTooLarge(f"the body is over {self._limits.body_kib} KiB")
        if not self._configuration.is_justified():
            raise ConfigurationUnknown("this entry is cut off or has just started", RETRY_AFTER_S)
        body = _decode_body(request.body)
        name = name_service(body)
        service = self._configuration.deployment.find_service(name)
        if service is None:
            raise ServiceUnknown(f"there is no service {name!r}")
        progress.service = service.name
        if service.kind == "model":
            check_chat_body(body)
        known_team = self._configuration.deployment.find_team(progress.team)
        caller = CallerRequest(
            id=request_id,
            team=progress.team,
            service=service.name,
            path=path or (CHAT_PATH if service.kind == "model" else "/"),
            body=request.body,
            deadline=time.monotonic() + self._read_deadline(request),
            is_idempotent=_read_repeatable(request, service),
            is_stream=bool(body.get("stream", False)) and service.kind == "model",
            key=_read_key(request),
            priority=known_team.priority if known_team else 5,
            weight=known_team.weight if known_team else 1.0,
            estimate=estimate_chat(body) if service.kind == "model" else estimate_call(),
        )
        return caller, service

    def _read_deadline(self, request: Request) -> float:
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return self._limits.default_deadline_s
        try:
            seconds = int(text) / MS_PER_S
        except ValueError:
            raise DeadlineInvalid(f"{text[:40]!r} is not a number of milliseconds") from None
        if not 0 < seconds <= self._limits.longest_deadline_s:
            longest = int(self._limits.longest_deadline_s * MS_PER_S)
            raise DeadlineInvalid(f"the deadline must be from 1 to {longest} ms")
        return seconds

    def _record(self, answer: Iterator[bytes | End], progress: Progress, request_id: str):
        """Pass an answer on and record how it ended, once."""
        try:
            yield from answer
        except HibiscustrayError as error:
            self._record_failure(progress, error, request_id)
            raise
        except GeneratorExit:
            self._record_end(progress, ABANDONED, "caller-left")
            raise
        self._record_end(progress, ANSWERED, "")

    def _record_failure(self, progress: Progress, error: Exception, request_id: str) -> None:
        problem = describe_problem(error, request_id)
        self._record_end(progress, problem.outcome, problem.type.rsplit(":", 1)[1])

    def _record_end(self, progress: Progress, outcome: str, kind: str) -> None:
        self._change_running(-1)
        cpu_s = time.thread_time() - progress.cpu_started
        self._metrics.count("request_cpu_seconds_total", amount=cpu_s)
        self._recorder.record(
            ServiceLevelEvent(
                progress.service,
                progress.team,
                outcome,
                kind,
                progress.first_payload_s,
                time.monotonic() - progress.started,
            )
        )

    def _change_running(self, change: int) -> None:
        with self._idle:
            self._running += change
            self._idle.notify_all()

    def _collect(self, answer: Iterator[bytes | End], request_id: str, headers) -> Response:
        try:
            *parts, end = answer
        except HibiscustrayError as error:
            return make_problem_response(error, request_id)
        return Response(end.status, b"".join(parts), end.content_type, headers)

    def _stream_events(self, answer, request: Request, request_id: str) -> Iterator[bytes]:
        try:
            for item in answer:
                if request.is_disconnected():
                    answer.close()
                    return
                if isinstance(item, End):
                    yield b"event: end\ndata: [DONE]\n\n"
                else:
                    yield b"data: " + item + b"\n\n"
        except HibiscustrayError as error:
            problem = describe_problem(error, request_id)
            yield b"event: error\ndata: " + msgspec.json.encode({"error": problem}) + b"\n\n"


def _decode_body(body: bytes) -> dict:
    try:
        return msgspec.json.decode(body, type=dict)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestMalformed(f"the body is not a JSON object: {error}") from error


def _read_repeatable(request: Request, service: Service) -> bool:
    text = request.headers.get(REPEATABLE_HEADER)
    if text is None:
        return service.kind == "model"
    if text not in ("yes", "no"):
        raise RequestMalformed(f"{REPEATABLE_HEADER}: found {text[:40]!r}; allowed: yes or no")
    return text == "yes"


def _read_key(request: Request) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        raise RequestMalformed(f"{KEY_HEADER} is over {MAX_KEY_LENGTH} or not printable ASCII")
    return key
