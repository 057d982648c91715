"""Tests the command `report burn` against the records of callers at a running site."""

from __future__ import annotations

from collections import Counter

import msgspec
from click.testing import CliRunner

from hibiscustray.__main__ import cli
from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan
from hibiscustray.standins.callers import Callers
from hibiscustray.standins.site import TEAM, TEAM_KEY, Site, SiteShape

REQUESTS = 12


def test_report_counts_match_the_records_of_callers(tmp_path):
    weights = tmp_path / "weights.bin"
    weights.write_bytes(b"w" * 300_000)
    site = Site(SiteShape(entries=2, model_replicas=2, plain_replicas=1))
    site.start()
    try:
        site.platform.add_file("guide/1", weights)
        version = Model("guide").version("guide-1", site.operator.publish(weights, "guide/1"))
        services = (ServicePlan("guide-llm", version), PlainService("booking"))
        site.operator.apply(DeploymentPlan("t", (version,), services, (Team(TEAM),)))
        assert site.wait_until_serving(version.manifest, 60.0) is not None
        assert site.wait_until_routable(60.0)
        urls = [entry.url for entry in site.entries]
        callers = Callers(urls, TEAM_KEY, "guide-llm", "booking", 1)
        results = [
            ("booking", callers.book(callers.clients[i % 2], TEAM_KEY, "booking"))
            for i in range(REQUESTS)
        ]
        results += [
            ("guide-llm", callers.chat(callers.clients[i % 2], TEAM_KEY, i % 3 == 0))
            for i in range(REQUESTS)
        ]
        site.plains[0].service.stop()
        results += [("booking", callers.book(callers.clients[0], TEAM_KEY, "booking"))]
        arguments = ["report", "burn", "--json", "--table-url", site.platform.url]
        for url in urls:
            arguments += ["--entry-url", url]
        result = CliRunner().invoke(cli, arguments)
        report = msgspec.json.decode(result.stdout)
    finally:
        site.stop()
    for service in ("booking", "guide-llm"):
        expected = Counter(item.outcome for name, item in results if name == service)
        row = next(r for r in report["rows"] if r["service"] == service and r["team"] == TEAM)
        assert row["outcomes"] == dict(expected)
    assert report["processes"] == 2
    assert result.exit_code == {"none": 0, "slow": 10, "fast": 11}[report["alert"]]
