"""HTTP client of the platform's store, and change feeds of its tables."""

from __future__ import annotations

import base64
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec

from hibiscustray.decoding import decode_json
from hibiscustray.exceptions import (
    HistoryLost,
    RecordInvalid,
    StoreUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.feeds import (
    Announcement,
    CatalogPublished,
    Change,
    FeedPage,
    RelayState,
    ReplicaListed,
    ReplicaUnlisted,
    RowRejected,
    TargetVersionSet,
    decode_copy,
    decode_entry_row,
    decode_relay_row,
    encode_copy,
    is_earlier_era,
    make_announcement,
    make_relay_key,
)
from hibiscustray.platform.records import decode_catalog, decode_replica, decode_target_version
from hibiscustray.platform.wire import (
    CONFIGURATION_KEY,
    ENTRY_TABLE,
    MS_PER_S,
    OBJECT_GET_PATH,
    OBJECT_PUT_PATH,
    OPERATOR_TABLE,
    RELAY_TABLE,
    REPLICA_TABLE,
    ROWS_FEED_PATH,
    ROWS_GET_PATH,
    ROWS_TX_PATH,
    STORE_ERA,
    VERSION_KEY_PREFIX,
)
from hibiscustray.quarantine import (
    EntryReport,
    StoredBlock,
    decode_block,
    encode_block,
    encode_report,
)
from hibiscustray.web import ClientResponse, HttpClient
from hibiscustray.web.numbers import read_number

OK = 200
WRITE_STATUSES = (200, 201, 204)
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
JSON_HEADERS = {"Content-Type": "application/json"}
COPY_OBJECT_NAME = "hibiscustray-operator-table"
"""Object that holds the compressed copy of the operator's table."""
CALL_TIMEOUT_S = 2.5
"""Time without data after which a call fails, by default. A link between regions that is busy with
weights and configurations delays responses by two seconds, and each retry adds to its load."""
CONNECT_TIMEOUT_S = 0.5


class _Row(msgspec.Struct, frozen=True):
    key: str
    value: str = ""
    revision: int = 0
    # True if the row was removed.
    tombstone: bool = False


class _Page(msgspec.Struct, frozen=True):
    # All responses of the store about rows have it; others are not those of a table without rows.
    revision: int
    rows: tuple[_Row, ...] = ()
    truncated: bool = False
    # Time on the store's monotonic clock.
    server_time_ms: float = msgspec.field(default=0.0, name="serverTimeMs")
    # Set by the client: times of `read_clock` at which the call had been sent and at which the
    # response headers were read, and body length.
    call_sent_at: float | None = None
    read_at: float = 0.0
    size_b: int = 0
    era: int | None = None


class PlatformStore:
    """Reads and writes tables and objects of the platform's store.

    Calls fail that receive nothing for `call_s` seconds.
    """

    def __init__(self, address: str, call_s: float = CALL_TIMEOUT_S) -> None:
        # Each call opens a new connection, as an idle one may have gone silent.
        self._http = HttpClient(f"http://{address}", max_idle_connections=0)
        self.call_s = call_s

    def read_table(self, table: str, key_prefix: str = "") -> _Page:
        """Return all rows of a table's partition with an empty name; raise `StoreUnavailable`."""
        rows: list[_Row] = []
        query = {"table": table, "part": ""}
        if key_prefix:
            query["rangeStart"] = key_prefix
            query["target"] = key_prefix[:-1] + chr(ord(key_prefix[-1]) + 1)
        first: _Page | None = None
        while True:
            page = self._get(ROWS_GET_PATH, query)
            first = first or page
            if page.era != first.era:
                raise StoreUnavailable(f"the store was restored while {table} was read")
            rows.extend(page.rows)
            if not page.truncated:
                return msgspec.structs.replace(first, rows=tuple(rows))
            if not page.rows:
                raise StoreUnavailable(f"a page of the table {table} ended before its first row")
            # The start of a range is inclusive: continue with the smallest key after the last one.
            query["rangeStart"] = page.rows[-1].key + "\0"

    def follow_table(self, table: str, revision: int, wait_s: float) -> _Page:
        """Return the rows changed since a revision, waiting up to `wait_s` for the first change.

        Raises `HistoryLost` or `StoreUnavailable`.
        """
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "sinceRev": revision, "waitMs": wait_ms}
        return self._get(ROWS_FEED_PATH, query)

    def write_rows(self, table: str, rows: dict[str, tuple[bytes, int]]) -> tuple[_Row, ...]:
        """Write values in one transaction if each row still has the given revision, 0 for no row.

        Returns an empty tuple on success, else the current rows, a tombstone for each missing one.
        Raises `StoreUnavailable`.
        """
        conditions, puts = [], []
        for key, (value, revision) in rows.items():
            row_id = {"table": table, "part": "", "key": key}
            conditions.append(row_id | {"revision": revision})
            puts.append(row_id | {"value": base64.b64encode(value).decode()})
        return self._change_rows(conditions, puts)

    def put_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row, or remove it if `value` is empty; raise `StoreUnavailable`."""
        row_id = {"table": table, "part": "", "key": key}
        if value:
            self._change_rows([], [row_id | {"value": base64.b64encode(value).decode()}])
        else:
            self._change_rows([], [], [row_id])

    def _change_rows(
        self, conditions: list[dict], puts: list[dict], removals: list[dict] | None = None
    ) -> tuple[_Row, ...]:
        body = {"precondition": conditions, "puts": puts, "remove": removals or []}
        response = self._call("POST", ROWS_TX_PATH, msgspec.json.encode(body))
        if response.status == OK:
            return ()
        if response.status != PRECONDITION_FAILED:
            raise StoreUnavailable(f"the store returned HTTP status {response.status}")
        found = {row.key: row for row in decode_json(response.body, _Page, StoreUnavailable).rows}
        keys = [condition["key"] for condition in conditions]
        return tuple(found.get(key, _Row(key, tombstone=True)) for key in keys)

    def read_object(self, name: str) -> bytes | None:
        """Return an object's bytes, None if it does not exist; raise `StoreUnavailable`."""
        response = self._call("GET", f"{OBJECT_GET_PATH}{name}")
        if response.status not in (OK, NOT_FOUND):
            raise StoreUnavailable(f"the store returned HTTP status {response.status}")
        return response.body if response.status == OK else None

    def write_object(self, name: str, body: bytes) -> None:
        """Write an object, replacing an earlier one; raise `StoreUnavailable`."""
        response = self._call("PUT", f"{OBJECT_PUT_PATH}{name}", body)
        if response.status not in WRITE_STATUSES:
            raise StoreUnavailable(f"the store returned HTTP status {response.status}")

    def _get(self, path: str, query: dict) -> _Page:
        response = self._call("GET", f"{path}?{urlencode(query)}")
        if response.status == GONE:
            raise HistoryLost(f"changes since {query.get('sinceRev')} are no longer stored")
        if response.status != OK:
            raise StoreUnavailable(f"the store returned HTTP status {response.status}")
        return msgspec.structs.replace(
            decode_json(response.body, _Page, StoreUnavailable),
            call_sent_at=response.sent_at,
            read_at=response.read_at,
            size_b=len(response.body),
            era=read_number(response.headers.get(STORE_ERA.lower(), "")),
        )

    def _call(self, method: str, path: str, body: bytes = b"") -> ClientResponse:
        headers = JSON_HEADERS if method == "POST" else {}
        try:
            return self._http.call(method, path, body, headers, self.call_s, CONNECT_TIMEOUT_S)
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error


class _TableFeed:
    """Converts a table's rows into changes; an invalid row becomes a `RowRejected`."""

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
        """Return the changes since a revision, waiting up to `wait_s` for the first one."""
        return self._convert(self._store.follow_table(self.name, revision, wait_s))

    def limit_calls(self, call_s: float) -> None:
        """Let later calls fail that receive nothing for `call_s` seconds."""
        self._store.call_s = call_s

    def _convert(self, page: _Page) -> FeedPage:
        return _convert_page(page, self._read_row)


class OperatorFeed(_TableFeed):
    """Feed of the operator's configuration and target versions, which also relays them.

    A copy of the table is written to an object, and the configuration's revision and the target
    versions are written to the relay table.
    """

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, OPERATOR_TABLE, _read_operator_row)
        self._rows: dict[str, _Row] = {}
        self._revision = 0
        self._era: int | None = None

    def read_state(self) -> RelayState:
        """Return the announcements in the relay table."""
        page = self._store.read_table(RELAY_TABLE)
        announcements = tuple(_read_announcement(row) for row in page.rows)
        return RelayState(announcements, page.server_time_ms / MS_PER_S)

    def write_copy(self) -> None:
        """Write a compressed copy of the table as it was last read."""
        values = {row.key: base64.b64decode(row.value) for row in self._rows.values()}
        self._store.write_object(COPY_OBJECT_NAME, encode_copy(self._revision, values, self._era))

    def write_announcements(
        self, announcements: tuple[Announcement, ...]
    ) -> tuple[Announcement, ...]:
        """Write rows of the relay table; return the current rows if others changed them first."""
        rows = {
            make_relay_key(a.model): (msgspec.json.encode(a.number), a.row_revision)
            for a in announcements
        }
        current = self._store.write_rows(RELAY_TABLE, rows)
        return tuple(_read_announcement(row) for row in current)

    def _convert(self, page: _Page) -> FeedPage:
        converted = super()._convert(page)
        if page.era != self._era and not is_earlier_era(page.era, self._era):
            self._era, self._revision = page.era, 0
        for row in page.rows:
            self._rows[row.key] = row
        self._revision = max(self._revision, page.revision)
        return converted


class RelayedOperatorFeed(_TableFeed):
    """Feed of the relay table, with access to the operator's table and its copy."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, RELAY_TABLE, decode_relay_row)

    def read_table(self) -> FeedPage:
        """Return all rows of the operator's table."""
        return self._read_operator("")

    def read_small(self) -> FeedPage:
        """Return the target versions from the operator's table, without the configuration."""
        return self._read_operator(VERSION_KEY_PREFIX)

    def read_copy(self) -> FeedPage | None:
        """Return the copy of the operator's table, None if there is none."""
        body = self._store.read_object(COPY_OBJECT_NAME)
        if body is None:
            return None
        copy = decode_copy(body)
        rows = tuple(_Row(row.key, base64.b64encode(row.value).decode()) for row in copy.rows)
        return _convert_page(_Page(copy.revision, rows, era=copy.era), _read_operator_row)

    def _read_operator(self, prefix: str) -> FeedPage:
        return _convert_page(self._store.read_table(OPERATOR_TABLE, prefix), _read_operator_row)


class ReplicaFeed(_TableFeed):
    """Feed of the replica list."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, REPLICA_TABLE, _read_replica_row)


class EntryFeed(_TableFeed):
    """Feed of the entries' reports and of blocked requests, which also writes them."""

    def __init__(self, store: PlatformStore) -> None:
        super().__init__(store, ENTRY_TABLE, decode_entry_row)

    def write_report(self, entry_id: str, report: EntryReport) -> None:
        """Write an entry's row."""
        self._store.put_row(ENTRY_TABLE, entry_id, encode_report(report))

    def remove_report(self, entry_id: str) -> None:
        """Remove an entry's row."""
        self._store.put_row(ENTRY_TABLE, entry_id, b"")

    def read_block(self, request: str) -> tuple[StoredBlock | None, int]:
        """Return the row of a blocked request and its revision, None and 0 if there is none."""
        for row in self._store.read_table(ENTRY_TABLE, request).rows:
            return decode_block(base64.b64decode(row.value)), row.revision
        return None, 0

    def write_block(self, request: str, block: StoredBlock, revision: int) -> None:
        """Write the row of a blocked request if it still has a revision, 0 for no row."""
        self._store.write_rows(ENTRY_TABLE, {request: (encode_block(block), revision)})


def _convert_page(page: _Page, read_row: Callable[[str, bytes | None], Change]) -> FeedPage:
    changes = tuple(_convert_row(row, read_row) for row in page.rows)
    times = (page.read_at, page.size_b, page.server_time_ms / MS_PER_S, page.call_sent_at)
    return FeedPage(changes, page.revision, *times, page.era)


def _convert_row(row: _Row, read_row: Callable[[str, bytes | None], Change]) -> Change:
    try:
        value = None if row.tombstone else base64.b64decode(row.value, validate=True)
        return read_row(row.key, value)
    except (ValueError, RecordInvalid) as error:
        return RowRejected(row.key, str(error)[:200])


def _read_announcement(row: _Row) -> Announcement:
    return make_announcement(row.key, _convert_row(row, decode_relay_row), row.revision)


def _read_operator_row(key: str, value: bytes | None) -> Change:
    if value is None:
        return RowRejected(key, "row removed; the last value stays active")
    if key == CONFIGURATION_KEY:
        return CatalogPublished(decode_catalog(value))
    if key.startswith(VERSION_KEY_PREFIX):
        return TargetVersionSet(decode_target_version(value))
    return RowRejected(key, "unknown key in the operator's table")


def _read_replica_row(key: str, value: bytes | None) -> Change:
    return ReplicaUnlisted(key) if value is None else ReplicaListed(decode_replica(key, value))
