"""The second version of the codec: MessagePack behind a mark, compressed when small.

A MessagePack value never begins with the mark, so both versions can be told apart. The
dictionary holds the field names of the most frequent messages; it is part of the version.
"""

from __future__ import annotations

import zlib

from hibiscustray.exceptions import MessageInvalid

PLAIN = 1
PACKED = 2
NEWEST = PACKED

MARK = b"\xc1"
RAW = MARK + b"\x02\x00"
DEFLATED = MARK + b"\x02\x01"
HEADER_B = 3
LEAST_B = 64
LARGEST_B = 65536
LARGEST_INFLATED_B = 4 * 1024 * 1024
WINDOW_BITS = -15
LEVEL = 1
DICTIONARY = (
    b"\xa6member\xa9http_url\xb0http://127.0.0.1:\xb0http://10.0.0.0:\xa8sequence\xa7service"
    b"\xa8revision\xa5codec\x02\xa6status\xa7suspect\xa7leaving\xa4left\xa4dead\xa4live"
    b"\xa7serving\xa1-\xa8adapters\x90\xa6digest\xaeis_established\xc3\xa9view_hash"
    b"\xa6sender\xa7changes\xa7records\x8e\xa2id\xa4role\xa5entry\xa4role\xa5agent"
    b"\xa6region\xb1availability_zone\xacpeer_address\xa8http_url\xabincarnation"
)


def pack(body: bytes) -> bytes:
    """Put plain MessagePack behind the mark, compressed when that is worth it."""
    if not LEAST_B <= len(body) <= LARGEST_B:
        return RAW + body
    compressor = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, zdict=DICTIONARY)
    return DEFLATED + compressor.compress(body) + compressor.flush()


def unpack(body: bytes) -> bytes:
    """Return plain MessagePack; raise `MessageInvalid`."""
    header, rest = body[:HEADER_B], body[HEADER_B:]
    if header == RAW:
        return rest
    if header != DEFLATED:
        raise MessageInvalid("unknown version of the codec")
    inflater = zlib.decompressobj(WINDOW_BITS, zdict=DICTIONARY)
    try:
        plain = inflater.decompress(rest, LARGEST_INFLATED_B)
    except zlib.error as error:
        raise MessageInvalid(f"broken compression: {error}") from error
    if not inflater.eof:
        raise MessageInvalid("the message is cut or too large")
    return plain
