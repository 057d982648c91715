"""Malformed responses and records from the platform raise only the documented errors."""

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


def make_values(integers):
    """Return a strategy for nested values with the given integers."""
    return st.recursive(
        st.none() | st.booleans() | integers | st.floats(allow_nan=False) | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
        max_leaves=8,
    )


json_values = make_values(st.integers())
# MessagePack has no larger integers; the encoder raises OverflowError before the code under test.
msgpack_values = make_values(st.integers(-(2**63), 2**64 - 1))
rows = st.fixed_dictionaries(
    {},
    optional={
        "pk": json_values | st.just({"S": "a"}),
        "sk": json_values | st.just({"S": "b"}),
        "version": json_values | st.just({"N": "1"}),
        "body": json_values | st.just({"B": "eA=="}),
    },
)
vms = st.fixed_dictionaries(
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
    vms.map(lambda vm: msgspec.json.encode({"items": [vm]})),
)


class FixedHttp:
    """Returns the same body for every call."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def call(self, *arguments, **options) -> ClientResponse:
        return ClientResponse(200, {}, self._body)


def set_response(client, body: bytes):
    """Make a platform client receive one body as every response."""
    client._http = FixedHttp(body)
    return client


@given(bodies)
def test_any_table_response_gives_rows_or_platform_error(body):
    table = set_response(Table("http://127.0.0.1:1", 1.0), body)
    with contextlib.suppress(PlatformError):
        row = table.get("a", "b")
        assert row is None or isinstance(row, Row)
    if b"LastEvaluatedKey" not in body:
        with contextlib.suppress(PlatformError):
            assert all(isinstance(row, Row) for row in table.query("a"))


@given(bodies)
def test_any_vm_list_response_gives_vms_or_platform_error(body):
    with contextlib.suppress(PlatformError):
        for vm in set_response(VmList("http://127.0.0.1:1", 1.0), body).read():
            assert isinstance(vm.name, str)


@given(st.binary(max_size=200) | msgpack_values.map(msgspec.msgpack.encode))
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


def test_row_with_invalid_base64_raises_record_invalid():
    item = {"pk": {"S": "a"}, "sk": {"S": "b"}, "version": {"N": "1"}, "body": {"B": "?"}}
    table = set_response(Table("http://127.0.0.1:1", 1.0), msgspec.json.encode({"Item": item}))
    with pytest.raises(RecordInvalid):
        table.get("a", "b")
    item["body"] = {"B": base64.b64encode(b"x").decode()}
    table = set_response(table, msgspec.json.encode({"Item": item}))
    assert table.get("a", "b") == Row("a", "b", 1, b"x")


def test_body_that_is_not_json_raises_store_unavailable():
    with pytest.raises(StoreUnavailable):
        set_response(Table("http://127.0.0.1:1", 1.0), b"<html>").get("a", "b")


def test_rate_limiter_allows_burst_then_sustained_rate(monkeypatch):
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
