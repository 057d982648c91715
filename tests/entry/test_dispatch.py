"""Streams are complete, resumed after a VM dies, and cancelled when no longer needed."""

from __future__ import annotations

import msgspec
import pytest

from hibiscustray.standins.site import TEAM
from hibiscustray.standins.tokens import make_text
from tests.entry.callers import Caller, kill, wait_until

PROMPT = "where does the railcar stop"
WAIT_S = 5.0


def read_events(stream):
    lines = [line.strip() for line in stream.read_lines()]
    return [line.removeprefix(b"data: ") for line in lines if line.startswith(b"data: ")]


def read_text(events):
    chunks = [msgspec.json.decode(event) for event in events]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


def count(site, outcome):
    labels = {"team": TEAM, "service": site.shape.model_service, "outcome": outcome}
    return site.entries[0].application._metrics.read("requests_total", labels)


def find_runner(site):
    return next(model for model in site.models if model.agent.state.running)


def test_stream_of_dying_vm_resumes_completely_on_other_replica(chat_site):
    stream = Caller(chat_site).open_stream(150)
    first = stream.read_lines().__next__()
    kill(find_runner(chat_site).agent)
    events = [first.strip().removeprefix(b"data: "), *read_events(stream)]
    assert events[-1] == b"[DONE]"
    digest = chat_site.models[0].engine.weights.digest
    assert read_text(events[:-1]) == make_text(digest, PROMPT, 150)
    wait_until(lambda: count(chat_site, "answered") == 1)


def test_stream_without_remaining_replica_ends_with_error_event(chat_site):
    stream = Caller(chat_site).open_stream(150)
    stream.read_lines().__next__()
    for model in chat_site.models:
        kill(model.agent)
    last = msgspec.json.decode(read_events(stream)[-1])
    assert last["error"]["outcome"] == "unknown"
    wait_until(lambda: count(chat_site, "unknown") == 1)


def test_disconnected_caller_cancels_at_engine_and_is_counted_once(chat_site):
    stream = Caller(chat_site).open_stream(1500)
    stream.read_lines().__next__()
    engine = find_runner(chat_site).engine
    stream.abort()
    stream.close()
    wait_until(lambda: len(engine.records) == 1)
    assert not engine.records[0].is_finished
    wait_until(lambda: count(chat_site, "abandoned") == 1)
    assert [count(chat_site, name) for name in ("answered", "unknown", "not_run")] == [0, 0, 0]
    assert chat_site.entries[0].application.wait_until_idle(WAIT_S)


def test_deadline_cancels_at_engine(chat_site):
    caller = Caller(chat_site)
    body = {"model": "guide-llm", "messages": [{"role": "user", "content": PROMPT}]}
    body |= {"max_tokens": 1500, "stream": True}
    headers = caller.headers(Hibiscustray_Deadline_Ms="600")
    stream = caller.http.open("POST", "/v1/chat/completions", msgspec.json.encode(body), headers)
    last = msgspec.json.decode(read_events(stream)[-1])
    assert last["error"]["type"].endswith("deadline-passed-running")
    wait_until(lambda: sum(len(model.engine.records) for model in chat_site.models) > 0)
    assert all(not r.is_finished for model in chat_site.models for r in model.engine.records)


@pytest.mark.parametrize("part", ["agent", "entry"])
def test_planned_stop_truncates_no_stream(chat_site, part):
    stream = Caller(chat_site).open_stream(120)
    first = stream.read_lines().__next__()
    process = chat_site.entries[0] if part == "entry" else find_runner(chat_site).agent
    assert process.drain(20.0)
    process.stop()
    events = [first.strip().removeprefix(b"data: "), *read_events(stream)]
    assert events[-1] == b"[DONE]"
    assert len(events) == 121
    assert sum(len(model.engine.records) for model in chat_site.models) == 1
    if part == "entry":
        chat_site.entries.remove(process)
    else:
        model = next(m for m in chat_site.models if m.agent is process)
        chat_site.models.remove(model)
        model.engine.stop()


def test_draining_entry_reports_unready_and_still_serves(chat_site):
    entry = chat_site.entries[0]
    caller = Caller(chat_site)
    assert caller.http.call("GET", "/health").status == 200
    entry.application.start_draining()
    assert caller.http.call("GET", "/health").status == 503
    assert read_events(caller.open_stream(4))[-1] == b"[DONE]"
