"""Version 2 of the codec: MessagePack after a header, compressed if its size is within limits.

No MessagePack value begins with the magic byte of the header, which tells both versions apart. The
zlib dictionary holds the field names of the most frequent messages and is part of the version.
"""

from __future__ import annotations

import zlib

from hibiscustray.exceptions import MessageInvalid

PLAIN = 1
PACKED = 2
NEWEST_VERSION = PACKED

MAGIC_BYTE = b"\xc1"
RAW_HEADER = MAGIC_BYTE + b"\x02\x00"
DEFLATED_HEADER = MAGIC_BYTE + b"\x02\x01"
HEADER_B = 3
MIN_COMPRESSIBLE_B = 64
MAX_COMPRESSIBLE_B = 65536
MAX_INFLATED_B = 4 * 1024 * 1024
WINDOW_BITS = -15
COMPRESSION_LEVEL = 1
DICTIONARY = (
    b"\xa6member\xa9http_url\xb0http://127.0.0.1:\xb0http://10.0.0.0:\xa8sequence\xa7service"
    b"\xa8revision\xa5codec\x02\xa6status\xa7suspect\xa7leaving\xa4left\xa4dead\xa4live"
    b"\xa7serving\xa1-\xa8adapters\x90\xa6digest\xaeis_established\xc3\xa9view_hash"
    b"\xa6sender\xa7changes\xa7records\x8e\xa2id\xa4role\xa5entry\xa4role\xa5agent"
    b"\xa6region\xb1availability_zone\xacpeer_address\xa8http_url\xabincarnation"
)


def pack(body: bytes) -> bytes:
    """Add the header to plain MessagePack, and compress it if its size is within the limits."""
    if not MIN_COMPRESSIBLE_B <= len(body) <= MAX_COMPRESSIBLE_B:
        return RAW_HEADER + body
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, zdict=DICTIONARY)
    return DEFLATED_HEADER + compressor.compress(body) + compressor.flush()


def unpack(body: bytes) -> bytes:
    """Return the plain MessagePack; raise `MessageInvalid` if the header or content is invalid."""
    header, content = body[:HEADER_B], body[HEADER_B:]
    if header == RAW_HEADER:
        return content
    if header != DEFLATED_HEADER:
        raise MessageInvalid("unknown codec version")
    inflater = zlib.decompressobj(WINDOW_BITS, zdict=DICTIONARY)
    try:
        plain = inflater.decompress(content, MAX_INFLATED_B)
    except zlib.error as error:
        raise MessageInvalid(f"invalid compressed data: {error}") from error
    if not inflater.eof:
        raise MessageInvalid("the compressed message is truncated or too large")
    return plain
