"""Deployments as INI text."""

from __future__ import annotations

import pytest

from hibiscustray.deployments import Team, parse_deployment, render_deployment
from hibiscustray.exceptions import SettingsError
from hibiscustray.operator import Adapter, DeploymentPlan, Model, PlainService, ServicePlan


def make_plan() -> DeploymentPlan:
    base = Model("guide").version("guide-1", "a" * 64)
    adapter = Adapter("maori").version("maori-1", "b" * 64, base)
    return DeploymentPlan(
        "trust",
        (base, adapter),
        (ServicePlan("guide-llm", base, (adapter,), ("akl-a",)), PlainService("booking")),
        (Team("hosts", 2.0), Team("members")),
    )


def test_plan_renders_as_ini(snapshot):
    assert str(make_plan()) == snapshot


def test_parsed_deployment_renders_same_text():
    text = str(make_plan())
    assert render_deployment(parse_deployment(text)) == text


def test_adapter_requires_matching_base():
    text = str(make_plan()).replace("base = guide-1", "base = guide-2")
    with pytest.raises(SettingsError) as caught:
        parse_deployment(text)
    assert len(caught.value.problems) == 2
