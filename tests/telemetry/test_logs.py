"""Log lines of hosted processes: bounded, and never waited for."""

from __future__ import annotations

import io
import json
import logging
import threading
import time

import pytest

from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.telemetry import configure_hosted_logs
from hibiscustray.telemetry.logs import QUEUED_LINES


@pytest.fixture
def root():
    logger = logging.getLogger()
    handlers, level = list(logger.handlers), logger.level
    yield logger
    logger.handlers = handlers
    logger.setLevel(level)


class BlockedOutput(io.StringIO):
    """An output that takes nothing until it is opened."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()

    def write(self, text: str) -> int:
        self.gate.wait(10.0)
        return super().write(text)


def test_a_blocked_output_delays_no_caller_and_lines_beyond_the_queue_are_counted(root):
    output, dropped = BlockedOutput(), []
    listener = configure_hosted_logs("p", output=output, on_dropped=lambda: dropped.append(1))
    started = time.monotonic()
    for number in range(QUEUED_LINES + 500):
        root.info("request ended", extra={"request": number})
    assert time.monotonic() - started < 2.0
    assert 490 <= len(dropped) <= 500
    output.gate.set()
    listener.stop()
    lines = output.getvalue().splitlines()
    assert len(lines) + len(dropped) == QUEUED_LINES + 500


def test_a_line_carries_the_process_and_its_fields(root):
    output = io.StringIO()
    listener = configure_hosted_logs("edge-1", output=output)
    root.info("request ended", extra={"request": "r-1", "outcome": "answered"})
    listener.stop()
    line = json.loads(output.getvalue())
    assert (line["process"], line["message"]) == ("edge-1", "request ended")
    assert (line["request"], line["outcome"]) == ("r-1", "answered")


@pytest.mark.parametrize(("error", "lines"), [(UpstreamConnectionLost("cut"), 0), (KeyError(), 1)])
def test_only_unexpected_failures_leave_a_traceback_of_the_server(root, error, lines):
    output = io.StringIO()
    listener = configure_hosted_logs("edge-1", output=output)
    try:
        raise error
    except Exception:
        logging.getLogger("waitress").exception("Exception while serving /x")
    listener.stop()
    assert len(output.getvalue().splitlines()) == lines
