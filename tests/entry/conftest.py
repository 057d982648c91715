"""Small sites on the loopback interface."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hibiscustray.settings import LimitSettings
from hibiscustray.standins.site import Site, SiteShape
from tests.entry.callers import wait_until
from tests.site import run_site

LIMITS = LimitSettings(balancer_lag_s=0.3)


@pytest.fixture
def booking_site(tmp_path) -> Iterator[Site]:
    shape = SiteShape(entries=2, model_replicas=0, plain_replicas=3, limits=LIMITS)
    with run_site(tmp_path, shape) as site:
        # A process that starts during a store outage serves nothing, so all must be ready first.
        wait_until(lambda: all(plain.agent.state.is_ready() for plain in site.plains))
        yield site
        site.platform.set_faults(is_store_down=False, loses_answers=False)


@pytest.fixture
def chat_site(tmp_path) -> Iterator[Site]:
    shape = SiteShape(entries=1, model_replicas=2, plain_replicas=0, limits=LIMITS)
    with run_site(tmp_path, shape) as site:
        yield site
