"""Runs a hosted entry of which threads are paused before or after their last check of a request.

Usage: python -m tests.platform.held_entry SETTINGS {before,after} SHORTEST_S LONGEST_S HOLD_FILE
"""

from __future__ import annotations

import itertools
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

from hibiscustray.commands.hosting import run_hosted_entry
from hibiscustray.platform.replica import PlatformReplicaClient

HELD_SHARE = 2
"""One of so many threads is paused."""


def hold_threads(place: str, hold: Callable[[], None]) -> None:
    """Call a function in each thread that sends to a replica, before or after the last check."""
    open_response = PlatformReplicaClient.open

    def open_later(client: PlatformReplicaClient, *arguments):
        outbound, timeout_s, confirm, *others = arguments

        def confirm_and_hold(cancel: Callable[[], None]) -> None:
            confirm(cancel)
            hold()

        if place == "after":
            return open_response(client, outbound, timeout_s, confirm_and_hold, *others)
        hold()
        return open_response(client, *arguments)

    PlatformReplicaClient.open = open_later


def make_hold(hold_file: Path, shortest_s: float, longest_s: float) -> Callable[[], None]:
    """Return a function that sleeps from the monotonic time that a file tells, once it exists."""
    numbers = itertools.count()

    def hold() -> None:
        number = next(numbers)
        is_held = number % HELD_SHARE == 0 and hold_file.exists()
        if is_held and time.monotonic() >= float(hold_file.read_text()):
            time.sleep(random.Random(number).uniform(shortest_s, longest_s))

    return hold


def main(settings: str, place: str, shortest_s: str, longest_s: str, hold_file: str) -> None:
    """Run the entry until a signal."""
    hold_threads(place, make_hold(Path(hold_file), float(shortest_s), float(longest_s)))
    run_hosted_entry(Path(settings))


if __name__ == "__main__":
    main(*sys.argv[1:])
