"""Splitting of event streams at arbitrary block boundaries."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.exceptions import ResponseInvalid
from hibiscustray.gateway.events import MAX_EVENT_B, EventSplitter, read_event_id

EVENTS = st.lists(st.integers(1, 999), max_size=6).map(
    lambda ids: [f"id: {n}\ndata: {'x' * (n % 7)}\n\n".encode() for n in ids]
)


@given(EVENTS, st.binary(max_size=5).filter(lambda b: b"\n" not in b), st.data())
def test_complete_events_are_yielded_for_any_block_boundaries(events, rest, data):
    text, splitter, seen = b"".join(events) + rest, EventSplitter(), []
    while text:
        size = data.draw(st.integers(1, len(text)))
        seen.extend(splitter.add(text[:size]))
        text = text[size:]
    assert seen == events
    assert splitter.has_partial_event is bool(rest.strip())


@pytest.mark.parametrize(
    ("event", "event_id"),
    [
        (b"id: 7\ndata: a\n\n", "7"),
        (b"x-version: 2\nid:8\ndata: a\n\n", "8"),
        (b"data: id: 9\n\n", ""),
    ],
)
def test_the_id_of_an_event_is_read(event, event_id):
    assert read_event_id(event) == event_id


def test_an_event_over_the_size_limit_raises():
    with pytest.raises(ResponseInvalid, match="an event exceeds"):
        list(EventSplitter().add(b"x" * (MAX_EVENT_B + 1)))


def test_a_delimiter_that_arrives_in_two_blocks_ends_an_event():
    splitter = EventSplitter()
    assert list(splitter.add(b"id: 1\ndata: a\n")) == []
    assert list(splitter.add(b"\nid: 2")) == [b"id: 1\ndata: a\n\n"]
    assert splitter.has_partial_event
