"""Renders the burn-rate report as a table for terminals or as a self-contained HTML page."""

from __future__ import annotations

import io
from importlib.resources import files

import jinja2

from hibiscustray.reports.burn import ALL_TEAMS, FAST_BURN_RATE, SLOW_BURN_RATE, BurnReport, BurnRow

ROW_FORMAT = "{:<16} {:<14} {:>9} {:>8} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>6}"
HEADINGS = (
    "service",
    "team",
    "objective",
    "budget",
    "5m",
    "1h",
    "6h",
    "3d",
    "first p95",
    "total p95",
    "alert",
)
WIDTH_IN = 9.0
ROW_HEIGHT_IN = 0.6
GOOD_COLOUR = "#2e7d5b"
BAD_COLOUR = "#c0392b"
OTHER_COLOURS = ("#c0392b", "#d98e04", "#7a7a7a")


def render_table(report: BurnReport) -> str:
    """Return the report as text with one line for each service and team."""
    lines = [ROW_FORMAT.format(*HEADINGS)]
    lines += [ROW_FORMAT.format(*_format_cells(row)) for row in report.rows]
    lines.append(f"alert: {report.alert} (revision {report.revision})")
    return "\n".join(lines)


def render_page(report: BurnReport) -> str:
    """Return the report as HTML with embedded plots; requires the extra ``plots``."""
    template = files("hibiscustray.reports").joinpath("burn.html").read_text()
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    totals = [row for row in report.rows if row.team == ALL_TEAMS]
    return environment.from_string(template).render(
        report=report,
        burn_plot=jinja2.utils.markupsafe.Markup(plot_burn(totals)),
        outcome_plot=jinja2.utils.markupsafe.Markup(plot_outcomes(totals)),
        format_seconds=format_seconds,
    )


def plot_burn(rows: list[BurnRow]) -> str:
    """Return an SVG with a bar for each service and window, and both alert thresholds."""
    figure, axes = _make_figure(len(rows))
    names = [f"{row.service} {window.window}" for row in rows for window in row.windows]
    burns = [window.burn for row in rows for window in row.windows]
    colours = [BAD_COLOUR if burn >= SLOW_BURN_RATE else GOOD_COLOUR for burn in burns]
    axes.barh(names, burns, color=colours)
    axes.axvline(SLOW_BURN_RATE, color="#444444", linestyle=":", label="slow threshold")
    axes.axvline(FAST_BURN_RATE, color="#444444", linestyle="--", label="fast threshold")
    axes.set_xscale("symlog", linthresh=SLOW_BURN_RATE)
    axes.set_xlim(left=0, right=max(FAST_BURN_RATE * 2, *burns, 0) if burns else FAST_BURN_RATE * 2)
    axes.set_xlabel("burn rate (1 uses up the error budget exactly)")
    axes.invert_yaxis()
    axes.legend(loc="lower right")
    return _render_svg(figure)


def plot_outcomes(rows: list[BurnRow]) -> str:
    """Return an SVG with the number of requests of each service by outcome."""
    figure, axes = _make_figure(len(rows))
    names = [row.service for row in rows]
    offsets = [0] * len(rows)
    outcomes = ["answered", *sorted({o for row in rows for o in row.outcomes} - {"answered"})]
    for number, outcome in enumerate(outcomes):
        counts = [row.outcomes.get(outcome, 0) for row in rows]
        colour = GOOD_COLOUR if number == 0 else OTHER_COLOURS[(number - 1) % len(OTHER_COLOURS)]
        axes.barh(names, counts, left=offsets, color=colour, label=outcome)
        offsets = [a + b for a, b in zip(offsets, counts, strict=True)]
    axes.set_xlabel("requests in the longest window")
    axes.invert_yaxis()
    axes.legend(loc="best")
    return _render_svg(figure)


def format_seconds(value: float | None) -> str:
    """Return a latency bound as text, a dash for None."""
    return "-" if value is None else f"{value:g} s"


def _format_cells(row: BurnRow) -> list[str]:
    return [
        row.service,
        row.team,
        f"{row.objective_percent:g}%",
        f"{row.budget_left_percent:g}%",
        *(f"{window.burn:g}" for window in row.windows),
        format_seconds(row.first_payload.p95_s),
        format_seconds(row.answer.p95_s),
        row.alert,
    ]


def _make_figure(row_count: int):
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_IN, 1.2 + ROW_HEIGHT_IN * max(1, row_count) * 2))
    return figure, figure.subplots()


def _render_svg(figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]
