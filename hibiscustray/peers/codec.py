"""Encoding of peer messages and the names of the gRPC methods."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from hibiscustray.exceptions import MessageInvalid
from hibiscustray.peers.messages import (
    AttemptRequest,
    ChunkReply,
    ChunkRequest,
    ExchangeMessage,
    Frame,
    HoldingsReply,
    HoldingsRequest,
    ManifestReply,
    ManifestRequest,
    RevisionReply,
    RevisionRequest,
    StatusReply,
    StatusRequest,
    TicketReply,
    TicketRequest,
)

SERVICE = "hibiscustray.Peer"


@dataclass(frozen=True)
class Method:
    """One gRPC method: its name, its request and reply types, and whether replies stream."""

    name: str
    request: Any
    reply: Any
    is_stream: bool = False

    @property
    def path(self) -> str:
        """Return the gRPC path."""
        return f"/{SERVICE}/{self.name}"


EXCHANGE = Method("Exchange", ExchangeMessage, ExchangeMessage)
REVISION = Method("Revision", RevisionRequest, RevisionReply)
STATUS = Method("Status", StatusRequest, StatusReply)
MANIFEST = Method("Manifest", ManifestRequest, ManifestReply)
HOLDINGS = Method("Holdings", HoldingsRequest, HoldingsReply)
CHUNK = Method("Chunk", ChunkRequest, ChunkReply)
TICKET = Method("Ticket", TicketRequest, TicketReply)
ATTEMPT = Method("Attempt", AttemptRequest, Frame, is_stream=True)
METHODS = (EXCHANGE, REVISION, STATUS, MANIFEST, HOLDINGS, CHUNK, TICKET, ATTEMPT)

encode_message: Callable[[Any], bytes] = msgspec.msgpack.Encoder().encode


def make_decoder(kind: Any) -> Callable[[bytes], Any]:
    """Return a function that decodes one type or raises `MessageInvalid`."""
    decoder = msgspec.msgpack.Decoder(kind)

    def decode_message(body: bytes) -> Any:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise MessageInvalid(str(error)) from error

    return decode_message
