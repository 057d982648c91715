"""Bytes of another writer that cannot be decoded: each decoder raises what its callers expect."""

from __future__ import annotations

import base64
import hashlib
import zlib
from collections.abc import Callable

import msgspec
import pytest

from hibiscustray.agent.upstream_call import decode_identity
from hibiscustray.decoding import DECODE_ERRORS, decode_json
from hibiscustray.deployments.revisions import decode_revision
from hibiscustray.deployments.snapshots import DEFLATED, MAGIC, decode_snapshot
from hibiscustray.exceptions import HibiscustrayError, RecordInvalid
from hibiscustray.feeds import decode_copy, decode_entry_row, decode_relay_row
from hibiscustray.feeds.formats import MAX_COPY_B
from hibiscustray.peers.codec import METHODS, make_decoder
from hibiscustray.platform.records import decode_catalog, decode_replica, decode_target_version
from hibiscustray.quarantine import decode_block, decode_report
from hibiscustray.requests.tickets import read_ticket
from hibiscustray.weights.manifest import decode_manifest_body

DEPTH = 20_000
JSON_LISTS = b"[" * DEPTH + b"]" * DEPTH
PACKED_LISTS = b"\x91" * DEPTH + b"\xc0"


def deflate_snapshot(plain: bytes) -> bytes:
    content = zlib.compress(plain)
    return MAGIC + bytes([DEFLATED]) + hashlib.sha256(content).digest() + content


JSON_DECODERS: dict[str, Callable[[bytes], object]] = {
    "catalog": decode_catalog,
    "target version": decode_target_version,
    "replica": lambda body: decode_replica("i-1", body),
    "relay row": lambda body: decode_relay_row("catalog", body),
    "entry row": lambda body: decode_entry_row("edge-1", body),
    "report": decode_report,
    "block": decode_block,
    "object": lambda body: decode_json(body, dict),
}
PACKED_DECODERS: dict[str, Callable[[bytes], object]] = {
    "manifest": decode_manifest_body,
    "copy": lambda body: decode_copy(zlib.compress(body)),
    "revision": decode_revision,
    "snapshot": lambda body: decode_snapshot(deflate_snapshot(body)),
} | {method.name: make_decoder(method.request) for method in METHODS}
ODD_JSON = {
    "nested": JSON_LISTS,
    "nested in an unknown field": b'{"x":' + JSON_LISTS + b"}",
    "breaks off within lists": b'{"x":' + b"[" * DEPTH,
    "nested objects": b'{"x":' * DEPTH,
    "400 digits": b'{"x":' + b"9" * 400,
    "5000 digits": b'{"x":' + b"9" * 5000 + b"}",
    "infinite": b'{"x":1e999}',
    "not UTF-8": b'"\xff"',
    "half a surrogate": b'{"x":"\\ud800"}',
    "empty": b"",
}
ODD_PACKED = {
    "nested": PACKED_LISTS,
    "nested in an unknown field": b"\x81\xa1x" + PACKED_LISTS,
    "longer than its bytes": b"\xdd\xff\xff\xff\xff",
    "not UTF-8": b"\x81\xa1\xff\xa1\xff",
    "time out of range": b"\x81\xa1x\xd7\xff" + b"\xff" * 8,
    "empty": b"",
}


@pytest.mark.parametrize("body", ODD_JSON.values(), ids=ODD_JSON)
@pytest.mark.parametrize("decode", JSON_DECODERS.values(), ids=JSON_DECODERS)
def test_odd_json_raises_the_error_of_the_package(decode, body):
    try:
        decode(body)
    except HibiscustrayError:
        return
    # Decoders skip unknown fields, and so may read what is odd only there.
    assert body.startswith(b"{")


@pytest.mark.parametrize("body", ODD_PACKED.values(), ids=ODD_PACKED)
@pytest.mark.parametrize("decode", PACKED_DECODERS.values(), ids=PACKED_DECODERS)
def test_odd_messagepack_raises_the_error_of_the_package(decode, body):
    try:
        decode(body)
    except HibiscustrayError:
        return
    assert body.startswith(b"\x81")


@pytest.mark.parametrize("body", ODD_JSON.values(), ids=ODD_JSON)
def test_odd_completion_cannot_be_decoded(body):
    try:
        decode_identity(body)
    except DECODE_ERRORS:
        return
    assert body.startswith(b"{")


@pytest.mark.parametrize("number", [b"-1", b"9" * 30, b"9" * 400, b"1e999", b"1.5", b"null"])
def test_number_out_of_range_announces_nothing(number):
    for key in ("catalog", "version/m"):
        with pytest.raises(RecordInvalid):
            decode_relay_row(key, number)


@pytest.mark.parametrize("seconds", [b"1e300", b"-1e300", b"9" * 400, b"null"])
def test_report_with_an_age_out_of_range_is_rejected(seconds):
    row = b'{"losses":[{"part":"p","replica":"i-1/1","sent_s":1,"lost_s":%s}]}'
    assert decode_report(row % b"1").losses
    with pytest.raises(RecordInvalid):
        decode_report(row % seconds)


@pytest.mark.parametrize("trials", [b"-1", b"9" * 30, b"9" * 400])
def test_block_with_trials_out_of_range_is_rejected(trials):
    with pytest.raises(RecordInvalid):
        decode_block(b'{"trials":' + trials + b"}")


def test_copy_that_inflates_without_end_is_rejected():
    rows = msgspec.msgpack.encode([0, b"\0" * (MAX_COPY_B + 1)])
    with pytest.raises(RecordInvalid, match="too large"):
        decode_copy(zlib.compress(rows))


def test_ticket_that_is_nested_deeply_is_no_ticket():
    raw = b"m" * 16 + PACKED_LISTS
    assert read_ticket("hbt1." + base64.urlsafe_b64encode(raw).decode()) is None
