"""Carries one request through attempts at replicas until it has one typed outcome."""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from hibiscustray.deployments import Configuration, Service
from hibiscustray.entry.watchdog import Watchdog
from hibiscustray.exceptions import (
    DeadlineExceeded,
    DeadlinePassedRunning,
    KeyReused,
    NoReplica,
    NotRun,
    OutcomeUnknown,
    PeerConnectionLost,
    PeerUnreachable,
)
from hibiscustray.peers import AttemptRequest, Beat, Data, End, Failed, PeerPool, Refused
from hibiscustray.peers.messages import BUSY
from hibiscustray.requests import AnswerReader, CallerRequest
from hibiscustray.routing import Admission, Choice, Permit, ReplicaChooser, RetryBudgets
from hibiscustray.telemetry import Metrics

MAX_ATTEMPTS = 4
NO_REPLICA_WAIT_S = 0.1


@dataclass(frozen=True)
class Attempted:
    """How one attempt ended without an answer: whether it ran, and why."""

    has_run: bool
    error: Exception


class Dispatcher:
    """Makes attempts one after another; yields payloads, then the `End` of the whole answer."""

    def __init__(
        self,
        configuration: Configuration,
        chooser: ReplicaChooser,
        admission: Admission,
        peers: PeerPool,
        watchdog: Watchdog,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._chooser = chooser
        self._admission = admission
        self._budgets = RetryBudgets()
        self._peers = peers
        self._watchdog = watchdog
        self._metrics = metrics

    def run(self, request: CallerRequest, service: Service) -> Iterator[bytes | End]:
        """Yield the answer; raise `NotRun` or `OutcomeUnknown` when there is none.

        Payloads already yielded stand: a later attempt resumes after them on the same digest.
        """
        with self._admission.enter(request, service) as permit:
            yield from self._run_attempts(request, service, permit)

    def _run_attempts(self, request, service, permit: Permit) -> Iterator[bytes | End]:
        budget = self._budgets.get(service.name)
        budget.earn()
        reader = AnswerReader()
        excluded: set[str] = set()
        digest = ""
        last = Attempted(False, NoReplica("no replica was tried"))
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose(request, service, excluded, digest, last)
            last = yield from self._attempt(request, choice, reader, permit)
            if last is None:
                return
            digest = choice.digest if reader.count else ""
            excluded.add(choice.member.id)
            self._metrics.count("attempts_failed_total", {"service": service.name})
            if last.has_run and not request.is_idempotent:
                break
            if isinstance(last.error, KeyReused) or request.time_left() <= 0:
                break
            if not budget.spend():
                break
        raise self._conclude(request, last)

    def _choose(self, request, service, excluded, digest, last: Attempted) -> Choice:
        while True:
            try:
                return self._chooser.choose(
                    service, excluded, digest, request.estimate, request.is_stream
                )
            except NoReplica as error:
                if excluded and not isinstance(last.error, NoReplica):
                    raise self._conclude(request, last) from error
                if request.time_left() <= NO_REPLICA_WAIT_S:
                    raise self._conclude(request, Attempted(last.has_run, error)) from error
                time.sleep(NO_REPLICA_WAIT_S)

    def _attempt(self, request: CallerRequest, choice: Choice, reader, permit: Permit):
        time_left = request.time_left()
        if time_left <= 0:
            self._chooser.release(choice, is_answered=False)
            return Attempted(False, DeadlineExceeded("the deadline passed before an attempt"))
        call = self._peers.get(choice.member.peer_address).open_attempt(
            AttemptRequest(
                attempt_id=uuid.uuid4().hex,
                request_id=request.id,
                team=request.team,
                service=request.service,
                digest=choice.digest,
                path=request.path,
                body=request.body,
                timeout_s=time_left,
                is_idempotent=request.is_idempotent,
                key=request.key,
                is_stream=request.is_stream,
                skip=reader.count,
                priority=permit.adjust_priority(request.priority),
                weight=request.weight,
            )
        )
        is_answered = False
        watch = self._watchdog.watch(call.cancel, request.deadline)
        try:
            for frame in call:
                watch.touch()
                match frame:
                    case Data(payloads=payloads):
                        choice.progress.note_payloads(len(payloads), time.monotonic())
                        yield from reader.accept(frame)
                    case End():
                        reader.finish(frame)
                        is_answered = True
                        self._chooser.report(choice.member.id, frame.load, frame.waiting)
                        yield frame
                        return None
                    case Beat(load=load, waiting=waiting):
                        self._chooser.report(choice.member.id, load, waiting)
                    case Refused(kind=kind, detail=detail, retry_after_s=retry_after):
                        if kind == BUSY:
                            self._chooser.note_busy(choice)
                        return Attempted(False, _make_refusal(kind, detail, retry_after))
                    case Failed(detail=detail):
                        return Attempted(True, OutcomeUnknown(detail))
            return Attempted(True, PeerConnectionLost("the answer had no end"))
        except PeerUnreachable as error:
            return Attempted(False, error)
        except PeerConnectionLost as error:
            if watch.is_silent():
                self._peers.renew(choice.member.peer_address)
            return Attempted(True, error)
        finally:
            watch.close()
            call.cancel()
            self._chooser.release(choice, is_answered)

    def _conclude(self, request: CallerRequest, last: Attempted) -> Exception:
        if last.has_run and request.time_left() <= 0:
            return DeadlinePassedRunning("the deadline passed while the request was running")
        if last.has_run:
            return OutcomeUnknown(f"the request may have run: {last.error}")
        if isinstance(last.error, NotRun):
            return last.error
        return NoReplica(f"no replica took the request: {last.error}", 1.0)


def _make_refusal(kind: str, detail: str, retry_after_s: float) -> NotRun:
    if kind == KeyReused.kind:
        return KeyReused(detail)
    return NoReplica(f"{kind}: {detail}", retry_after_s or None)
