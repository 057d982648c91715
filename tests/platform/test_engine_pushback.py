"""Tests of an engine that turns calls of the agent on its VM away and wants none for some time."""

from __future__ import annotations

import time

import pytest

from hibiscustray.agent.interface import LoadMode
from hibiscustray.agent.pushback import PushbackGate
from hibiscustray.exceptions import UpstreamError, UpstreamPushback
from hibiscustray.platform.engine import PlatformEngine
from hibiscustray.platform.standins import ReplicaStandIn, reject, respond_with_body

CALLS = {
    "report": lambda engine: engine.read_report(),
    "list": lambda engine: engine.list_staged("m"),
    "read": lambda engine: engine.read_staged("m", 1, 64),
    "stage": lambda engine: engine.stage("m", 1, b"x"),
    "order": lambda engine: engine.order_load("m", 1, LoadMode.FINISH_RUNNING, 0, 1),
}


@pytest.fixture
def replica():
    standin = ReplicaStandIn("i-0", "guide", respond_with_body())
    yield standin
    standin.close()


@pytest.mark.parametrize("first", CALLS)
def test_engine_that_pushed_back_gets_no_calls_of_any_kind_for_its_time(replica, first):
    engine = PlatformEngine(replica.address)
    replica.script = reject(503, Retry_After="0.6")
    try:
        CALLS[first](engine)
    except UpstreamError as error:
        assert not isinstance(error, UpstreamPushback)
    for call in CALLS.values():
        with pytest.raises(UpstreamPushback):
            call(engine)
    assert len(replica.received) == 1
    replica.script = respond_with_body()
    time.sleep(0.7)
    engine.read_report()
    assert len(replica.received) == 2


@pytest.mark.parametrize(
    ("status", "value"), [(503, None), (503, "0"), (503, "soon"), (429, "9"), (200, "9")]
)
def test_other_answers_of_the_engine_keep_no_calls_away(status, value):
    gate = PushbackGate()
    gate.record(status, value)
    gate.check()


def test_longest_time_that_the_engine_named_counts():
    now = [10.0]
    gate = PushbackGate(lambda: now[0])
    gate.record(503, "5")
    gate.record(503, "1")
    now[0] += 4.9
    with pytest.raises(UpstreamPushback):
        gate.check()
    now[0] += 0.1
    gate.check()
