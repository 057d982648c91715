"""One attempt of a request at one agent, watched for silence and for the deadline."""

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
from hibiscustray.requests import AnswerReader, CallerRequest
from hibiscustray.routing import Choice, Permit, ReplicaChooser

PROBE_TIMEOUT_S = 1.0
DEADLINE_KIND = "deadline"
TICKET_KINDS = ("ticket", "ticket-expired")


@dataclass(frozen=True)
class Binding:
    """The agent incarnation that alone may run a key."""

    agent: str
    incarnation: int


@dataclass(frozen=True)
class NotTaken:
    """The agent did not run the request; `is_final` as in `Refused`."""

    error: Exception
    is_final: bool = False
    is_gone: bool = False


@dataclass(frozen=True)
class TakenElsewhere:
    """The agent did not run the request, since another incarnation holds its key."""

    binding: Binding


@dataclass(frozen=True)
class Lost:
    """The request may have run; `is_alive` tells that the agent answers on a new connection."""

    error: Exception
    is_alive: bool = False
    is_settled: bool = False


Attempted = NotTaken | TakenElsewhere | Lost


LATE = (DeadlineExceeded, DeadlinePassedRunning)
"""Errors after which there is no time for another attempt."""


class Attempter:
    """Makes single attempts."""

    def __init__(self, chooser: ReplicaChooser, peers: PeerPool, watchdog: Watchdog) -> None:
        self._chooser = chooser
        self._peers = peers
        self._watchdog = watchdog

    def attempt(
        self,
        request: CallerRequest,
        choice: Choice,
        reader: AnswerReader,
        permit: Permit,
        incarnation: int = 0,
    ):
        """Yield payloads, then the `End` of the whole answer; return how it ended without one.

        Returns None after an `End`. Raises `CallerLeft` when the caller has gone.
        """
        if request.time_left() <= 0:
            return NotTaken(DeadlineExceeded("the deadline passed before an attempt"))
        member = choice.member
        client = self._peers.get(member.peer_address)
        priority = permit.adjust_priority(request.priority)
        message = _make_message(request, choice.digest, reader.count, priority, incarnation)
        try:
            call = client.open_attempt(message)
        except PeerUnreachable as error:
            return NotTaken(error, is_gone=True)
        watch = self._watchdog.watch(call.cancel, request.deadline)
        try:
            for frame in call:
                watch.pause()
                if request.is_abandoned():
                    raise CallerLeft("the caller closed its connection")
                ended = yield from self._take(frame, choice, reader)
                watch.touch()
                if ended is not None:
                    return None if isinstance(ended, End) else ended
            return Lost(PeerConnectionLost("the answer had no end"))
        except PeerUnreachable as error:
            return NotTaken(error, is_gone=True)
        except PeerConnectionLost as error:
            is_alive = watch.is_silent() and self._probe(member, client, request.time_left())
            return Lost(error, is_alive)
        finally:
            watch.close()
            call.cancel()

    def _take(self, frame, choice: Choice, reader: AnswerReader):
        """Yield what a frame brings; return how the attempt ended, None if it goes on."""
        match frame:
            case Data(payloads=payloads):
                choice.progress.note_payloads(len(payloads), time.monotonic())
                yield from reader.accept(frame)
            case End():
                reader.finish(frame)
                self._chooser.report(choice.member.id, frame.load, frame.waiting)
                yield frame
                return frame
            case KeepAlive(load=load, waiting=waiting):
                self._chooser.report(choice.member.id, load, waiting)
            case Refused(kind=kind):
                if kind == BUSY:
                    self._chooser.note_busy(choice)
                return _read_refusal(frame)
            case Claimed(agent=agent, incarnation=incarnation):
                return TakenElsewhere(Binding(agent, incarnation))
            case Failed(kind=kind, detail=detail) if kind == DEADLINE_KIND:
                return Lost(DeadlinePassedRunning(detail), is_alive=True, is_settled=True)
            case Failed(detail=detail):
                return Lost(OutcomeUnknown(detail), is_alive=True, is_settled=True)
        return None

    def _probe(self, member: MemberRecord, client: PeerClient, time_left_s: float) -> bool:
        """Open a new connection to an agent whose old one went silent; tell whether it answers."""
        self._peers.retire_connection(member.peer_address, client)
        timeout_s = min(PROBE_TIMEOUT_S, time_left_s)
        if timeout_s <= 0:
            return False
        try:
            self._peers.get(member.peer_address).read_revision(timeout_s)
        except PeerError:
            return False
        return True


def hold_until_whole(attempt: Generator):
    """Pass on the items of an attempt only if it ended with a whole answer."""
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


def _read_refusal(frame: Refused) -> NotTaken:
    return NotTaken(_make_error(frame), frame.is_final, is_gone=frame.kind == "incarnation")


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
