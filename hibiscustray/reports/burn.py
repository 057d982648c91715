"""Error budgets and their burn rates over several windows.

The alert rule is the multiwindow alert of Google's Site Reliability Workbook, chapter 5.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hibiscustray.deployments import Deployment, Service, Team
from hibiscustray.reports.samples import Sample
from hibiscustray.reports.series import Series

MINUTE_S = 60.0
HOUR_S = 3600.0
WINDOWS_S: Mapping[str, float] = {
    "5m": 5 * MINUTE_S,
    "1h": HOUR_S,
    "6h": 6 * HOUR_S,
    "3d": 72 * HOUR_S,
}
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 1.0
"""Thresholds that the burn rates of both windows of an alert reach (fast) or exceed (slow)."""
MAX_CAUSES = 5
QUANTILES = (0.5, 0.95, 0.99)
PERCENT = 100.0
ALL_TEAMS = "all"


@dataclass(frozen=True)
class WindowBurn:
    """Events of one window; a burn rate of 1 uses up the budget in the objective's period."""

    window: str
    good: int
    bad: int
    burn: float


@dataclass(frozen=True)
class Latency:
    """Upper bounds, in seconds, of the histogram buckets that contain the quantiles."""

    p50_s: float | None
    p95_s: float | None
    p99_s: float | None


@dataclass(frozen=True)
class BurnRow:
    """Figures of one service for one team, or for all teams; counts are of the longest window."""

    service: str
    team: str
    objective_percent: float
    budget_left_percent: float
    alert: str
    windows: tuple[WindowBurn, ...]
    outcomes: dict[str, int]
    causes: dict[str, int]
    first_payload: Latency
    answer: Latency


@dataclass(frozen=True)
class BurnReport:
    """The complete report; `alert` is the most severe one of its rows: fast, slow or none."""

    revision: int
    alert: str
    processes: int
    rows: tuple[BurnRow, ...]


def make_burn_report(
    deployment: Deployment,
    revision: int,
    newest: Iterable[Sample],
    starts: Mapping[str, Iterable[Sample]],
) -> BurnReport:
    """Compute the report from the newest samples and the samples at the start of each window."""
    newest = list(newest)
    increases = {name: compute_increases(newest, starts.get(name, ())) for name in WINDOWS_S}
    rows = [
        _make_row(service, team, increases)
        for service in deployment.services
        for team in (None, *deployment.teams)
    ]
    rows = [row for row in rows if row.team == ALL_TEAMS or row.outcomes]
    alerts = [row.alert for row in rows]
    alert = next((kind for kind in ("fast", "slow") if kind in alerts), "none")
    return BurnReport(revision, alert, len({s.process for s in newest}), tuple(rows))


def compute_increases(newest: Iterable[Sample], start: Iterable[Sample]) -> tuple[Series, ...]:
    """Return the increase of each counter since the start, summed over processes.

    A counter without a start value has counted from zero, as after a restart of its process.
    """
    before = {sample.key: _index_series(sample.series) for sample in start}
    total: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
    for sample in newest:
        earlier = before.get(sample.key, {})
        for key, value in _index_series(sample.series).items():
            total[key] += max(0.0, value - earlier.get(key, 0.0))
    return tuple(Series(name, labels, value) for (name, labels), value in total.items())


def _index_series(series: Iterable[Series]) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    return {(each.name, each.labels): each.value for each in series}


def _make_row(
    service: Service, team: Team | None, increases: Mapping[str, tuple[Series, ...]]
) -> BurnRow:
    objective = service.availability_percent
    if team is not None and team.availability_percent:
        objective = team.availability_percent
    selected = {name: _filter_series(series, service, team) for name, series in increases.items()}
    windows = tuple(_make_window(name, selected[name], objective) for name in WINDOWS_S)
    longest = selected[list(WINDOWS_S)[-1]]
    return BurnRow(
        service=service.name,
        team=team.name if team else ALL_TEAMS,
        objective_percent=objective,
        budget_left_percent=round(PERCENT * (1.0 - windows[-1].burn), 2),
        alert=determine_alert(windows),
        windows=windows,
        outcomes=_sum_by(longest, "requests_total", "outcome"),
        causes=dict(Counter(_sum_by(longest, "failures_total", "kind")).most_common(MAX_CAUSES)),
        first_payload=_compute_latency(longest, "first_payload_seconds_bucket"),
        answer=_compute_latency(longest, "answer_seconds_bucket"),
    )


def determine_alert(windows: tuple[WindowBurn, ...]) -> str:
    """Return `fast` (by the 5m and 1h windows), `slow` (by the 6h and 3d windows) or `none`."""
    burn = {window.window: window.burn for window in windows}
    if burn["5m"] >= FAST_BURN_RATE and burn["1h"] >= FAST_BURN_RATE:
        return "fast"
    if burn["6h"] > SLOW_BURN_RATE and burn["3d"] > SLOW_BURN_RATE:
        return "slow"
    return "none"


def _filter_series(series, service: Service, team: Team | None) -> tuple[Series, ...]:
    return tuple(
        each
        for each in series
        if each.get_label("service") == service.name
        and (team is None or each.get_label("team") == team.name)
    )


def _make_window(name: str, series: tuple[Series, ...], objective: float) -> WindowBurn:
    results = _sum_by(series, "service_level_events_total", "result")
    good, bad = results.get("good", 0), results.get("bad", 0)
    budget_share = 1.0 - objective / PERCENT
    bad_share = bad / (good + bad) if good + bad else 0.0
    burn = bad_share / budget_share if budget_share > 0 else (float("inf") if bad else 0.0)
    return WindowBurn(name, good, bad, round(burn, 3))


def _sum_by(series: Iterable[Series], name: str, label: str) -> dict[str, int]:
    total: Counter[str] = Counter()
    for each in series:
        if each.name == name:
            total[each.get_label(label)] += int(each.value)
    return {key: value for key, value in total.items() if value}


def _compute_latency(series: Iterable[Series], name: str) -> Latency:
    buckets: Counter[float] = Counter()
    for each in series:
        if each.name == name:
            buckets[float(each.get_label("le"))] += int(each.value)
    return Latency(*(_compute_quantile(buckets, quantile) for quantile in QUANTILES))


def _compute_quantile(buckets: Mapping[float, int], quantile: float) -> float | None:
    """Return the bucket bound of a quantile; None for infinity, which JSON cannot express."""
    total = max(buckets.values(), default=0)
    if not total:
        return None
    bounds = [bound for bound, count in sorted(buckets.items()) if count >= quantile * total]
    return None if bounds[0] == float("inf") else bounds[0]
