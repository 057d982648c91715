"""Checks of chat bodies before an engine sees them."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from hibiscustray.exceptions import RequestMalformed

Text = Annotated[str, msgspec.Meta(min_length=1)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message; parts of content other than text pass unchecked."""

    role: Text
    content: str | list[dict[str, Any]] | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat request on which the system or every engine relies."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    model: str = ""
    stream: bool | None = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None


def check_chat_body(body: dict[str, Any]) -> None:
    """Raise `RequestMalformed` unless a body is a chat request."""
    try:
        msgspec.convert(body, ChatBody)
    except msgspec.ValidationError as error:
        raise RequestMalformed(f"the body is not a chat request: {error}") from error


def read_chat_model(body: dict[str, Any]) -> str:
    """Return the name of the service that a chat request is for."""
    check_chat_body(body)
    return body.get("model", "")
