"""Tests of the process of a hosted agent."""

from __future__ import annotations

from types import SimpleNamespace

from hibiscustray.agent.hosted import HostedAgentProcess
from hibiscustray.agent.loader import LoadTask
from hibiscustray.settings import HostedBounds
from tests.agent.test_stager import Engine, StagerFixture


def test_load_is_timed_by_a_version_bound_that_was_changed_while_the_agent_ran():
    fixture = StagerFixture(Engine())
    process = HostedAgentProcess(None, None, None, None, (), fixture.stager)
    task = LoadTask("m", 1, "m/1", None, 0.0)
    for version in (1, 2):
        fixture.set_target(version)
    is_too_late = {}
    for version_ms in (60_000.0, 100.0):
        process.reload(SimpleNamespace(bounds=HostedBounds(version_ms=version_ms)))
        is_too_late[version_ms] = fixture.stager._loader._is_too_late(task)
    assert is_too_late == {60_000.0: False, 100.0: True}
    assert fixture.stager._version_bound_s == 0.1
