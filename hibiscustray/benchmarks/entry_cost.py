"""Measures the latency that an entry and an agent add to calls of a plain service."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from hibiscustray.benchmarks.request_counts import Percentiles, measure_percentiles
from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, PlainService
from hibiscustray.standins.site import TEAM, TEAM_KEY, Site, SiteShape
from hibiscustray.web import HttpClient

ROUTABLE_TIMEOUT_S = 30.0
SENDERS = 32
SERVICE = "stock"


@dataclass(frozen=True)
class EntryCost:
    """Latencies in milliseconds of direct calls to the service and of calls through an entry."""

    rate: float
    direct: Percentiles
    routed: Percentiles
    added_median_ms: float


def measure_entry_cost(rate: float, seconds: float) -> EntryCost:
    """Send idempotent calls at a constant rate, first directly and then through an entry."""
    site = Site(SiteShape(entries=1, model_replicas=0, plain_service=SERVICE, plain_replicas=1))
    site.start()
    try:
        plan = DeploymentPlan("bench", (), (PlainService(SERVICE),), (Team(TEAM),))
        site.operator.apply(plan)
        site.wait_until_routable(ROUTABLE_TIMEOUT_S)
        replica = site.plains[0].service
        replica.delay_s = 0.0
        direct = _measure(replica.url, "/", rate, seconds)
        routed = _measure(site.entries[0].url, f"/v1/services/{SERVICE}", rate, seconds)
    finally:
        site.stop()
    added_ms = round(routed.p50 - direct.p50, 2)
    return EntryCost(rate, direct, routed, added_ms)


def _measure(url: str, path: str, rate: float, seconds: float) -> Percentiles:
    client = HttpClient(url)
    headers = {"Authorization": f"Bearer {TEAM_KEY}", "Hibiscustray-Repeatable": "yes"}

    def send(number: int) -> float:
        body = msgspec.json.encode({"reference": f"{path}-{number}"})
        started = time.perf_counter()
        response = client.call("POST", path, body, headers)
        elapsed_s = time.perf_counter() - started
        assert response.status == 200, response.body
        return elapsed_s

    with ThreadPoolExecutor(SENDERS) as pool:
        started = time.monotonic()
        futures = []
        for number in range(int(rate * seconds)):
            time.sleep(max(0.0, started + number / rate - time.monotonic()))
            futures.append(pool.submit(send, number))
        latencies = [future.result() for future in futures]
    client.close()
    return measure_percentiles(latencies)
