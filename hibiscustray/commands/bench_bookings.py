"""The command `bench bookings`: measures ways to run bookings at most once."""

from __future__ import annotations

import click
import msgspec

from hibiscustray.benchmarks.bookings import BookingBench, BookingBenchOptions, BookingResult


class BookingBenchReport(msgspec.Struct, frozen=True):
    """Output of the command: its options and one result for each way."""

    options: BookingBenchOptions
    results: list[BookingResult]


def run_bench_bookings(is_json: bool, **values) -> int:
    """Run the benchmark; return 1 on a fault of a booking with an idempotency key or ticket.

    Faults are a booking that ran twice and one that ran although it was reported as not run.
    """
    options = BookingBenchOptions(**values)
    results = BookingBench(options).run()
    if is_json:
        click.echo(msgspec.json.encode(BookingBenchReport(options, results)))
    else:
        for result in results:
            _print_result(result)
    keyed = [result for result in results if result.way != "no_key"]
    return 1 if any(result.run_twice or result.false_not_run for result in keyed) else 0


def _print_result(result: BookingResult) -> None:
    click.echo(
        f"{result.way:<8} writes {result.writes_per_booking:<6} "
        f"p50 {result.booking_ms.p50} ms, p99 {result.booking_ms.p99} ms, "
        f"answered {result.answered_share:.1%}, in an outage {result.outage_answered_share:.1%}, "
        f"run twice {result.run_twice}, false not run {result.false_not_run}"
    )
