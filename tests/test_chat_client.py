"""Tests of an entry with a plain ``http.client`` client of the chat completions protocol."""

from __future__ import annotations

import http.client
import json

import pytest

from hibiscustray.standins.site import TEAM_KEY
from hibiscustray.standins.tokens import make_text
from tests.site import run_site

HEADERS = {"Authorization": f"Bearer {TEAM_KEY}", "Content-Type": "application/json"}
PROMPT = "Which train climbs the spiral?"
TOKENS = 6


@pytest.fixture(scope="module")
def entry(tmp_path_factory):
    with run_site(tmp_path_factory.mktemp("site")) as site:
        yield site.entries[0].http


def send_chat(entry, **options) -> http.client.HTTPResponse:
    messages = [{"role": "system", "content": "Be brief."}, {"role": "user", "content": PROMPT}]
    body = {"model": "guide-llm", "messages": messages, "max_tokens": TOKENS, **options}
    connection = http.client.HTTPConnection(entry.address, entry.port, timeout=10.0)
    connection.request("POST", "/v1/chat/completions", json.dumps(body), HEADERS)
    return connection.getresponse()


def test_a_response_has_the_standard_fields(entry):
    response = send_chat(entry)
    completion = json.loads(response.read())
    assert response.status == 200
    assert completion["object"] == "chat.completion"
    assert completion["choices"][0]["finish_reason"] == "stop"
    text = completion["choices"][0]["message"]["content"]
    assert text == make_text(completion["system_fingerprint"], PROMPT, TOKENS)
    assert completion["usage"]["completion_tokens"] == TOKENS


def test_a_stream_ends_with_done(entry):
    response = send_chat(entry, stream=True)
    assert response.getheader("Content-Type").startswith("text/event-stream")
    lines = [line.strip() for line in response if line.startswith(b"data: ")]
    assert lines[-1] == b"data: [DONE]"
    chunks = [json.loads(line.removeprefix(b"data: ")) for line in lines[:-1]]
    assert {chunk["object"] for chunk in chunks} == {"chat.completion.chunk"}
    text = "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
    assert text == make_text(chunks[0]["system_fingerprint"], PROMPT, TOKENS)
