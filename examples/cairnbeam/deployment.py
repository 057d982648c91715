"""Cairnbeam's operator program: prints the deployment with one version.

Arguments: the version's name and the manifest digest that `hibiscustray publish` printed.
"""

from __future__ import annotations

import sys

from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan

TEAMS = (
    Team("self-builders", weight=4.0, priority=7),
    Team("architects", weight=4.0),
    Team("joiners", weight=2.0, priority=8),
    Team("glen-frames"),
    Team("tay-frames"),
    Team("tweed-frames"),
    Team("quotes"),
    Team("panels"),
    Team("deliveries"),
    Team("yard", priority=7),
)


def build_plan(version_name: str, digest: str) -> DeploymentPlan:
    """Return the complete deployment with one version of the kit model."""
    version = Model("kit").version(version_name, digest)
    kit = ServicePlan("kit-llm", version, objective="origin_bytes", max_unavailable=2)
    services = (kit, PlainService("yard-desk"), PlainService("partner-ledger"))
    return DeploymentPlan("cairnbeam", (version,), services, TEAMS)


if __name__ == "__main__":
    print(build_plan(sys.argv[1], sys.argv[2]))
