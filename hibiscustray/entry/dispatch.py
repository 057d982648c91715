"""Runs a request as a series of attempts at replicas until it has an outcome."""

from __future__ import annotations

import time
from collections.abc import Iterator

from hibiscustray.deployments import Service
from hibiscustray.entry.attempt import (
    DEADLINE_ERRORS,
    AttemptFailure,
    AttemptLost,
    AttemptNotRun,
    AttemptRunner,
    buffer_until_complete,
)
from hibiscustray.entry.keyed import KeyedDispatcher
from hibiscustray.entry.replicas import ReplicaWaiter
from hibiscustray.exceptions import (
    DeadlinePassedRunning,
    NoReplica,
    NotRun,
    OutcomeUnknown,
)
from hibiscustray.membership import MemberView
from hibiscustray.peers import End
from hibiscustray.requests import CallerRequest, ResponseReader
from hibiscustray.routing import AdmissionController, Permit, ReplicaChooser, RetryBudgets
from hibiscustray.telemetry import Metrics

MAX_ATTEMPTS = 4

RESUME_WAIT_S = 5.0
"""Longest wait for a replica that can resume a stream that has already started."""

RETRY_AFTER_S = 1.0


class Dispatcher:
    """Admits requests and runs their attempts one after another, within the retry budget."""

    def __init__(
        self,
        chooser: ReplicaChooser,
        admission: AdmissionController,
        view: MemberView,
        attempt_runner: AttemptRunner,
        metrics: Metrics,
    ) -> None:
        self._admission = admission
        self._budgets = RetryBudgets()
        self._replica_waiter = ReplicaWaiter(chooser)
        self._attempt_runner = attempt_runner
        self._metrics = metrics
        self._keyed = KeyedDispatcher(self._replica_waiter, view, attempt_runner, metrics)

    def run(self, request: CallerRequest, service: Service) -> Iterator[bytes | End]:
        """Yield the payloads and the `End` of the complete response.

        Raises `NotRun`, `OutcomeUnknown` or `CallerLeft` if there is none. Payloads of a stream
        are yielded at once, and a later attempt resumes after them at a replica with the same
        digest. Other responses are yielded only once they are complete.
        """
        with self._admission.admit(request, service) as permit:
            if request.key and not request.is_idempotent:
                yield from self._keyed.run(request, service, permit)
            else:
                yield from self._run_unkeyed(request, service, permit)

    def _run_unkeyed(
        self, request: CallerRequest, service: Service, permit: Permit
    ) -> Iterator[bytes | End]:
        budget = self._budgets.get(service.name)
        budget.deposit()
        reader = ResponseReader(request.id)
        excluded: set[str] = set()
        digest = ""
        lost: AttemptLost | None = None
        failure: AttemptFailure | None = None
        for _ in range(MAX_ATTEMPTS):
            wait_until = request.deadline
            if reader.count:
                wait_until = min(wait_until, time.monotonic() + RESUME_WAIT_S)
            try:
                choice = self._replica_waiter.wait_for_replica(
                    request, service, excluded, digest, wait_until
                )
            except NoReplica as error:
                raise _make_error(request, lost or AttemptNotRun(error)) from error
            if not request.is_stream:
                reader = ResponseReader(request.id)
            attempt = self._attempt_runner.run(request, choice, reader, permit)
            is_complete = False
            try:
                failure = yield from (
                    attempt if request.is_stream else buffer_until_complete(attempt)
                )
                is_complete = failure is None
            finally:
                self._replica_waiter.release(choice, is_complete)
            if failure is None:
                return
            self._metrics.count("attempts_failed_total", {"service": service.name})
            digest = choice.digest if reader.count and request.is_stream else ""
            if not (
                isinstance(failure, AttemptLost)
                and failure.is_alive
                and not failure.is_unknown_at_agent
            ):
                excluded.add(choice.member.id)
            if isinstance(failure, AttemptLost):
                lost = failure
                if not request.is_idempotent:
                    break
            if isinstance(failure.error, DEADLINE_ERRORS) or request.time_left() <= 0:
                break
            if not budget.withdraw():
                break
        # An earlier attempt that may have run decides the outcome over a later one that did not.
        raise _make_error(request, lost or failure)


def _make_error(request: CallerRequest, failure: AttemptFailure) -> Exception:
    match failure:
        case AttemptLost(error=DeadlinePassedRunning() as error):
            return error
        case AttemptLost() if request.time_left() <= 0:
            return DeadlinePassedRunning("the deadline passed while the request was running")
        case AttemptLost(error=error):
            retry_after_s = RETRY_AFTER_S if request.is_idempotent else None
            return OutcomeUnknown(f"the request may have run: {error}", retry_after_s)
        case AttemptNotRun(error=NotRun() as error):
            return error
    return NoReplica(f"no replica accepted the request: {failure}", RETRY_AFTER_S)
