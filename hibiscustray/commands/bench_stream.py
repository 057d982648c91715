"""The command `bench stream`: measures what streams cost a running entry and agent."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from hibiscustray.benchmarks.streams import StreamOptions, StreamRun


def run_bench_stream(key_file: Path, is_json: bool, **options) -> int:
    """Run the streams, print the report and return 1 if no stream was answered."""
    report = StreamRun(StreamOptions(key=key_file.read_text().strip(), **options)).measure()
    if is_json:
        click.echo(msgspec.json.encode(report))
    else:
        for name, value in msgspec.to_builtins(report).items():
            click.echo(f"{name:<24} {value:>12}")
    return 0 if report.answered else 1
