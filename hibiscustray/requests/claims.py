"""Claims on caller-chosen idempotency keys, stored in the platform's table.

A row is never removed and its version only grows, so that a delayed write fails its condition on
the expected version.
"""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import (
    PlatformError,
    PreconditionFailed,
    RecordInvalid,
    StoreAnswerLost,
    StoreUnavailable,
)
from hibiscustray.protocols import Put, Row, Table
from hibiscustray.requests.ledger import RECORD_TTL_S, BodyMismatch, RecordedResponse, Uncertain

PARTITION_PREFIX = "claim/"
SORT_KEY = "claim"
MAX_CLAIM_TRIES = 4

TTL_MARGIN_S = 60.0
"""Margin before `RECORD_TTL_S` at which the ledger's record of a claim counts as expired."""


class ClaimBody(msgspec.Struct, frozen=True):
    """The body of a claim's row; `claimed_at_s` is read from the holder's monotonic clock."""

    agent: str
    incarnation: int
    nonce: str
    body_digest: str
    claimed_at_s: float
    state: Literal["running", "released", "answered", "uncertain"] = "running"
    payloads: tuple[bytes, ...] = ()
    status: int = 0
    content_type: str = ""


@dataclass(frozen=True)
class Claim:
    """A claim held by this incarnation; the attempt that wrote it may now run the request."""

    key: str
    version: int
    body: ClaimBody


@dataclass(frozen=True)
class ClaimedElsewhere:
    """Another agent incarnation holds the claim; only that one may run the request."""

    agent: str
    incarnation: int


class ClaimStore:
    """Writes and releases claims and stores outcomes for one agent incarnation."""

    def __init__(
        self,
        table: Table,
        agent: str,
        incarnation: int,
        timer: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._agent = agent
        self._incarnation = incarnation
        self._timer = timer
        self._is_table_down = False
        self._probe_lock = threading.Lock()

    def claim(
        self, key: str, body_digest: str
    ) -> Claim | ClaimedElsewhere | RecordedResponse | Uncertain | BodyMismatch:
        """Claim a key that was just added to the ledger, or return why it cannot be claimed.

        Raises `StoreUnavailable` or `StoreAnswerLost` if the claim could not be confirmed. The
        request must not run then; a write that takes effect later still claims the key for this
        incarnation. While the table does not respond, one claim at a time tries it and the others
        fail at once.
        """
        is_probe = self._is_table_down
        if is_probe and not self._probe_lock.acquire(blocking=False):
            raise StoreUnavailable("the table did not respond to the previous claim")
        try:
            claimed = self._claim(key, body_digest)
            self._is_table_down = False
            return claimed
        except PlatformError:
            self._is_table_down = True
            raise
        finally:
            if is_probe:
                self._probe_lock.release()

    def _claim(self, key: str, body_digest: str):
        claim = Claim(key, 1, self._make_body(body_digest))
        change_id = uuid.uuid4().hex
        for _ in range(MAX_CLAIM_TRIES):
            if self._write(claim, claim.version - 1, change_id):
                return claim
            row = self._table.get(PARTITION_PREFIX + key, SORT_KEY)
            if row is None:
                continue
            existing = _decode_body(row)
            if existing.nonce == claim.body.nonce:
                return claim
            conflict = self._check_existing_claim(existing, body_digest)
            if conflict is not None:
                return conflict
            claim = Claim(key, row.version + 1, claim.body)
            change_id = uuid.uuid4().hex
        raise StoreAnswerLost(f"the claim on key {key} could not be confirmed")

    def look_up(
        self, key: str, body_digest: str
    ) -> RecordedResponse | Uncertain | BodyMismatch | None:
        """Return the stored outcome of a key's request, None if there is none."""
        row = self._table.get(PARTITION_PREFIX + key, SORT_KEY)
        if row is None:
            return None
        existing = _decode_body(row)
        if existing.body_digest != body_digest:
            return BodyMismatch()
        return _read_outcome(existing)

    def release(self, claim: Claim, change_id: str) -> None:
        """Release a key whose request did not run, so that others may claim it."""
        self._replace(claim, msgspec.structs.replace(claim.body, state="released"), change_id)

    def record_outcome(
        self, claim: Claim, outcome: RecordedResponse | Uncertain, change_id: str
    ) -> None:
        """Store the outcome of a claimed request for repeats of it at other agents."""
        match outcome:
            case RecordedResponse(payloads=payloads, status=status, content_type=content_type):
                body = msgspec.structs.replace(
                    claim.body,
                    state="answered",
                    payloads=payloads,
                    status=status,
                    content_type=content_type,
                )
            case Uncertain():
                body = msgspec.structs.replace(claim.body, state="uncertain")
        self._replace(claim, body, change_id)

    def make_unwritten_claim(self, key: str, body_digest: str) -> Claim:
        """Return a claim that is not in the table yet.

        A ticket runs without a claim; at a planned stop its outcome is stored by such a claim.
        """
        return Claim(key, 0, self._make_body(body_digest))

    def _make_body(self, body_digest: str) -> ClaimBody:
        return ClaimBody(
            self._agent, self._incarnation, uuid.uuid4().hex, body_digest, self._timer()
        )

    def _check_existing_claim(self, existing: ClaimBody, body_digest: str):
        """Return why an existing claim prevents a new one, None if it does not."""
        if existing.body_digest != body_digest:
            return BodyMismatch()
        outcome = _read_outcome(existing)
        if outcome is not None or existing.state == "released":
            return outcome
        if (existing.agent, existing.incarnation) != (self._agent, self._incarnation):
            return ClaimedElsewhere(existing.agent, existing.incarnation)
        # The key was not in the ledger. That proves that its request did not run only if the
        # ledger would still hold the record of an earlier run.
        if self._timer() - existing.claimed_at_s < RECORD_TTL_S - TTL_MARGIN_S:
            return None
        return Uncertain("the claim is older than the records of the agent's ledger")

    def _write(self, claim: Claim, expected: int, change_id: str) -> bool:
        row = Row(
            PARTITION_PREFIX + claim.key,
            SORT_KEY,
            claim.version,
            msgspec.msgpack.encode(claim.body),
        )
        try:
            self._table.transact(change_id, [Put(row, expected)])
            return True
        except (PreconditionFailed, StoreAnswerLost):
            return False

    def _replace(self, claim: Claim, body: ClaimBody, change_id: str) -> None:
        row = Row(
            PARTITION_PREFIX + claim.key, SORT_KEY, claim.version + 1, msgspec.msgpack.encode(body)
        )
        try:
            self._table.transact(change_id, [Put(row, claim.version)])
        except PreconditionFailed:
            return
        except StoreAnswerLost:
            stored = self._table.get(row.partition, row.sort)
            if stored is None or stored.version < row.version:
                raise


def _decode_body(row: Row) -> ClaimBody:
    try:
        return msgspec.msgpack.decode(row.body, type=ClaimBody)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"cannot decode claim {row.partition}: {error}") from error


def _read_outcome(existing: ClaimBody) -> RecordedResponse | Uncertain | None:
    match existing.state:
        case "answered":
            return RecordedResponse(existing.payloads, existing.status, existing.content_type)
        case "uncertain":
            return Uncertain("the first request with this key ended without a known response")
    return None
