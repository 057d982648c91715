"""Asynchronous writes of the outcomes of claimed requests to the table.

An outcome is written after the response was sent, and the write is retried through outages.
"""

from __future__ import annotations

import logging
import threading
import time
import uuid
from collections import deque
from dataclasses import dataclass

from hibiscustray.exceptions import PlatformError
from hibiscustray.requests import Claim, ClaimStore, RecordedResponse, Uncertain
from hibiscustray.telemetry import Metrics

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.5
MAX_PENDING_WRITES = 10_000


@dataclass(frozen=True)
class Release:
    """A write that releases a claim because its request did not run."""


@dataclass(frozen=True)
class PendingWrite:
    """A queued write; retries use the same change id, so that it takes effect once."""

    claim: Claim
    outcome: RecordedResponse | Uncertain | Release
    change_id: str


class OutcomeWriter:
    """Writes outcomes in order in one thread; a failed write is retried until it succeeds."""

    def __init__(self, claims: ClaimStore, metrics: Metrics) -> None:
        self._claims = claims
        self._metrics = metrics
        self._pending: deque[PendingWrite] = deque()
        self._changed = threading.Condition()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="outcomes", daemon=True)

    def start(self) -> None:
        """Start to write."""
        self._thread.start()

    def stop(self) -> None:
        """Drop the remaining writes and wait for the thread to end."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify_all()
        if self._thread.is_alive():
            self._thread.join()

    def put(self, claim: Claim, outcome: RecordedResponse | Uncertain | Release) -> None:
        """Queue an outcome; if the queue is full, its oldest write is dropped."""
        with self._changed:
            if len(self._pending) >= MAX_PENDING_WRITES:
                self._pending.popleft()
                self._metrics.count("outcomes_dropped_total")
            self._pending.append(PendingWrite(claim, outcome, uuid.uuid4().hex))
            self._changed.notify_all()

    def release(self, claim: Claim) -> None:
        """Release a claim now, or queue the write if the table is unavailable."""
        try:
            self._claims.release(claim, uuid.uuid4().hex)
        except PlatformError:
            self.put(claim, Release())

    def flush(self, timeout_s: float) -> bool:
        """Wait until the queue is empty; return False if that takes longer than `timeout_s`."""
        with self._changed:
            self._changed.wait_for(lambda: self._is_stopping or not self._pending, timeout_s)
            return not self._pending

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._pending or self._is_stopping)
                if self._is_stopping:
                    return
                write = self._pending[0]
            self._write(write)

    def _write(self, write: PendingWrite) -> None:
        try:
            match write.outcome:
                case Release():
                    self._claims.release(write.claim, write.change_id)
                case outcome:
                    self._claims.record_outcome(write.claim, outcome, write.change_id)
        except PlatformError:
            self._metrics.count("outcome_write_failures_total")
            time.sleep(RETRY_INTERVAL_S)
            return
        with self._changed:
            if self._pending and self._pending[0] is write:
                self._pending.popleft()
            self._changed.notify_all()
