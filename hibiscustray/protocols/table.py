"""Client of the transactional table service, in the DynamoDB JSON protocol.

Source: Amazon DynamoDB API reference, version 2012-08-10 (GetItem, Query, TransactWriteItems).
"""

from __future__ import annotations

import base64
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import (
    PreconditionFailed,
    RecordInvalid,
    StoreAnswerLost,
    StoreUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.web import ClientResponse, HttpClient

TABLE_NAME = "hibiscustray"
TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
ANY_VERSION = -1
"""Expected version of an unconditional write, whether the row exists or not."""


@dataclass(frozen=True)
class Row:
    """A table row: partition key, sort key, version for conditional writes, and body."""

    partition: str
    sort: str
    version: int
    body: bytes


@dataclass(frozen=True)
class Put:
    """Writes a row if the stored version is the expected one; 0 requires that no row is stored."""

    row: Row
    expected: int = ANY_VERSION


@dataclass(frozen=True)
class Delete:
    """Deletes a row if the stored version is the expected one."""

    partition: str
    sort: str
    expected: int = ANY_VERSION


class Table:
    """Reads rows of the platform's table and writes them in conditional transactions."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._http = HttpClient(url, timeout_s)

    def get(self, partition: str, sort: str) -> Row | None:
        """Return a row by a consistent read; raise `StoreUnavailable` or `RecordInvalid`."""
        key = {"pk": {"S": partition}, "sk": {"S": sort}}
        response = self._read("GetItem", {"Key": key, "ConsistentRead": True})
        item = response.get("Item")
        return _decode_item(item) if item else None

    def query(self, partition: str) -> list[Row]:
        """Return all rows of a partition in the order of their sort keys."""
        rows: list[Row] = []
        request: dict[str, Any] = {
            "KeyConditionExpression": "pk = :pk",
            "ExpressionAttributeValues": {":pk": {"S": partition}},
            "ConsistentRead": True,
        }
        while True:
            page = self._read("Query", request)
            rows.extend(_decode_items(page))
            last_key = page.get("LastEvaluatedKey")
            if not last_key:
                return rows
            request["ExclusiveStartKey"] = last_key

    def transact(self, change_id: str, writes: Iterable[Put | Delete]) -> None:
        """Apply all writes or none; `change_id` makes a repeated call idempotent.

        Raises `PreconditionFailed`, `StoreUnavailable` (nothing written) or `StoreAnswerLost`.
        """
        body = {
            "ClientRequestToken": change_id,
            "TransactItems": [_encode_write(write) for write in writes],
        }
        try:
            response = self._send("TransactWriteItems", body)
        except UpstreamUnreachable as error:
            raise StoreUnavailable(str(error)) from error
        except UpstreamConnectionLost as error:
            raise StoreAnswerLost(str(error)) from error
        if response.status == 400 and b"TransactionCanceled" in response.body:
            raise PreconditionFailed("stored version of a row differs from the expected version")
        if response.status >= 500:
            raise StoreAnswerLost(f"table returned HTTP status {response.status}")
        if response.status != 200:
            raise StoreUnavailable(
                f"table returned HTTP status {response.status}: {response.body[:200]!r}"
            )

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _read(self, operation: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            response = self._send(operation, body)
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status != 200:
            raise StoreUnavailable(f"table returned HTTP status {response.status}")
        try:
            return msgspec.json.decode(response.body, type=dict)
        except DECODE_ERRORS as error:
            raise StoreUnavailable(f"table returned invalid JSON: {error}") from error

    def _send(self, operation: str, body: dict[str, Any]) -> ClientResponse:
        headers = {"X-Amz-Target": TARGET_PREFIX + operation, "Content-Type": CONTENT_TYPE}
        return self._http.call(
            "POST", "/", msgspec.json.encode({"TableName": TABLE_NAME, **body}), headers
        )


def _encode_write(write: Put | Delete) -> dict[str, Any]:
    match write:
        case Put(row=row, expected=expected):
            item = {
                "pk": {"S": row.partition},
                "sk": {"S": row.sort},
                "version": {"N": str(row.version)},
                "body": {"B": base64.b64encode(row.body).decode()},
            }
            return {"Put": {"TableName": TABLE_NAME, "Item": item, **_encode_condition(expected)}}
        case Delete(partition=partition, sort=sort, expected=expected):
            key = {"pk": {"S": partition}, "sk": {"S": sort}}
            return {"Delete": {"TableName": TABLE_NAME, "Key": key, **_encode_condition(expected)}}


def _encode_condition(expected: int) -> dict[str, Any]:
    if expected == ANY_VERSION:
        return {}
    if expected == 0:
        return {"ConditionExpression": "attribute_not_exists(pk)"}
    return {
        "ConditionExpression": "version = :expected",
        "ExpressionAttributeValues": {":expected": {"N": str(expected)}},
    }


def _decode_items(page: dict[str, Any]) -> list[Row]:
    items = page.get("Items", [])
    if not isinstance(items, list):
        raise RecordInvalid("invalid Query response: Items is not a list")
    return [_decode_item(item) for item in items]


def _decode_item(item: Any) -> Row:
    try:
        return Row(
            _require_str(item["pk"]["S"]),
            _require_str(item["sk"]["S"]),
            int(item["version"]["N"]),
            base64.b64decode(item["body"]["B"], validate=True),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordInvalid(f"cannot decode row: {error!r}") from error


def _require_str(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"found {type(value).__name__}, expected text")
    return value
