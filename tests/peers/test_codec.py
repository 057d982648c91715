"""Both codec versions, and input that is valid in neither."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.deployments import Revision
from hibiscustray.exceptions import MessageInvalid
from hibiscustray.peers import ExchangeMessage, MemberRecord, PeerPool, PeerServer
from hibiscustray.peers.codec import EXCHANGE, METHODS, encode_message, find_codec, make_decoder
from hibiscustray.peers.messages import End, PushRequest
from hibiscustray.peers.packing import DEFLATED_HEADER, MAX_INFLATED_B, PACKED, PLAIN, WINDOW_BITS

text = st.text(max_size=20)
records = st.builds(
    MemberRecord, text, text, text, text, text, text, st.integers(0, 2**63), service=text
)
messages = st.one_of(
    st.builds(ExchangeMessage, records, st.lists(records, max_size=9).map(tuple)),
    st.builds(PushRequest, st.builds(Revision, st.integers(0, 2**40), st.text(), text, text)),
)


@given(messages, st.sampled_from([PLAIN, PACKED]))
def test_both_versions_decode(message, codec):
    body = encode_message(message, codec)
    assert find_codec(body) == codec
    assert make_decoder(type(message))(body) == message


@given(
    st.sampled_from(METHODS),
    st.sampled_from([b"", b"\xc1", b"\xc1\x02\x00", b"\xc1\x02\x01", b"\xc1\x03\x00"]),
    st.binary(max_size=200),
)
def test_arbitrary_bytes_decode_or_raise_message_invalid(method, prefix, body):
    for kind in (method.request, method.reply):
        try:
            make_decoder(kind)(prefix + body)
        except MessageInvalid:
            continue


@given(messages, st.sampled_from([PLAIN, PACKED]), st.data())
def test_corrupted_message_decodes_or_raises_message_invalid(message, codec, data):
    body = bytearray(encode_message(message, codec))
    position = data.draw(st.integers(0, len(body) - 1))
    body[position] = data.draw(st.integers(0, 255))
    try:
        make_decoder(type(message))(bytes(body))
    except MessageInvalid:
        return


def test_decompression_bomb_is_rejected():
    compressor = zlib.compressobj(9, zlib.DEFLATED, WINDOW_BITS)
    bomb = compressor.compress(bytes(2 * MAX_INFLATED_B)) + compressor.flush()
    with pytest.raises(MessageInvalid):
        make_decoder(ExchangeMessage)(DEFLATED_HEADER + bomb)


# Guards against an entry that passes on the invalid status of an agent's upstream (MIXED).
@pytest.mark.parametrize("status", [-1, 0, 100, 199, 600, 777, 999])
def test_end_of_a_response_with_an_invalid_status_is_rejected(status):
    with pytest.raises(MessageInvalid):
        make_decoder(End)(encode_message(End(0, "", status)))


@pytest.mark.parametrize("status", [200, 404, 599])
def test_end_of_a_response_has_any_valid_status(status):
    assert make_decoder(End)(encode_message(End(0, "", status))).status == status


def test_heartbeat_is_three_times_smaller_in_version_2():
    sender = MemberRecord("a", "agent", "akl", "akl-a", "10.0.0.1:1", "http://10.0.0.1:2", 1)
    message = ExchangeMessage(sender, (sender,) * 8)
    assert len(encode_message(message, PACKED)) * 3 < len(encode_message(message, PLAIN))


def test_processes_with_different_codec_versions_interoperate():
    seen: list[ExchangeMessage] = []
    record = MemberRecord("a", "agent", "akl", "akl-a", "", "", 1)
    handlers = {EXCHANGE.name: lambda message, context: seen.append(message) or message}
    server = PeerServer("127.0.0.1", 0, handlers, 2)
    server.start()
    peers = PeerPool()
    try:
        for codec in (PLAIN, PACKED, 9):
            peers.negotiate_codec(server.address, codec)
            message = ExchangeMessage(record, revision=codec)
            assert peers.get(server.address).exchange(message, 5.0) == message
    finally:
        peers.close()
        server.stop()
    assert [message.revision for message in seen] == [PLAIN, PACKED, 9]
