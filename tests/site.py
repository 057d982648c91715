"""A small running site for tests that send requests to a real entry."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan
from hibiscustray.settings import LimitSettings
from hibiscustray.standins.site import TEAM, Site, SiteShape

READY_TIMEOUT_S = 30.0
WEIGHTS_B = 256 * 1024
SHAPE = SiteShape(
    entries=1,
    model_replicas=1,
    plain_replicas=1,
    limits=LimitSettings(body_kib=64, longest_deadline_s=20.0, threads=8),
)


@contextmanager
def run_site(folder: Path, shape: SiteShape = SHAPE) -> Iterator[Site]:
    """Run a site, and deploy one version before the test starts."""
    weights = folder / "weights.bin"
    weights.write_bytes(hashlib.shake_128(b"weights").digest(WEIGHTS_B))
    site = Site(shape)
    site.start()
    try:
        site.platform.add_file("guide/v1", weights)
        digest = site.operator.publish(weights, "guide/v1")
        version = Model("guide").version("guide-1", digest)
        services = (ServicePlan(shape.model_service, version), PlainService(shape.plain_service))
        site.operator.apply(DeploymentPlan("test", (version,), services, (Team(TEAM),)))
        assert site.wait_until_serving(digest, READY_TIMEOUT_S) is not None
        assert site.wait_until_routable(READY_TIMEOUT_S)
        yield site
    finally:
        site.stop()
