"""Revisions in the table: one head row, changed by compare-and-set with a change id."""

from __future__ import annotations

import hashlib
import logging
import time

import msgspec
from tenacity import Retrying, retry_if_exception_type, stop_after_delay, wait_random_exponential

from hibiscustray.deployments.signing import sign_change
from hibiscustray.exceptions import (
    NoConfiguration,
    PreconditionFailed,
    RevisionConflict,
    StoreAnswerLost,
    StoreUnavailable,
)
from hibiscustray.platform import Put, Row, Table

log = logging.getLogger(__name__)

HEAD_PARTITION = "head"
HISTORY_PARTITION = "revision"
HEAD_SORT = "head"
READ_BACK_LIMIT_S = 30.0


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


class RevisionStore:
    """Accepts revisions and reads them back; accepted means committed in the table."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def read_head(self) -> Revision | None:
        """Return the newest accepted revision; raise `StoreUnavailable`."""
        row = self._table.get(HEAD_PARTITION, HEAD_SORT)
        return msgspec.msgpack.decode(row.body, type=Revision) if row else None

    def read(self, number: int) -> Revision:
        """Return one accepted revision; raise `NoConfiguration` if there is none."""
        row = self._table.get(HISTORY_PARTITION, _history_sort(number))
        if row is None:
            raise NoConfiguration(f"there is no revision {number}")
        return msgspec.msgpack.decode(row.body, type=Revision)

    def read_history(self) -> list[Revision]:
        """Return all accepted revisions, oldest first."""
        rows = self._table.query(HISTORY_PARTITION)
        return [msgspec.msgpack.decode(row.body, type=Revision) for row in rows]

    def accept(
        self, text: str, operator: str, expected: int, change_id: str, key: bytes = b""
    ) -> Revision:
        """Replace the configuration if the head is still the expected revision.

        Raises `RevisionConflict` when another change came first, `StoreUnavailable` when this
        one took no effect, `StoreAnswerLost` when that could not be found out in time.
        """
        revision = Revision(expected + 1, text, operator, change_id, time.time())
        if key:
            signature = sign_change(key, operator, revision.digest)
            revision = msgspec.structs.replace(revision, signature=signature)
        body = msgspec.msgpack.encode(revision)
        head = Row(HEAD_PARTITION, HEAD_SORT, revision.number, body)
        past = Row(HISTORY_PARTITION, _history_sort(revision.number), revision.number, body)
        try:
            self._table.transact(change_id, [Put(head, expected), Put(past, 0)])
        except (StoreAnswerLost, PreconditionFailed):
            return self._resolve(revision)
        return revision

    def _resolve(self, revision: Revision) -> Revision:
        """Find out by reading whether a change took effect."""
        winner = self._read_back(revision.number)
        if winner is None:
            raise StoreUnavailable(f"revision {revision.number} was not accepted")
        if winner.change_id != revision.change_id:
            raise RevisionConflict(winner.number, winner.operator)
        return winner

    def _read_back(self, number: int) -> Revision | None:
        retrying = Retrying(
            retry=retry_if_exception_type(StoreUnavailable),
            wait=wait_random_exponential(multiplier=0.1, max=2.0),
            stop=stop_after_delay(READ_BACK_LIMIT_S),
            reraise=True,
        )
        try:
            row = retrying(self._table.get, HISTORY_PARTITION, _history_sort(number))
        except StoreUnavailable as error:
            raise StoreAnswerLost(f"revision {number} may have been accepted: {error}") from error
        return msgspec.msgpack.decode(row.body, type=Revision) if row else None


def _history_sort(number: int) -> str:
    return f"{number:012d}"
