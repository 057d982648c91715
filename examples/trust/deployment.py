"""The Trust's operator program: prints the deployment with one version.

Arguments: the version's name and the manifest digest that `hibiscustray publish` printed.
"""

from __future__ import annotations

import sys

from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan

TEAMS = (
    Team("station-hosts", weight=4.0, priority=8),
    Team("members", weight=4.0),
    Team("booking-volunteers", weight=2.0, priority=7),
    Team("schools"),
    Team("visitors"),
    Team("crew", priority=8),
    Team("itineraries"),
    Team("rolling-stock"),
    Team("notices"),
    Team("trustees"),
)


def build_plan(version_name: str, digest: str) -> DeploymentPlan:
    """Return the complete deployment with one version of the guide model."""
    version = Model("guide").version(version_name, digest)
    guide = ServicePlan("guide-llm", version, objective="time", max_unavailable=2)
    services = (guide, PlainService("booking"), PlainService("roster"))
    return DeploymentPlan("trust", (version,), services, TEAMS)


if __name__ == "__main__":
    print(build_plan(sys.argv[1], sys.argv[2]))
