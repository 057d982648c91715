"""Client of the platform's store: whole tables and their changes."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from hibiscustray.exceptions import (
    HistoryLost,
    RecordInvalid,
    StoreUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.feeds import (
    CatalogPublished,
    Change,
    EntryRejected,
    FeedPage,
    ReplicaListed,
    ReplicaUnlisted,
    VersionNamed,
)
from hibiscustray.platform.records import decode_catalog, decode_replica, decode_version
from hibiscustray.platform.wire import (
    CONFIGURATION_KEY,
    MS_PER_S,
    OPERATOR_TABLE,
    REPLICA_TABLE,
    ROWS_FEED_PATH,
    ROWS_GET_PATH,
    VERSION_KEY_PREFIX,
)
from hibiscustray.web import HttpClient

OK = 200
GONE = 410
ANSWER_TIMEOUT_S = 1.0
"""Time for an answer beyond the wait asked for; the store takes milliseconds."""
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


class PlatformStore:
    """Reads tables of the platform's store."""

    def __init__(self, address: str) -> None:
        self._http = HttpClient(f"http://{address}", ANSWER_TIMEOUT_S)

    def read_table(self, table: str) -> _Page:
        """Return all rows of a table's empty partition; raise `StoreUnavailable`."""
        rows: list[_Row] = []
        query = {"table": table, "part": ""}
        while True:
            page = self._get(ROWS_GET_PATH, query, ANSWER_TIMEOUT_S)
            rows.extend(page.rows)
            if not page.truncated or not page.rows:
                return _Page(tuple(rows), page.revision)
            # The range begins with its first key, so it goes on just behind the last one.
            query["rangeStart"] = page.rows[-1].key + "\0"

    def follow_table(self, table: str, revision: int, wait_s: float) -> _Page:
        """Return the rows changed since a revision, waiting for a first one.

        Raises `HistoryLost` or `StoreUnavailable`.
        """
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "sinceRev": revision, "waitMs": wait_ms}
        return self._get(ROWS_FEED_PATH, query, wait_s + ANSWER_TIMEOUT_S)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _get(self, path: str, query: dict, timeout_s: float) -> _Page:
        try:
            stream = self._http.open(
                "GET",
                f"{path}?{urlencode(query)}",
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
            try:
                status, body = stream.status, stream.read_all()
            finally:
                stream.close()
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error
        if status == GONE:
            raise HistoryLost(f"the history since {query.get('sinceRev')} is gone")
        if status != OK:
            raise StoreUnavailable(f"the store answered {status}")
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
        return FeedPage(tuple(self._convert_row(row) for row in page.rows), page.revision)

    def _convert_row(self, row: _Row) -> Change:
        try:
            value = None if row.tombstone else base64.b64decode(row.value, validate=True)
            return self._read_row(row.key, value)
        except (binascii.Error, ValueError, RecordInvalid) as error:
            return EntryRejected(row.key, str(error)[:200])


class OperatorFeed(_TableFeed):
    """The operator's configuration and named versions."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, OPERATOR_TABLE, _read_operator_row)


class ReplicaFeed(_TableFeed):
    """The list of replicas."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, REPLICA_TABLE, _read_replica_row)


def _read_operator_row(key: str, value: bytes | None) -> Change:
    if value is None:
        return EntryRejected(key, "removed; the last value stays in force")
    if key == CONFIGURATION_KEY:
        return CatalogPublished(decode_catalog(value))
    if key.startswith(VERSION_KEY_PREFIX):
        return VersionNamed(decode_version(value))
    return EntryRejected(key, "not a key of the operator")


def _read_replica_row(key: str, value: bytes | None) -> Change:
    if value is None:
        return ReplicaUnlisted(key)
    return ReplicaListed(decode_replica(key, value))
