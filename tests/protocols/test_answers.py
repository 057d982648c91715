"""Answers of the platform that are broken give typed errors, nothing else."""

from __future__ import annotations

import base64
import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.deployments import parse_deployment
from hibiscustray.deployments.revisions import decode_revision
from hibiscustray.exceptions import PlatformError, RecordInvalid, SettingsError, StoreUnavailable
from hibiscustray.protocols import Row, Table, VmList
from hibiscustray.protocols import rate_limiter as rate_limiter_module
from hibiscustray.protocols.rate_limiter import CallRateLimiter
from hibiscustray.web.client import ClientResponse

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
rows = st.fixed_dictionaries(
    {},
    optional={
        "pk": json_values | st.just({"S": "a"}),
        "sk": json_values | st.just({"S": "b"}),
        "version": json_values | st.just({"N": "1"}),
        "body": json_values | st.just({"B": "eA=="}),
    },
)
machines = st.fixed_dictionaries(
    {},
    optional={
        "name": json_values,
        "status": json_values,
        "zone": json_values,
        "metadata": json_values | st.builds(lambda v: {"items": v}, json_values),
    },
)
bodies = st.one_of(
    st.binary(max_size=100),
    json_values.map(msgspec.json.encode),
    rows.map(lambda row: msgspec.json.encode({"Item": row, "Items": [row]})),
    machines.map(lambda machine: msgspec.json.encode({"items": [machine]})),
)


class FixedHttp:
    """Answers every call with one body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def call(self, *arguments, **options) -> ClientResponse:
        return ClientResponse(200, {}, self._body)


def answer_with(client, body: bytes):
    """Let a client of the platform read one body as each answer."""
    client._http = FixedHttp(body)
    return client


@given(bodies)
def test_any_answer_gives_rows_or_a_typed_error(body):
    table = answer_with(Table("http://127.0.0.1:1", 1.0), body)
    with contextlib.suppress(PlatformError):
        row = table.get("a", "b")
        assert row is None or isinstance(row, Row)
    if b"LastEvaluatedKey" not in body:
        with contextlib.suppress(PlatformError):
            assert all(isinstance(row, Row) for row in table.query("a"))


@given(bodies)
def test_any_answer_gives_machines_or_a_typed_error(body):
    with contextlib.suppress(PlatformError):
        for machine in answer_with(VmList("http://127.0.0.1:1", 1.0), body).read():
            assert isinstance(machine.name, str)


@given(st.binary(max_size=200) | json_values.map(msgspec.msgpack.encode))
def test_any_row_gives_a_revision_or_a_typed_error(body):
    with contextlib.suppress(RecordInvalid):
        assert isinstance(decode_revision(body).number, int)


section = st.sampled_from(["deployment", "version a", "service b", "team c", "x", "service", ""])
key = st.sampled_from(["name", "manifest", "model", "kind", "version", "weight", "adapters", "%("])
lines = st.one_of(
    section.map(lambda name: f"[{name}]"),
    st.builds(lambda k, v: f"{k} = {v}", key, st.text(max_size=12)),
    st.text(max_size=20),
)


@given(st.lists(lines, max_size=8).map("\n".join))
def test_any_revision_text_gives_a_deployment_or_a_typed_error(text):
    with contextlib.suppress(SettingsError):
        parse_deployment(text)


def test_a_row_that_is_not_base64_is_typed():
    item = {"pk": {"S": "a"}, "sk": {"S": "b"}, "version": {"N": "1"}, "body": {"B": "?"}}
    table = answer_with(Table("http://127.0.0.1:1", 1.0), msgspec.json.encode({"Item": item}))
    with pytest.raises(RecordInvalid):
        table.get("a", "b")
    item["body"] = {"B": base64.b64encode(b"x").decode()}
    table = answer_with(table, msgspec.json.encode({"Item": item}))
    assert table.get("a", "b") == Row("a", "b", 1, b"x")


def test_a_body_that_is_no_json_means_unavailable():
    with pytest.raises(StoreUnavailable):
        answer_with(Table("http://127.0.0.1:1", 1.0), b"<html>").get("a", "b")


def test_a_budget_gives_its_burst_and_then_its_rate(monkeypatch):
    class Clock:
        now = 0.0

        def monotonic(self) -> float:
            return self.now

    clock = Clock()
    monkeypatch.setattr(rate_limiter_module, "time", clock)
    limiter = CallRateLimiter(2.0, 4.0)
    assert [limiter.try_acquire() for _ in range(5)] == [True] * 4 + [False]
    clock.now = 1.0
    assert [limiter.try_acquire() for _ in range(3)] == [True, True, False]
