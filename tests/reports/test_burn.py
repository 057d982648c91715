"""Tests of the burn-rate report."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.deployments import Configuration, Deployment, Revision, Service, Team
from hibiscustray.deployments import render_deployment as render
from hibiscustray.exceptions import MetricsUnreadable
from hibiscustray.reports import (
    Sample,
    ServiceLevelEvent,
    ServiceLevelRecorder,
    make_burn_report,
    parse_exposition,
)
from hibiscustray.reports.burn import WINDOWS_S
from hibiscustray.reports.pages import render_page, render_table
from hibiscustray.telemetry import Metrics

DEPLOYMENT = Deployment(
    "trust",
    services=(Service("booking", "plain", availability_percent=99.0),),
    teams=(Team("hosts"), Team("members")),
)
EVENTS = st.builds(
    ServiceLevelEvent,
    service=st.just("booking"),
    team=st.sampled_from(["hosts", "members"]),
    outcome=st.sampled_from(["answered", "not_run", "unknown", "abandoned"]),
    kind=st.sampled_from(["", "overloaded", "malformed", "unknown"]),
    first_payload_s=st.sampled_from([None, 0.2, 3.0]),
    answer_s=st.sampled_from([0.3, 40.0]),
)


def make_sample(events, incarnation=1):
    metrics = Metrics("entry-1")
    configuration = Configuration()
    configuration.adopt(Revision(1, render(DEPLOYMENT), "op", "c", 0.0))
    recorder = ServiceLevelRecorder(configuration, metrics)
    for event in events:
        recorder.record(event)
    text = metrics.render_text()[0].decode()
    return Sample("entry-1", incarnation, 0.0, parse_exposition(text))


def make_report(newest, starts=None):
    return make_burn_report(DEPLOYMENT, 1, newest, starts or {})


@given(st.lists(EVENTS, max_size=30), st.lists(EVENTS, max_size=30))
def test_report_counts_match_the_recorded_events(before, after):
    starts = {"5m": [make_sample(before)]}
    report = make_report([make_sample(before + after)], starts)
    row = next(row for row in report.rows if row.team == "all")
    assert row.outcomes == dict(Counter(event.outcome for event in before + after))
    counted = [e for e in after if e.outcome != "abandoned" and e.kind != "malformed"]
    good = [e for e in counted if e.outcome == "answered" and e.first_payload_s == 0.2]
    good = [e for e in good if e.answer_s == 0.3]
    assert (row.windows[0].good, row.windows[0].bad) == (len(good), len(counted) - len(good))


def make_event(outcome, team="hosts"):
    kind = "" if outcome == "answered" else "overloaded"
    return ServiceLevelEvent("booking", team, outcome, kind, 0.1, 0.2)


def test_alert_follows_the_burn_rates_of_both_windows():
    bad = [make_event("not_run")] * 20 + [make_event("answered")] * 80
    assert make_report([make_sample(bad)]).alert == "fast"
    assert make_report([make_sample([make_event("answered")] * 100)]).alert == "none"
    starts = {"5m": [make_sample(bad)], "1h": [make_sample(bad)]}
    assert make_report([make_sample(bad)], starts).alert == "slow"


def test_counters_of_a_restarted_process_count_from_zero():
    events = [make_event("answered")] * 5
    starts = {name: [make_sample(events, incarnation=1)] for name in WINDOWS_S}
    newest = [make_sample(events, incarnation=1), make_sample(events, incarnation=2)]
    row = make_report(newest, starts).rows[0]
    assert row.windows[0].good == 5


def test_table_and_page_show_every_row(snapshot):
    events = [make_event("answered")] * 9 + [make_event("not_run", "members")]
    report = make_report([make_sample(events)])
    assert render_table(report) == snapshot
    page = render_page(report)
    assert page.count("<svg") == 2
    assert "overloaded" in page


def test_invalid_metrics_raise_metrics_unreadable():
    rng = random.Random(1)
    texts = ["x{", "hibiscustray_requests_total{a=} 1", 'x{a="b"} y']
    texts += ["".join(chr(rng.randrange(32, 126)) for _ in range(40)) for _ in range(200)]
    rejected = 0
    for text in texts:
        try:
            parse_exposition(text)
        except MetricsUnreadable:
            rejected += 1
    assert rejected > 0
    with pytest.raises(MetricsUnreadable):
        parse_exposition('x{a="b"} y')
