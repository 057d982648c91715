"""Validates chat request bodies before they are sent to an engine."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from hibiscustray.exceptions import RequestMalformed

Text = Annotated[str, msgspec.Meta(min_length=1)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One chat message; content parts other than text are not validated."""

    role: Text
    content: str | list[dict[str, Any]] | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request that this system or every engine uses."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    model: str = ""
    stream: bool | None = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None


def check_chat_body(body: dict[str, Any]) -> None:
    """Raise `RequestMalformed` unless a body is a valid chat request."""
    try:
        msgspec.convert(body, ChatBody)
    except msgspec.ValidationError as error:
        raise RequestMalformed(f"the body is not a valid chat request: {error}") from error


def read_chat_model(body: dict[str, Any]) -> str:
    """Return the service of a chat request, which its `model` field names."""
    check_chat_body(body)
    return body.get("model", "")
