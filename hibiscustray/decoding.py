"""Decoding of bytes that another process wrote."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from hibiscustray.exceptions import HibiscustrayError, RecordInvalid

DECODE_ERRORS = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    # Values that are nested deeply.
    RecursionError,
    # Numbers out of range.
    OverflowError,
)
"""Errors of `msgspec` for bytes that do not hold a value of the expected type."""


def decode_json(
    body: bytes, record_type: Any, error_type: type[HibiscustrayError] = RecordInvalid
) -> Any:
    """Decode JSON; raise an error of `error_type` if it does not fit the record type."""
    try:
        return msgspec.json.decode(body, type=record_type)
    except DECODE_ERRORS as error:
        raise error_type(f"cannot decode JSON: {error}"[:200]) from error


def inflate(content: bytes, max_b: int) -> bytes:
    """Decompress all of `content`; raise `RecordInvalid` if it holds more than `max_b` bytes."""
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(content, max_b)
    except zlib.error as error:
        raise RecordInvalid(f"invalid compressed data: {error}") from error
    if not inflater.eof:
        raise RecordInvalid("the compressed data is truncated or too large")
    return plain
