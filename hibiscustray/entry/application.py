"""The HTTP interface for callers under /v1, health checks and metrics."""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.deployments import Configuration, Service
from hibiscustray.entry.bodies import check_chat_body, read_chat_model
from hibiscustray.entry.dispatch import Dispatcher
from hibiscustray.entry.problems import describe_problem, make_problem_response
from hibiscustray.entry.recording import RecordedBody, RequestRecord
from hibiscustray.entry.teams import TeamCredentials
from hibiscustray.entry.tickets import TicketClient
from hibiscustray.exceptions import (
    ConfigurationUnknown,
    DeadlineInvalid,
    HibiscustrayError,
    RequestMalformed,
    RequestTooLarge,
    ServiceUnknown,
)
from hibiscustray.peers import End
from hibiscustray.reports import ServiceLevelRecorder
from hibiscustray.requests import CallerRequest, estimate_call, estimate_chat
from hibiscustray.settings import LimitSettings
from hibiscustray.telemetry import Metrics
from hibiscustray.web import Request, Response, Router

EVENT_STREAM = "text/event-stream"
CHAT_PATH = "/v1/chat/completions"
DEADLINE_HEADER = "hibiscustray-deadline-ms"
REPEATABLE_HEADER = "hibiscustray-repeatable"
KEY_HEADER = "idempotency-key"
RETRY_COUNT_HEADER = "hibiscustray-retry-count"
MAX_KEY_LENGTH = 200
"""Longest idempotency key in characters."""

MS_PER_S = 1000.0
KIB = 1024
RETRY_AFTER_S = 1.0


class TicketResponse(msgspec.Struct, frozen=True):
    """A ticket: an idempotency key that does not depend on the platform's store."""

    key: str
    lifetime_s: float


@dataclass(frozen=True)
class ProcessIdentity:
    """The process id and incarnation that the health endpoint reports."""

    process: str
    incarnation: int


@dataclass(frozen=True)
class Health:
    """The body of the health response; the load balancer evaluates `ready`."""

    ready: bool
    process: str
    incarnation: int


class EntryApplication:
    """Parses callers' requests, passes them to the dispatcher and writes the responses."""

    def __init__(
        self,
        configuration: Configuration,
        dispatcher: Dispatcher,
        credentials: TeamCredentials,
        limits: LimitSettings,
        metrics: Metrics,
        recorder: ServiceLevelRecorder,
        identity: ProcessIdentity,
        tickets: TicketClient,
    ) -> None:
        self._recorder = recorder
        self._identity = identity
        self._tickets = tickets
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._credentials = credentials
        self._limits = limits
        self._metrics = metrics
        self._is_draining = False
        self._running = 0
        self._idle = threading.Condition()
        self.router = Router(lambda error: make_problem_response(error, "-"))
        self.router.add("POST", "/v1/services/{service}", self._serve_service)
        self.router.add("POST", "/v1/services/{service}/tickets", self._serve_ticket)
        self.router.add("POST", CHAT_PATH, self._serve_chat)
        self.router.add("GET", "/health", self._serve_health)
        self.router.add("GET", "/metrics", self._serve_metrics)

    def start_draining(self) -> None:
        """Report not ready to the load balancer from now on."""
        self._is_draining = True

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request runs; return False if the timeout expired first."""
        with self._idle:
            return self._idle.wait_for(lambda: self._running == 0, timeout_s)

    def _serve_health(self, request: Request) -> Response:
        is_ready = self._configuration.is_justified() and not self._is_draining
        health = Health(is_ready, self._identity.process, self._identity.incarnation)
        return Response.json(health, 200 if is_ready else 503)

    def _serve_metrics(self, request: Request) -> Response:
        body, content_type = self._metrics.render_text()
        return Response(200, body, content_type)

    def _serve_chat(self, request: Request) -> Response:
        return self._serve(request, read_chat_model, CHAT_PATH)

    def _serve_service(self, request: Request) -> Response:
        return self._serve(request, lambda body: request.path_parameters["service"], "")

    def _serve_ticket(self, request: Request) -> Response:
        request_id = uuid.uuid4().hex
        try:
            team = self._credentials.identify(request.headers.get("authorization", ""))
            service = self._find_service(request.path_parameters["service"])
            reply = self._tickets.get_ticket(team, service)
        except HibiscustrayError as error:
            return make_problem_response(error, request_id)
        self._metrics.count("tickets_total", {"team": team, "service": service.name})
        return Response.json(TicketResponse(reply.key, reply.lifetime_s), 201)

    def _serve(self, request: Request, get_service_name, path: str) -> Response:
        request_id = uuid.uuid4().hex
        record = RequestRecord(self._recorder, self._metrics, self._record_end)
        self._change_running(1)
        try:
            record.team = self._credentials.identify(request.headers.get("authorization", ""))
            caller_request, service = self._read_request(
                request, request_id, record, get_service_name, path
            )
            response = record.track(self._dispatcher.run(caller_request, service))
            # An error before the first item is returned with its own HTTP status.
            first = next(response)
        except Exception as error:
            record.fail(describe_problem(error, request_id))
            return make_problem_response(error, request_id)
        items = chain([first], response)
        headers = (("Hibiscustray-Request-Id", request_id),)
        if caller_request.is_stream:
            body = RecordedBody(self._stream_events(items, request_id, record), response, record)
            return Response(200, body, EVENT_STREAM, headers)
        *parts, end = items
        return Response(end.status, b"".join(parts), end.content_type, headers)

    def _read_request(
        self, request: Request, request_id: str, record: RequestRecord, get_service_name, path: str
    ) -> tuple[CallerRequest, Service]:
        if len(request.body) > self._limits.body_kib * KIB:
            raise RequestTooLarge(f"the body is larger than {self._limits.body_kib} KiB")
        if not self._configuration.is_justified():
            raise ConfigurationUnknown("this entry is isolated or has just started", RETRY_AFTER_S)
        body = _decode_body(request.body)
        service = self._find_service(get_service_name(body))
        record.service = service.name
        if service.kind == "model":
            check_chat_body(body)
        known_team = self._configuration.deployment.find_team(record.team)
        caller_request = CallerRequest(
            id=request_id,
            team=record.team,
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
            is_first=_read_is_first(request),
            is_disconnected=request.is_disconnected,
        )
        return caller_request, service

    def _find_service(self, name: str) -> Service:
        service = self._configuration.deployment.find_service(name)
        if service is None:
            raise ServiceUnknown(f"service {name!r} does not exist")
        return service

    def _read_deadline(self, request: Request) -> float:
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return self._limits.default_deadline_s
        try:
            seconds = int(text) / MS_PER_S
        except (ValueError, OverflowError):
            raise DeadlineInvalid(f"{text[:40]!r} is not a number of milliseconds") from None
        if not 0 < seconds <= self._limits.longest_deadline_s:
            longest = int(self._limits.longest_deadline_s * MS_PER_S)
            raise DeadlineInvalid(f"the deadline must be from 1 to {longest} ms")
        return seconds

    def _change_running(self, change: int) -> None:
        with self._idle:
            self._running += change
            self._idle.notify_all()

    def _record_end(self) -> None:
        self._change_running(-1)

    def _stream_events(
        self, response: Iterator[bytes | End], request_id: str, record: RequestRecord
    ) -> Iterator[bytes]:
        try:
            for item in response:
                if isinstance(item, End):
                    yield b"event: end\ndata: [DONE]\n\n"
                else:
                    yield b"data: " + item + b"\n\n"
        except Exception as error:
            problem = describe_problem(error, request_id)
            record.fail(problem)
            yield b"event: error\ndata: " + msgspec.json.encode({"error": problem}) + b"\n\n"


def _decode_body(body: bytes) -> dict:
    try:
        return msgspec.json.decode(body, type=dict)
    except DECODE_ERRORS as error:
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
        raise RequestMalformed(
            f"{KEY_HEADER} exceeds {MAX_KEY_LENGTH} characters or is not printable ASCII"
        )
    return key


def _read_is_first(request: Request) -> bool:
    """Return whether the caller declares that it has not sent the key before."""
    text = request.headers.get(RETRY_COUNT_HEADER)
    if text is None:
        return False
    if not text.isascii() or not text.isdigit():
        raise RequestMalformed(f"{RETRY_COUNT_HEADER}: found {text[:40]!r}; allowed: 0 or more")
    return not text.strip("0")
