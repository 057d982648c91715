"""Single attempts of a request at one agent, cancelled on silence and at the deadline."""

from __future__ import annotations

import time
import uuid
from collections.abc import Generator
from dataclasses import dataclass

from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.exceptions import (
    CallerLeft,
    ClaimUnavailable,
    DeadlineExceeded,
    DeadlinePassedRunning,
    KeyReused,
    NoReplica,
    NotRun,
    OutcomeUnknown,
    PeerConnectionLost,
    PeerError,
    PeerUnreachable,
    TicketInvalid,
)
from hibiscustray.peers import (
    AttemptRequest,
    Claimed,
    Data,
    End,
    Failed,
    KeepAlive,
    MemberRecord,
    PeerClient,
    PeerPool,
    Refused,
)
from hibiscustray.peers.messages import BUSY
from hibiscustray.requests import CallerRequest, ResponseReader
from hibiscustray.routing import Choice, Permit, ReplicaChooser

RECONNECT_TIMEOUT_S = 1.0
"""Timeout for a call on the new connection to an agent whose old one went silent."""

DEADLINE_KIND = "deadline"
TICKET_KINDS = ("ticket", "ticket-expired")


@dataclass(frozen=True)
class Binding:
    """The only agent incarnation that may run the request of an idempotency key."""

    agent: str
    incarnation: int


@dataclass(frozen=True)
class AttemptNotRun:
    """The agent did not run the request.

    `is_final` is set if no request with the same idempotency key has run or ever will; `is_gone`
    is set if the agent or its incarnation is not reachable.
    """

    error: Exception
    is_final: bool = False
    is_gone: bool = False


@dataclass(frozen=True)
class AttemptRedirected:
    """The agent did not run the request because another incarnation holds its key."""

    binding: Binding


@dataclass(frozen=True)
class AttemptLost:
    """The request may have run, and its response is lost.

    `is_alive` is set if the agent responds on a new connection; `is_unknown_at_agent` if the agent
    itself reported that the outcome is unknown.
    """

    error: Exception
    is_alive: bool = False
    is_unknown_at_agent: bool = False


AttemptFailure = AttemptNotRun | AttemptRedirected | AttemptLost


DEADLINE_ERRORS = (DeadlineExceeded, DeadlinePassedRunning)
"""Errors after which there is no time for another attempt."""


class AttemptRunner:
    """Runs single attempts at agents."""

    def __init__(self, chooser: ReplicaChooser, peers: PeerPool, watchdog: Watchdog) -> None:
        self._chooser = chooser
        self._peers = peers
        self._watchdog = watchdog

    def run(
        self,
        request: CallerRequest,
        choice: Choice,
        reader: ResponseReader,
        permit: Permit,
        incarnation: int = 0,
    ):
        """Yield payloads, then the `End` of the complete response.

        If `incarnation` is not 0, only that incarnation of the agent may run the attempt. Returns
        None after an `End`, otherwise the `AttemptFailure`. Raises `CallerLeft` when the caller has
        disconnected.
        """
        if request.time_left() <= 0:
            return AttemptNotRun(DeadlineExceeded("the deadline passed before the attempt"))
        member = choice.member
        client = self._peers.get(member.peer_address)
        priority = permit.adjust_priority(request.priority)
        message = _make_message(request, choice.digest, reader.count, priority, incarnation)
        try:
            call = client.open_attempt(message)
        except PeerUnreachable as error:
            return AttemptNotRun(error, is_gone=True)
        watch = self._watchdog.watch(call.cancel, request.deadline)
        try:
            for frame in call:
                watch.pause()
                if request.is_disconnected():
                    raise CallerLeft("the caller closed its connection")
                ended = yield from self._handle_frame(frame, choice, reader)
                watch.record_activity()
                if ended is not None:
                    return None if isinstance(ended, End) else ended
            return AttemptLost(PeerConnectionLost("the response ended without an end frame"))
        except PeerUnreachable as error:
            return AttemptNotRun(error, is_gone=True)
        except PeerConnectionLost as error:
            is_alive = watch.is_silent() and self._reconnect(member, client, request.time_left())
            return AttemptLost(error, is_alive)
        finally:
            watch.close()
            call.cancel()

    def _handle_frame(self, frame, choice: Choice, reader: ResponseReader):
        """Yield the content of a frame; return how the attempt ended, None if it continues."""
        match frame:
            case Data(payloads=payloads):
                choice.progress.record_payloads(len(payloads), time.monotonic())
                yield from reader.accept(frame)
            case End():
                reader.finish(frame)
                self._chooser.record_load(choice.member.id, frame.load, frame.waiting)
                yield frame
                return frame
            case KeepAlive(load=load, waiting=waiting):
                self._chooser.record_load(choice.member.id, load, waiting)
            case Refused(kind=kind):
                if kind == BUSY:
                    self._chooser.record_overload(choice)
                return _read_refusal(frame)
            case Claimed(agent=agent, incarnation=incarnation):
                return AttemptRedirected(Binding(agent, incarnation))
            case Failed(kind=kind, detail=detail) if kind == DEADLINE_KIND:
                return AttemptLost(
                    DeadlinePassedRunning(detail), is_alive=True, is_unknown_at_agent=True
                )
            case Failed(detail=detail):
                return AttemptLost(OutcomeUnknown(detail), is_alive=True, is_unknown_at_agent=True)
        return None

    def _reconnect(self, member: MemberRecord, client: PeerClient, time_left_s: float) -> bool:
        """Reconnect to an agent whose connection went silent; return whether it responds."""
        self._peers.retire_connection(member.peer_address, client)
        timeout_s = min(RECONNECT_TIMEOUT_S, time_left_s)
        if timeout_s <= 0:
            return False
        try:
            self._peers.get(member.peer_address).read_revision(timeout_s)
        except PeerError:
            return False
        return True


def buffer_until_complete(attempt: Generator):
    """Yield the items of an attempt only once its response is complete."""
    items = []
    try:
        while True:
            items.append(next(attempt))
    except StopIteration as stop:
        if stop.value is None:
            yield from items
        return stop.value
    finally:
        attempt.close()


def _make_message(
    request: CallerRequest, digest: str, skip: int, priority: int, incarnation: int
) -> AttemptRequest:
    return AttemptRequest(
        attempt_id=uuid.uuid4().hex,
        request_id=request.id,
        team=request.team,
        service=request.service,
        digest=digest,
        path=request.path,
        body=request.body,
        timeout_s=request.time_left(),
        is_idempotent=request.is_idempotent,
        key=request.key,
        is_stream=request.is_stream,
        skip=skip,
        priority=priority,
        weight=request.weight,
        incarnation=incarnation,
    )


def _read_refusal(frame: Refused) -> AttemptNotRun:
    return AttemptNotRun(_make_error(frame), frame.is_final, is_gone=frame.kind == "incarnation")


def _make_error(frame: Refused) -> NotRun:
    match frame.kind:
        case kind if kind == DEADLINE_KIND:
            return DeadlineExceeded(frame.detail)
        case KeyReused.kind:
            return KeyReused(frame.detail)
        case ClaimUnavailable.kind:
            return ClaimUnavailable(frame.detail, frame.retry_after_s)
        case kind if kind in TICKET_KINDS:
            return TicketInvalid(frame.detail)
    return NoReplica(f"{frame.kind}: {frame.detail}", frame.retry_after_s or None)
