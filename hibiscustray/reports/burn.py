"""Error budgets and how fast they burn, over several windows.

Source of the alert rule: Google, The Site Reliability Workbook, chapter 5, multiwindow alerts.
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
FAST_BURN = 14.4
SLOW_BURN = 1.0
TOP_CAUSES = 5
QUANTILES = (0.5, 0.95, 0.99)
PERCENT = 100.0
ALL_TEAMS = "all"


@dataclass(frozen=True)
class WindowBurn:
    """Events of one window; a burn of 1 uses up the budget exactly in the objective's period."""

    window: str
    good: int
    bad: int
    burn: float


@dataclass(frozen=True)
class Latency:
    """Upper bounds in seconds of the histogram buckets that hold the quantiles."""

    p50_s: float | None
    p95_s: float | None
    p99_s: float | None


@dataclass(frozen=True)
class BurnRow:
    """One service seen by one team, or by all."""

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
    """The whole report; `alert` is the gravest of its rows: fast, slow or none."""

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
    """Compute the report from the newest samples and those at each window's start."""
    newest = list(newest)
    increases = {name: find_increase(newest, starts.get(name, ())) for name in WINDOWS_S}
    rows = [
        _make_row(service, team, increases)
        for service in deployment.services
        for team in (None, *deployment.teams)
    ]
    rows = [row for row in rows if row.team == ALL_TEAMS or row.outcomes]
    alerts = [row.alert for row in rows]
    alert = next((kind for kind in ("fast", "slow") if kind in alerts), "none")
    return BurnReport(revision, alert, len({s.process for s in newest}), tuple(rows))


def find_increase(newest: Iterable[Sample], start: Iterable[Sample]) -> tuple[Series, ...]:
    """Return how much each counter rose since the start, summed over processes."""
    before = {sample.key: _index(sample.series) for sample in start}
    total: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
    for sample in newest:
        earlier = before.get(sample.key, {})
        for key, value in _index(sample.series).items():
            total[key] += max(0.0, value - earlier.get(key, 0.0))
    return tuple(Series(name, labels, value) for (name, labels), value in total.items())


def _index(series: Iterable[Series]) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    return {(each.name, each.labels): each.value for each in series}


def _make_row(
    service: Service, team: Team | None, increases: Mapping[str, tuple[Series, ...]]
) -> BurnRow:
    objective = service.availability_percent
    if team is not None and team.availability_percent:
        objective = team.availability_percent
    selected = {name: _select(series, service, team) for name, series in increases.items()}
    windows = tuple(_make_window(name, selected[name], objective) for name in WINDOWS_S)
    whole = selected[list(WINDOWS_S)[-1]]
    return BurnRow(
        service=service.name,
        team=team.name if team else ALL_TEAMS,
        objective_percent=objective,
        budget_left_percent=round(PERCENT * (1.0 - windows[-1].burn), 2),
        alert=choose_alert(windows),
        windows=windows,
        outcomes=_sum_by(whole, "requests_total", "outcome"),
        causes=dict(Counter(_sum_by(whole, "failures_total", "kind")).most_common(TOP_CAUSES)),
        first_payload=_find_latency(whole, "first_payload_seconds_bucket"),
        answer=_find_latency(whole, "answer_seconds_bucket"),
    )


def choose_alert(windows: tuple[WindowBurn, ...]) -> str:
    """Return fast if the budget burns fast both lately and for an hour, slow likewise, or none."""
    burn = {window.window: window.burn for window in windows}
    if burn["5m"] >= FAST_BURN and burn["1h"] >= FAST_BURN:
        return "fast"
    if burn["6h"] > SLOW_BURN and burn["3d"] > SLOW_BURN:
        return "slow"
    return "none"


def _select(series, service: Service, team: Team | None) -> tuple[Series, ...]:
    return tuple(
        each
        for each in series
        if each.label("service") == service.name
        and (team is None or each.label("team") == team.name)
    )


def _make_window(name: str, series: tuple[Series, ...], objective: float) -> WindowBurn:
    results = _sum_by(series, "service_level_events_total", "result")
    good, bad = results.get("good", 0), results.get("bad", 0)
    allowed = 1.0 - objective / PERCENT
    share = bad / (good + bad) if good + bad else 0.0
    burn = share / allowed if allowed > 0 else (float("inf") if bad else 0.0)
    return WindowBurn(name, good, bad, round(burn, 3))


def _sum_by(series: Iterable[Series], name: str, label: str) -> dict[str, int]:
    total: Counter[str] = Counter()
    for each in series:
        if each.name == name:
            total[each.label(label)] += int(each.value)
    return {key: value for key, value in total.items() if value}


def _find_latency(series: Iterable[Series], name: str) -> Latency:
    buckets: Counter[float] = Counter()
    for each in series:
        if each.name == name:
            buckets[float(each.label("le"))] += int(each.value)
    return Latency(*(_find_quantile(buckets, quantile) for quantile in QUANTILES))


def _find_quantile(buckets: Mapping[float, int], quantile: float) -> float | None:
    """Return the bucket bound of a quantile; infinite ones stay out, as JSON has none."""
    total = max(buckets.values(), default=0)
    if not total:
        return None
    reached = [bound for bound, count in sorted(buckets.items()) if count >= quantile * total]
    return None if reached[0] == float("inf") else reached[0]
