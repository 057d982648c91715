"""Formats of rows of the entries and the relay, and the object with a copy of a table."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Mapping
from typing import Annotated

import msgspec

from hibiscustray.catalog import WeightsVersion
from hibiscustray.decoding import DECODE_ERRORS, decode_json, inflate
from hibiscustray.exceptions import RecordInvalid
from hibiscustray.feeds.changes import (
    Announcement,
    CatalogAnnounced,
    Change,
    EntryReported,
    EntryUnlisted,
    RequestBlocked,
    RequestReleased,
    TargetVersionSet,
)
from hibiscustray.quarantine import decode_block, decode_report, is_request

log = logging.getLogger(__name__)

CATALOG_KEY = "catalog"
MAX_COPY_B = 16 * 1024 * 1024
"""Longest copy of a table, many times that of a configuration of thousands of routes."""
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
VERSION_KEY_PREFIX = "version/"


class CopiedRow(msgspec.Struct, frozen=True):
    """One row of a copied table."""

    key: str
    value: bytes


class TableCopy(msgspec.Struct, frozen=True):
    """A table at one revision of an era of the store."""

    revision: int
    rows: tuple[CopiedRow, ...]
    era: int | None = None


def encode_copy(revision: int, values: Mapping[str, bytes], era: int | None = None) -> bytes:
    """Encode and compress a copy of the values by key."""
    rows = tuple(CopiedRow(key, value) for key, value in values.items())
    return zlib.compress(msgspec.msgpack.encode(TableCopy(revision, rows, era)))


def decode_copy(body: bytes) -> TableCopy:
    """Decode a copy; raise `RecordInvalid` if that is not possible."""
    try:
        return msgspec.msgpack.decode(inflate(body, MAX_COPY_B), type=TableCopy)
    except DECODE_ERRORS as error:
        raise RecordInvalid(f"cannot decode copy of the table: {error}") from error


def make_relay_key(model: str) -> str:
    """Return the key of a model's row, or of the configuration's row for no model."""
    return VERSION_KEY_PREFIX + model if model else CATALOG_KEY


def find_relay_model(key: str) -> str:
    """Return the model of a row, empty for the configuration's row."""
    return key.removeprefix(VERSION_KEY_PREFIX) if key != CATALOG_KEY else ""


def make_announcement(key: str, change: Change, row_revision: int) -> Announcement:
    """Return what a row of the relay announces.

    A row that cannot be decoded announces number 0, so that it is overwritten.
    """
    match change:
        case CatalogAnnounced(revision=number):
            return Announcement("", number, row_revision)
        case TargetVersionSet(target=target):
            return Announcement(target.model, target.version, row_revision)
    log.warning("relay table row cannot be decoded", extra={"key": key, "change": str(change)})
    return Announcement(find_relay_model(key), 0, row_revision)


def decode_relay_row(key: str, value: bytes | None) -> Change:
    """Decode a row of the relay; raise `RecordInvalid` if that is not possible."""
    number = decode_json(value or b"", Number)
    model = find_relay_model(key)
    return TargetVersionSet(WeightsVersion(model, number)) if model else CatalogAnnounced(number)


def decode_entry_row(key: str, value: bytes | None) -> Change:
    """Decode an entry's row or that of a blocked request; raise `RecordInvalid`."""
    if is_request(key):
        if value is None:
            return RequestReleased(key)
        return RequestBlocked(key, decode_block(value).trials)
    return EntryUnlisted(key) if value is None else EntryReported(key, decode_report(value))
