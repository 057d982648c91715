"""Revisions in the store's table; the head row is changed by compare-and-set with a change id."""

from __future__ import annotations

import hashlib
import logging
import time
import uuid
from collections.abc import Sequence
from typing import Literal

import msgspec
from tenacity import Retrying, retry_if_exception_type, stop_after_delay, wait_random_exponential

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.deployments.signing import sign_change
from hibiscustray.exceptions import (
    NoConfiguration,
    PreconditionFailed,
    RecordInvalid,
    RevisionConflict,
    StoreAnswerLost,
    StoreUnavailable,
)
from hibiscustray.protocols import Put, Row, Table

log = logging.getLogger(__name__)

HEAD_PARTITION = "head"
HISTORY_PARTITION = "revision"
CHANGE_PARTITION = "change"
HEAD_SORT = "head"
CHANGE_VERSION = 1
RESOLVE_TIMEOUT_S = 30.0
CONFLICT_READ_TIMEOUT_S = 2.0
CONFLICT_READ_INTERVAL_S = 0.1


class Revision(msgspec.Struct, frozen=True):
    """An accepted configuration with its number, text and operator."""

    number: int
    text: str
    operator: str
    change_id: str
    accepted_at: float
    signature: str = ""

    @property
    def digest(self) -> str:
        """Return the hex SHA-256 of number, change id and text."""
        source = f"{self.number}\n{self.change_id}\n{self.text}"
        return hashlib.sha256(source.encode()).hexdigest()


class ChangeOutcome(msgspec.Struct, frozen=True):
    """The final outcome of a change; its row is written once and never changed."""

    outcome: Literal["accepted", "withdrawn"]


class RevisionStore:
    """Accepts and reads revisions; a revision is accepted once it is committed in the table."""

    def __init__(self, table: Table, resolve_timeout_s: float = RESOLVE_TIMEOUT_S) -> None:
        self._table = table
        self._resolve_timeout_s = resolve_timeout_s

    def read_head(self) -> Revision | None:
        """Return the newest accepted revision, None before the first; raise `StoreUnavailable`."""
        row = self._table.get(HEAD_PARTITION, HEAD_SORT)
        return decode_revision(row.body) if row else None

    def read(self, number: int) -> Revision:
        """Return an accepted revision by number; raise `NoConfiguration` if there is none."""
        row = self._table.get(HISTORY_PARTITION, _make_history_sort(number))
        if row is None:
            raise NoConfiguration(f"revision {number} does not exist")
        return decode_revision(row.body)

    def read_history(self) -> list[Revision]:
        """Return all accepted revisions, oldest first."""
        return [decode_revision(row.body) for row in self._table.query(HISTORY_PARTITION)]

    def accept(
        self, text: str, operator: str, expected: int, change_id: str, key: bytes = b""
    ) -> Revision:
        """Commit a new revision if the head is still the expected one.

        Raises `RevisionConflict` if another change was committed first, `StoreUnavailable` if this
        one has no effect and never will, `StoreAnswerLost` if its outcome could not be determined.
        """
        revision = Revision(expected + 1, text, operator, change_id, time.time())
        if key:
            signature = sign_change(key, operator, revision.digest)
            revision = msgspec.structs.replace(revision, signature=signature)
        body = msgspec.msgpack.encode(revision)
        head = Row(HEAD_PARTITION, HEAD_SORT, revision.number, body)
        history_row = Row(
            HISTORY_PARTITION, _make_history_sort(revision.number), revision.number, body
        )
        outcome = _make_outcome_row(change_id, ChangeOutcome("accepted"))
        try:
            self._table.transact(
                change_id, [Put(head, expected), Put(history_row, 0), Put(outcome, 0)]
            )
        except (StoreAnswerLost, PreconditionFailed) as error:
            return self._resolve_uncertain(revision, error)
        return revision

    def restore(self, revisions: Sequence[Revision]) -> None:
        """Write a snapshot's revisions into a table without a head; else raise `RevisionConflict`.

        Rows written by an earlier, interrupted restore are kept; the head is written last.
        """
        head = self.read_head()
        if head is not None:
            raise RevisionConflict(head.number, head.operator)
        for revision in revisions:
            self._restore_revision(revision)
        if revisions:
            last = revisions[-1]
            row = Row(HEAD_PARTITION, HEAD_SORT, last.number, msgspec.msgpack.encode(last))
            self._table.transact(uuid.uuid4().hex, [Put(row, 0)])

    def _restore_revision(self, revision: Revision) -> None:
        body = msgspec.msgpack.encode(revision)
        sort = _make_history_sort(revision.number)
        history_row = Row(HISTORY_PARTITION, sort, revision.number, body)
        outcome = _make_outcome_row(revision.change_id, ChangeOutcome("accepted"))
        try:
            self._table.transact(uuid.uuid4().hex, [Put(history_row, 0), Put(outcome, 0)])
        except PreconditionFailed:
            if self.read(revision.number) != revision:
                raise

    def _resolve_uncertain(self, revision: Revision, cause: Exception) -> Revision:
        """Determine the outcome of a change whose write may or may not have been committed."""
        retrying = Retrying(
            retry=retry_if_exception_type((StoreUnavailable, StoreAnswerLost, PreconditionFailed)),
            wait=wait_random_exponential(multiplier=0.1, max=2.0),
            stop=stop_after_delay(self._resolve_timeout_s),
            reraise=True,
        )
        try:
            outcome = retrying(self._read_or_withdraw, revision.change_id)
            if outcome.outcome == "accepted":
                return revision
            conflicting = retrying(self._wait_for_conflicting, revision.number, cause)
        except (StoreUnavailable, StoreAnswerLost, PreconditionFailed) as error:
            raise StoreAnswerLost(
                f"revision {revision.number} may have been accepted: {error}"
            ) from error
        if conflicting is None:
            raise StoreUnavailable(f"revision {revision.number} was not accepted: {cause}")
        raise RevisionConflict(conflicting.number, conflicting.operator) from cause

    def _read_or_withdraw(self, change_id: str) -> ChangeOutcome:
        """Return a change's outcome; if it has none, withdraw it so that a late write must fail."""
        row = self._table.get(CHANGE_PARTITION, change_id)
        if row is not None:
            return _decode(row.body, ChangeOutcome)
        outcome = ChangeOutcome("withdrawn")
        self._table.transact(uuid.uuid4().hex, [Put(_make_outcome_row(change_id, outcome), 0)])
        return outcome

    def _wait_for_conflicting(self, number: int, cause: Exception) -> Revision | None:
        """Return the conflicting revision; retry while reads lag behind the failed precondition."""
        deadline = time.monotonic() + CONFLICT_READ_TIMEOUT_S
        while True:
            conflicting = self._find_conflicting(number)
            is_rejected = isinstance(cause, PreconditionFailed)
            if conflicting is not None or not is_rejected or time.monotonic() >= deadline:
                return conflicting
            time.sleep(CONFLICT_READ_INTERVAL_S)

    def _find_conflicting(self, number: int) -> Revision | None:
        """Return the revision that prevents a change to this number, if any."""
        row = self._table.get(HISTORY_PARTITION, _make_history_sort(number))
        if row is not None:
            return decode_revision(row.body)
        head = self.read_head()
        if head is not None and head.number != number - 1:
            return head
        return None


def decode_revision(body: bytes) -> Revision:
    """Decode a stored revision; raise `RecordInvalid` on failure."""
    return _decode(body, Revision)


def _decode(body: bytes, record_type):
    try:
        return msgspec.msgpack.decode(body, type=record_type)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"cannot decode {record_type.__name__}: {error}") from error


def _make_outcome_row(change_id: str, outcome: ChangeOutcome) -> Row:
    return Row(CHANGE_PARTITION, change_id, CHANGE_VERSION, msgspec.msgpack.encode(outcome))


def _make_history_sort(number: int) -> str:
    return f"{number:012d}"
