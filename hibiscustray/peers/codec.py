"""Encoding of peer messages, and the table of gRPC methods."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import MessageInvalid
from hibiscustray.peers.messages import (
    AttemptRequest,
    ChunkPush,
    ChunkPushReply,
    ChunkReply,
    ChunkRequest,
    ExchangeMessage,
    Frame,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
    ProbeReply,
    ProbeRequest,
    PushRequest,
    RevisionReply,
    RevisionRequest,
    StatusReply,
    StatusRequest,
    SyncReply,
    SyncRequest,
    TicketReply,
    TicketRequest,
)
from hibiscustray.peers.packing import MAGIC_BYTE, PACKED, PLAIN, pack, unpack

SERVICE = "hibiscustray.Peer"


@dataclass(frozen=True)
class Method:
    """A gRPC method with its request and reply types, and whether it streams its replies."""

    name: str
    request: Any
    reply: Any
    is_stream: bool = False

    @property
    def path(self) -> str:
        """Return the path of the method in gRPC calls."""
        return f"/{SERVICE}/{self.name}"


EXCHANGE = Method("Exchange", ExchangeMessage, ExchangeMessage)
REVISION = Method("Revision", RevisionRequest, RevisionReply)
STATUS = Method("Status", StatusRequest, StatusReply)
MANIFEST = Method("Manifest", ManifestRequest, ManifestReply)
HOLDINGS = Method("Holdings", HoldingsRequest, HoldingsReply)
CHUNK = Method("Chunk", ChunkRequest, ChunkReply)
PASS_CHUNK = Method("PassChunk", ChunkPush, ChunkPushReply)
TICKET = Method("Ticket", TicketRequest, TicketReply)
ATTEMPT = Method("Attempt", AttemptRequest, Frame, is_stream=True)
SYNC = Method("Sync", SyncRequest, SyncReply)
PROBE = Method("Probe", ProbeRequest, ProbeReply)
PUSH = Method("Push", PushRequest, StatusReply)
STATUS = Method("Status", StatusRequest, StatusReply)
METHODS = (
    EXCHANGE,
    REVISION,
    MANIFEST,
    HOLDINGS,
    CHUNK,
    PASS_CHUNK,
    TICKET,
    ATTEMPT,
    SYNC,
    PROBE,
    PUSH,
    STATUS,
)

encode_plain: Callable[[Any], bytes] = msgspec.msgpack.Encoder().encode


def encode_message(message: Any, codec: int = PLAIN) -> bytes:
    """Encode a message in the given codec version."""
    body = encode_plain(message)
    return body if codec == PLAIN else pack(body)


def find_codec(body: bytes) -> int:
    """Return the codec version in which a message is encoded."""
    return PACKED if body[:1] == MAGIC_BYTE else PLAIN


def make_decoder(kind: Any) -> Callable[[bytes], Any]:
    """Return a function that decodes one type or raises `MessageInvalid`."""
    decoder = msgspec.msgpack.Decoder(kind)

    def decode_message(body: bytes) -> Any:
        try:
            return decoder.decode(unpack(body) if find_codec(body) == PACKED else body)
        except DECODE_ERRORS as error:
            raise MessageInvalid(str(error)) from error

    return decode_message
