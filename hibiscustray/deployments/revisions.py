"""Revisions in the table: one head row, changed by compare-and-set with a change id."""

from __future__ import annotations

import hashlib
import logging
import time
import uuid
from collections.abc import Sequence
from typing import Literal

import msgspec
from tenacity import Retrying, retry_if_exception_type, stop_after_delay, wait_random_exponential

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
RESOLVE_LIMIT_S = 30.0
WINNER_LIMIT_S = 2.0
WINNER_INTERVAL_S = 0.1


class Revision(msgspec.Struct, frozen=True):
    """An accepted configuration: its number, text and who changed it."""

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


class ChangeFate(msgspec.Struct, frozen=True):
    """How a change ended; the row that holds it is written once and never changed."""

    outcome: Literal["accepted", "withdrawn"]


class RevisionStore:
    """Accepts revisions and reads them back; accepted means committed in the table."""

    def __init__(self, table: Table, resolve_limit_s: float = RESOLVE_LIMIT_S) -> None:
        self._table = table
        self._resolve_limit_s = resolve_limit_s

    def read_head(self) -> Revision | None:
        """Return the newest accepted revision; raise `StoreUnavailable`."""
        row = self._table.get(HEAD_PARTITION, HEAD_SORT)
        return decode_revision(row.body) if row else None

    def read(self, number: int) -> Revision:
        """Return one accepted revision; raise `NoConfiguration` if there is none."""
        row = self._table.get(HISTORY_PARTITION, _history_sort(number))
        if row is None:
            raise NoConfiguration(f"there is no revision {number}")
        return decode_revision(row.body)

    def read_history(self) -> list[Revision]:
        """Return all accepted revisions, oldest first."""
        return [decode_revision(row.body) for row in self._table.query(HISTORY_PARTITION)]

    def accept(
        self, text: str, operator: str, expected: int, change_id: str, key: bytes = b""
    ) -> Revision:
        """Replace the configuration if the head is still the expected revision.

        Raises `RevisionConflict` when another change came first, `StoreUnavailable` when this
        one took no effect and never will, `StoreAnswerLost` when its fate could not be settled.
        """
        revision = Revision(expected + 1, text, operator, change_id, time.time())
        if key:
            signature = sign_change(key, operator, revision.digest)
            revision = msgspec.structs.replace(revision, signature=signature)
        body = msgspec.msgpack.encode(revision)
        head = Row(HEAD_PARTITION, HEAD_SORT, revision.number, body)
        past = Row(HISTORY_PARTITION, _history_sort(revision.number), revision.number, body)
        fate = _make_fate_row(change_id, ChangeFate("accepted"))
        try:
            self._table.transact(change_id, [Put(head, expected), Put(past, 0), Put(fate, 0)])
        except (StoreAnswerLost, PreconditionFailed) as error:
            return self._resolve(revision, error)
        return revision

    def restore(self, revisions: Sequence[Revision]) -> None:
        """Write a snapshot's revisions into an empty table; raise `RevisionConflict` otherwise.

        Rows that an earlier, broken-off restore has written are kept; the head comes last.
        """
        head = self.read_head()
        if head is not None:
            raise RevisionConflict(head.number, head.operator)
        for revision in revisions:
            self._restore_past(revision)
        if revisions:
            last = revisions[-1]
            row = Row(HEAD_PARTITION, HEAD_SORT, last.number, msgspec.msgpack.encode(last))
            self._table.transact(uuid.uuid4().hex, [Put(row, 0)])

    def _restore_past(self, revision: Revision) -> None:
        body = msgspec.msgpack.encode(revision)
        sort = _history_sort(revision.number)
        past = Row(HISTORY_PARTITION, sort, revision.number, body)
        fate = _make_fate_row(revision.change_id, ChangeFate("accepted"))
        try:
            self._table.transact(uuid.uuid4().hex, [Put(past, 0), Put(fate, 0)])
        except PreconditionFailed:
            if self.read(revision.number) != revision:
                raise

    def _resolve(self, revision: Revision, cause: Exception) -> Revision:
        """Make a change's fate certain, then report it."""
        retrying = Retrying(
            retry=retry_if_exception_type((StoreUnavailable, StoreAnswerLost, PreconditionFailed)),
            wait=wait_random_exponential(multiplier=0.1, max=2.0),
            stop=stop_after_delay(self._resolve_limit_s),
            reraise=True,
        )
        try:
            fate = retrying(self._settle, revision.change_id)
            if fate.outcome == "accepted":
                return revision
            winner = retrying(self._await_winner, revision.number, cause)
        except (StoreUnavailable, StoreAnswerLost, PreconditionFailed) as error:
            raise StoreAnswerLost(
                f"revision {revision.number} may have been accepted: {error}"
            ) from error
        if winner is None:
            raise StoreUnavailable(f"revision {revision.number} was not accepted: {cause}")
        raise RevisionConflict(winner.number, winner.operator) from cause

    def _settle(self, change_id: str) -> ChangeFate:
        """Return a change's fate; withdraw the change if it has none, so that it cannot land."""
        row = self._table.get(CHANGE_PARTITION, change_id)
        if row is not None:
            return _decode(row.body, ChangeFate)
        fate = ChangeFate("withdrawn")
        self._table.transact(uuid.uuid4().hex, [Put(_make_fate_row(change_id, fate), 0)])
        return fate

    def _await_winner(self, number: int, cause: Exception) -> Revision | None:
        """Find who won, reading again while the store's reads lag behind its refusal."""
        deadline = time.monotonic() + WINNER_LIMIT_S
        while True:
            winner = self._find_winner(number)
            is_refused = isinstance(cause, PreconditionFailed)
            if winner is not None or not is_refused or time.monotonic() >= deadline:
                return winner
            time.sleep(WINNER_INTERVAL_S)

    def _find_winner(self, number: int) -> Revision | None:
        """Return the revision that stands in the way of a number, if any."""
        row = self._table.get(HISTORY_PARTITION, _history_sort(number))
        if row is not None:
            return decode_revision(row.body)
        head = self.read_head()
        if head is not None and head.number != number - 1:
            return head
        return None


def decode_revision(body: bytes) -> Revision:
    """Decode a stored revision; raise `RecordInvalid`."""
    return _decode(body, Revision)


def _decode(body: bytes, kind):
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordInvalid(f"unreadable {kind.__name__}: {error}") from error


def _make_fate_row(change_id: str, fate: ChangeFate) -> Row:
    return Row(CHANGE_PARTITION, change_id, CHANGE_VERSION, msgspec.msgpack.encode(fate))


def _history_sort(number: int) -> str:
    return f"{number:012d}"
