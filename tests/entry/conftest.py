"""Small sites over loopback."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan
from hibiscustray.settings import LimitSettings
from hibiscustray.standins.site import TEAM, Site, SiteShape

START_TIMEOUT_S = 30.0
WEIGHTS = bytes(range(256)) * 256


@pytest.fixture
def booking_site() -> Iterator[Site]:
    limits = LimitSettings(balancer_lag_s=0.3)
    site = Site(SiteShape(entries=2, model_replicas=0, plain_replicas=3, limits=limits))
    site.start()
    services = (PlainService(site.shape.plain_service),)
    site.operator.apply(DeploymentPlan("test", (), services, (Team(TEAM),)))
    assert site.wait_until_routable(START_TIMEOUT_S)
    yield site
    site.platform.set_faults(is_store_down=False, loses_answers=False)
    site.stop()


@pytest.fixture
def chat_site(tmp_path) -> Iterator[Site]:
    limits = LimitSettings(balancer_lag_s=0.3)
    site = Site(SiteShape(entries=1, model_replicas=2, plain_replicas=0, limits=limits))
    weights = tmp_path / "weights.bin"
    weights.write_bytes(WEIGHTS)
    site.platform.add_file("guide/v1", weights)
    site.start()
    version = Model("guide").version("guide-1", site.operator.publish(weights, "guide/v1"))
    services = (ServicePlan(site.shape.model_service, version),)
    site.operator.apply(DeploymentPlan("test", (version,), services, (Team(TEAM),)))
    assert site.wait_until_serving(version.manifest, START_TIMEOUT_S) is not None
    assert site.wait_until_routable(START_TIMEOUT_S)
    yield site
    site.platform.set_faults(is_store_down=False, loses_answers=False)
    site.stop()
