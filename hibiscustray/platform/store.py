"""Client of the platform's store: whole tables and their changes."""

from __future__ import annotations

import base64
import binascii
import logging
import time
import zlib
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from hibiscustray.catalog import WeightsVersion
from hibiscustray.exceptions import (
    HistoryLost,
    RecordInvalid,
    StoreUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.feeds import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    Change,
    FeedPage,
    RelayState,
    ReplicaListed,
    ReplicaUnlisted,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.platform.records import decode_catalog, decode_replica, decode_version
from hibiscustray.platform.wire import (
    CATALOG_KEY,
    CONFIGURATION_KEY,
    MS_PER_S,
    OBJECT_GET_PATH,
    OBJECT_PUT_PATH,
    OPERATOR_TABLE,
    RELAY_TABLE,
    REPLICA_TABLE,
    ROWS_FEED_PATH,
    ROWS_GET_PATH,
    ROWS_TX_PATH,
    VERSION_KEY_PREFIX,
)
from hibiscustray.web import HttpClient

log = logging.getLogger(__name__)

OK = 200
WRITTEN = (200, 201, 204)
MISSING = 404
GONE = 410
CONDITION_FAILED = 412
JSON_HEADERS = {"Content-Type": "application/json"}
COPY_NAME = "hibiscustray-operator-table"
"""Object with the compressed copy of the operator's table."""
ANSWER_MARGIN_S = 1.0
"""Time for an answer beyond the wait asked for; the store takes milliseconds."""
SILENCE_S = 3.0
"""Shortest silence after which a call is given up. A link between regions that carries weights and
configurations holds answers back for two seconds, and each call made again adds to its load."""
CONNECT_TIMEOUT_S = 0.5


class _Row(msgspec.Struct, frozen=True):
    key: str
    value: str = ""
    revision: int = 0
    # Set on a row that was removed.
    tombstone: bool = False


class _Page(msgspec.Struct, frozen=True):
    rows: tuple[_Row, ...] = ()
    revision: int = 0
    truncated: bool = False
    # The store's steady clock.
    server_time_ms: float = msgspec.field(default=0.0, name="serverTimeMs")
    # Not on the wire: monotonic time of the answer's head, and length of the body.
    answered_at: float = 0.0
    size_b: int = 0


class _CopiedRow(msgspec.Struct, frozen=True):
    key: str
    value: bytes


class _Copy(msgspec.Struct, frozen=True):
    """A table as of a revision; stored compressed as one object."""

    revision: int
    rows: tuple[_CopiedRow, ...]


class PlatformStore:
    """Reads tables of the platform's store."""

    def __init__(self, address: str) -> None:
        self._http = HttpClient(f"http://{address}", SILENCE_S)

    def read_table(self, table: str, key_prefix: str = "") -> _Page:
        """Return the rows of a table's empty partition; raise `StoreUnavailable`."""
        rows: list[_Row] = []
        query = {"table": table, "part": ""}
        if key_prefix:
            query["rangeStart"] = key_prefix
            query["target"] = key_prefix[:-1] + chr(ord(key_prefix[-1]) + 1)
        first: _Page | None = None
        while True:
            page = self._get(ROWS_GET_PATH, query, SILENCE_S)
            first = first or page
            rows.extend(page.rows)
            if not page.truncated or not page.rows:
                return msgspec.structs.replace(first, rows=tuple(rows), revision=page.revision)
            # The range begins with its first key, so it goes on just behind the last one.
            query["rangeStart"] = page.rows[-1].key + "\0"

    def follow_table(self, table: str, revision: int, wait_s: float) -> _Page:
        """Return the rows changed since a revision, waiting for a first one.

        Raises `HistoryLost` or `StoreUnavailable`.
        """
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "sinceRev": revision, "waitMs": wait_ms}
        return self._get(ROWS_FEED_PATH, query, max(SILENCE_S, wait_s + ANSWER_MARGIN_S))

    def write_rows(self, table: str, rows: dict[str, tuple[bytes, int]]) -> tuple[_Row, ...]:
        """Write the rows' values if each row is still of its revision, 0 for none.

        Returns nothing when they are written, else the rows as they are. Raises `StoreUnavailable`.
        """
        conditions, puts = [], []
        for key, (value, revision) in rows.items():
            name = {"table": table, "part": "", "key": key}
            conditions.append(name | {"revision": revision})
            puts.append(name | {"value": base64.b64encode(value).decode()})
        body = msgspec.json.encode({"precondition": conditions, "puts": puts, "remove": []})
        status, answer, _ = self._call("POST", ROWS_TX_PATH, SILENCE_S, body)
        if status == OK:
            return ()
        if status != CONDITION_FAILED:
            raise StoreUnavailable(f"the store answered {status}")
        return _decode_page(answer).rows

    def read_object(self, name: str) -> bytes | None:
        """Return an object's bytes, None if there is none; raise `StoreUnavailable`."""
        status, body, _ = self._call("GET", f"{OBJECT_GET_PATH}{name}", SILENCE_S)
        if status not in (OK, MISSING):
            raise StoreUnavailable(f"the store answered {status}")
        return body if status == OK else None

    def write_object(self, name: str, body: bytes) -> None:
        """Write an object in place of any earlier one; raise `StoreUnavailable`."""
        status, _, _ = self._call("PUT", f"{OBJECT_PUT_PATH}{name}", SILENCE_S, body)
        if status not in WRITTEN:
            raise StoreUnavailable(f"the store answered {status}")

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _get(self, path: str, query: dict, timeout_s: float) -> _Page:
        status, body, answered_at = self._call("GET", f"{path}?{urlencode(query)}", timeout_s)
        if status == GONE:
            raise HistoryLost(f"the history since {query.get('sinceRev')} is gone")
        if status != OK:
            raise StoreUnavailable(f"the store answered {status}")
        return msgspec.structs.replace(
            _decode_page(body),
            answered_at=answered_at,
            size_b=len(body),
        )

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
    ) -> tuple[int, bytes, float]:
        """Return an answer's status, body and the monotonic time at which it began."""
        headers = JSON_HEADERS if method == "POST" else {}
        limits = {"timeout_s": timeout_s, "connect_timeout_s": CONNECT_TIMEOUT_S}
        try:
            stream = self._http.open(method, path, body, headers, **limits)
            answered_at = time.monotonic()
            try:
                stream.set_timeout(SILENCE_S)
                return stream.status, stream.read_all(), answered_at
            finally:
                stream.close()
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error


def _decode_page(body: bytes) -> _Page:
    try:
        return msgspec.json.decode(body, type=_Page)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreUnavailable(f"unreadable answer of the store: {error}") from error


class _TableFeed:
    """One table whose rows become changes; a row that cannot be read is rejected by itself."""

    def __init__(
        self, store: PlatformStore, table: str, read_row: Callable[[str, bytes | None], Change]
    ) -> None:
        self.name = table
        self._store = store
        self._read_row = read_row

    def read(self) -> FeedPage:
        """Return the whole table."""
        return self._convert(self._store.read_table(self.name))

    def follow(self, revision: int, wait_s: float) -> FeedPage:
        """Return what changed since a revision."""
        return self._convert(self._store.follow_table(self.name, revision, wait_s))

    def _convert(self, page: _Page) -> FeedPage:
        return _convert_page(page, self._read_row)


class OperatorFeed(_TableFeed):
    """The operator's configuration and target versions, and their relay to other processes.

    A copy of the table is an object; a configuration is announced, and a version repeated, by a row
    of a table of this system.
    """

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, OPERATOR_TABLE, _read_operator_row)
        self._rows: dict[str, _Row] = {}
        self._revision = 0

    def read_state(self) -> RelayState:
        """Return the relayed rows."""
        page = self._store.read_table(RELAY_TABLE)
        announcements = tuple(_read_announcement(row) for row in page.rows)
        return RelayState(announcements, page.server_time_ms / MS_PER_S)

    def write_copy(self) -> None:
        """Store the table as it was last read."""
        known = self._rows.values()
        rows = tuple(_CopiedRow(row.key, base64.b64decode(row.value)) for row in known)
        body = msgspec.msgpack.encode(_Copy(self._revision, rows))
        self._store.write_object(COPY_NAME, zlib.compress(body))

    def write_announcements(
        self, announcements: tuple[Announcement, ...]
    ) -> tuple[Announcement, ...]:
        """Write relayed rows; return the rows as they are if others were faster."""
        rows = {
            _make_relayed_key(a.model): (msgspec.json.encode(a.number), a.row_revision)
            for a in announcements
        }
        current = self._store.write_rows(RELAY_TABLE, rows)
        return tuple(_read_announcement(row) for row in current)

    def _convert(self, page: _Page) -> FeedPage:
        converted = super()._convert(page)
        for row in page.rows:
            self._rows[row.key] = row
        self._revision = max(self._revision, page.revision)
        return converted


class RelayedOperatorFeed(_TableFeed):
    """The operator's table as others relay it."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, RELAY_TABLE, _read_relayed_row)

    def read_table(self) -> FeedPage:
        """Return the operator's table itself."""
        return self._read_operator("")

    def read_small(self) -> FeedPage:
        """Return the target versions from the operator's table itself."""
        return self._read_operator(VERSION_KEY_PREFIX)

    def read_copy(self) -> FeedPage | None:
        """Return the copied table."""
        body = self._store.read_object(COPY_NAME)
        if body is None:
            return None
        try:
            copy = msgspec.msgpack.decode(zlib.decompress(body), type=_Copy)
        except (zlib.error, msgspec.DecodeError) as error:
            raise RecordInvalid(f"unreadable copy: {error}") from error
        rows = tuple(_Row(row.key, base64.b64encode(row.value).decode()) for row in copy.rows)
        return _convert_page(_Page(rows, copy.revision), _read_operator_row)

    def _read_operator(self, key_prefix: str) -> FeedPage:
        page = self._store.read_table(OPERATOR_TABLE, key_prefix)
        return _convert_page(page, _read_operator_row)


class ReplicaFeed(_TableFeed):
    """The list of replicas."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, REPLICA_TABLE, _read_replica_row)


def _convert_page(page: _Page, read_row: Callable[[str, bytes | None], Change]) -> FeedPage:
    changes = tuple(_convert_row(row, read_row) for row in page.rows)
    return FeedPage(
        changes, page.revision, page.answered_at, page.size_b, page.server_time_ms / MS_PER_S
    )


def _convert_row(row: _Row, read_row: Callable[[str, bytes | None], Change]) -> Change:
    try:
        value = None if row.tombstone else base64.b64decode(row.value, validate=True)
        return read_row(row.key, value)
    except (binascii.Error, ValueError, RecordInvalid) as error:
        return RowRejected(row.key, str(error)[:200])


def _make_relayed_key(model: str) -> str:
    return VERSION_KEY_PREFIX + model if model else CATALOG_KEY


def _read_announcement(row: _Row) -> Announcement:
    """Read a relayed row; one that cannot be read counts as old, so that it is written anew."""
    change = _convert_row(row, _read_relayed_row)
    match change:
        case CatalogAnnounced(revision=number):
            return Announcement("", number, row.revision)
        case TargetVersionSet(target=target):
            return Announcement(target.model, target.version, row.revision)
    log.warning("relayed row unreadable", extra={"key": row.key, "change": str(change)})
    model = row.key.removeprefix(VERSION_KEY_PREFIX) if row.key != CATALOG_KEY else ""
    return Announcement(model, 0, row.revision)


def _read_relayed_row(key: str, value: bytes | None) -> Change:
    try:
        number = msgspec.json.decode(value or b"", type=int)
    except msgspec.DecodeError as error:
        raise RecordInvalid(f"{key}: {error}") from error
    if key == CATALOG_KEY:
        return CatalogAnnounced(number)
    return TargetVersionSet(WeightsVersion(key.removeprefix(VERSION_KEY_PREFIX), number))


def _read_operator_row(key: str, value: bytes | None) -> Change:
    if value is None:
        return RowRejected(key, "removed; the last value stays in force")
    if key == CONFIGURATION_KEY:
        return CatalogPublished(decode_catalog(value))
    if key.startswith(VERSION_KEY_PREFIX):
        return TargetVersionSet(decode_version(value))
    return RowRejected(key, "not a key of the operator")


def _read_replica_row(key: str, value: bytes | None) -> Change:
    if value is None:
        return ReplicaUnlisted(key)
    return ReplicaListed(decode_replica(key, value))
