"""The command `report burn`: computes burn rates from metrics and stored samples."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.deployments import RevisionStore, parse_deployment
from hibiscustray.exceptions import MetricsUnreadable, NoConfiguration, UpstreamError
from hibiscustray.protocols import Table
from hibiscustray.reports import Sample, SampleStore, make_burn_report, parse_exposition
from hibiscustray.reports.burn import WINDOWS_S, BurnReport
from hibiscustray.reports.pages import render_page, render_table
from hibiscustray.web import HttpClient

log = logging.getLogger(__name__)

EXIT_CODES = {"none": 0, "slow": 10, "fast": 11}
READ_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class BurnOptions:
    """Options of the command."""

    table_url: str
    entry_urls: tuple[str, ...]
    is_json: bool
    page: Path | None


def run_burn_report(options: BurnOptions) -> int:
    """Print the report, write the page if requested and return the exit code of the alert."""
    report = read_burn_report(options)
    if options.page is not None:
        options.page.write_text(render_page(report))
    text = msgspec.json.encode(report).decode() if options.is_json else render_table(report)
    click.echo(text)
    return EXIT_CODES[report.alert]


def read_burn_report(options: BurnOptions) -> BurnReport:
    """Read samples from the table and metrics from the entries, and compute the report."""
    table = Table(options.table_url, READ_TIMEOUT_S)
    head = RevisionStore(table).read_head()
    if head is None:
        raise NoConfiguration("no deployment has been accepted yet")
    store = SampleStore(table)
    now = time.time()
    newest = {sample.key: sample for sample in store.read_last()}
    for url in options.entry_urls:
        sample = scrape_entry(url, now)
        newest[sample.key] = sample
    starts = {name: store.read_start(now - length) for name, length in WINDOWS_S.items()}
    deployment = parse_deployment(head.text)
    return make_burn_report(deployment, head.number, newest.values(), starts)


def scrape_entry(url: str, now: float) -> Sample:
    """Return a sample of an entry's current counters; raise `MetricsUnreadable`."""
    client = HttpClient(url, READ_TIMEOUT_S)
    try:
        health = msgspec.json.decode(client.call("GET", "/health").body)
        body = client.call("GET", "/metrics").body.decode()
        return Sample(health["process"], health["incarnation"], now, parse_exposition(body))
    except (UpstreamError, *DECODE_ERRORS, KeyError) as error:
        raise MetricsUnreadable(f"{url}: {error}") from error
    finally:
        client.close()
