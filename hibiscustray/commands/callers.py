"""The command `standin callers`: sends requests and checks them against upstreams' records."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

from hibiscustray.commands.serving import wait_for_signal
from hibiscustray.settings import CallersSettings, load_callers, load_team_keys
from hibiscustray.standins.callers import Callers
from hibiscustray.standins.engine import EngineRecord
from hibiscustray.standins.fault_counts import FaultCounts, count_faults
from hibiscustray.standins.platform import PlatformRecords
from hibiscustray.web import HttpClient, make_client_context

RECORDS_TIMEOUT_S = 10.0
LARGE_TEAM_WEIGHT = 3
MAX_SHOWN_FAILURES = 20


@dataclass(frozen=True)
class CallersReport:
    """The fault counts, and the bytes and calls that the platform's stand-in served meanwhile."""

    faults: FaultCounts
    platform: PlatformRecords


def run_callers(path: Path) -> int:
    """Send requests until a signal; print the report and return 1 on a fault."""
    settings = load_callers(path)
    callers = Callers(
        settings.entries,
        _list_team_keys(settings),
        settings.model_service,
        settings.plain_services,
        settings.seed,
        settings.think_ms / 1000.0,
        make_client_context(settings.http_authority),
    )
    callers.start(settings.threads)
    wait_for_signal(settings.longest_s)
    callers.stop()
    for result in [r for r in callers.results if r.outcome != "answered"][:MAX_SHOWN_FAILURES]:
        click.echo(f"{result.outcome}: {result.reference} {result.detail}", err=True)
    report = _make_report(settings, callers)
    click.echo(msgspec.json.encode(report))
    return 0 if report.faults.has_passed else 1


def _list_team_keys(settings: CallersSettings) -> list[str]:
    """Return the teams' keys; those of large teams are repeated, to send more requests."""
    keys: list[str] = []
    for team, key in load_team_keys(Path(settings.keys)).items():
        keys += [key] * (LARGE_TEAM_WEIGHT if team in settings.large_teams else 1)
    return keys


def _make_report(settings: CallersSettings, callers: Callers) -> CallersReport:
    records = [
        record for url in settings.engines for record in _read_records(url, list[EngineRecord])
    ]
    runs = [_read_records(url, dict[str, int]) for url in settings.services]
    faults = count_faults(callers.results, records, runs)
    return CallersReport(faults, _read_records(settings.platform, PlatformRecords))


def _read_records(url: str, record_type: Any) -> Any:
    client = HttpClient(url, RECORDS_TIMEOUT_S)
    try:
        return msgspec.json.decode(client.call("GET", "/records").body, type=record_type)
    finally:
        client.close()
