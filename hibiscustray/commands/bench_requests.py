"""The command `bench requests`: measures routing policies under load and faults."""

from __future__ import annotations

from typing import get_args, get_type_hints

import click
import msgspec

from hibiscustray.benchmarks.load import Mix
from hibiscustray.benchmarks.request_faults import FAULTS
from hibiscustray.benchmarks.requests import (
    RequestBenchOptions,
    RequestBenchResult,
    name_teams,
    run_request_bench,
)
from hibiscustray.exceptions import SettingsError
from hibiscustray.settings import RoutingSettings

POLICIES = get_args(get_type_hints(RoutingSettings)["policy"])


class RequestBenchReport(msgspec.Struct, frozen=True):
    """Output of the command: its options and one result for each policy."""

    options: RequestBenchOptions
    results: list[RequestBenchResult]


def run_bench_requests(is_json: bool, **values) -> int:
    """Run the benchmark; return 1 if any count that must be zero is not."""
    options = parse_options(**values)
    results = run_request_bench(options)
    if is_json:
        click.echo(msgspec.json.encode(RequestBenchReport(options, results)))
    else:
        for result in results:
            _print_result(result)
    return 1 if any(count_violations(result) for result in results) else 0


def parse_options(
    rush: str, mix: str, faults: str, policy: str, teams: int, **values
) -> RequestBenchOptions:
    """Parse and check the options that click takes as plain text; raise `SettingsError`."""
    if faults not in ("none", "all", *FAULTS):
        raise _make_option_error("--faults", faults, f"none, all, {', '.join(FAULTS)}")
    policies = POLICIES if policy == "all" else tuple(policy.split(","))
    for name in policies:
        if name not in POLICIES:
            raise _make_option_error("--policy", name, f"all, {', '.join(POLICIES)}")
    return RequestBenchOptions(
        teams=teams,
        rush=_parse_rush(rush, teams),
        mix=_parse_mix(mix),
        faults=faults,
        policies=policies,
        **values,
    )


def count_violations(result: RequestBenchResult) -> int:
    """Return the sum of the counts that must be zero."""
    counts = result.counts
    return (
        counts.hung
        + counts.run_twice
        + counts.false_not_run
        + counts.wrong_answer
        + result.cut_by_planned_stop
    )


def _parse_rush(text: str, teams: int) -> tuple[str, float] | None:
    if not text:
        return None
    team, _, factor = text.partition(":")
    allowed = "TEAM:FACTOR, where TEAM is a team such as team-0 and FACTOR is greater than 0"
    try:
        if team not in name_teams(teams) or float(factor) <= 0:
            raise _make_option_error("--rush", text, allowed)
    except ValueError:
        raise _make_option_error("--rush", text, allowed) from None
    return team, float(factor)


def _parse_mix(text: str) -> Mix:
    if not text:
        return Mix()
    try:
        stream, booking = (float(part) for part in text.split(":"))
    except ValueError:
        raise _make_option_error("--mix", text, "two shares as STREAM:BOOKING") from None
    if min(stream, booking) < 0 or stream + booking > 1:
        raise _make_option_error("--mix", text, "two shares of at least 0 whose sum is at most 1")
    return Mix(stream, booking)


def _make_option_error(option: str, found: str, allowed: str) -> SettingsError:
    return SettingsError((f"{option}: found {found!r}; allowed: {allowed}",))


def _print_result(result: RequestBenchResult) -> None:
    for name, value in msgspec.to_builtins(result).items():
        if isinstance(value, dict):
            value = msgspec.json.encode(value).decode()
        click.echo(f"{name:<34} {value}")
