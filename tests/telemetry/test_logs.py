"""Tests of the logs of hosted processes: a bounded queue whose output blocks no logging thread."""

from __future__ import annotations

import io
import json
import logging
import threading
import time

import pytest

from hibiscustray.exceptions import UpstreamConnectionLost
from hibiscustray.telemetry import configure_hosted_logs
from hibiscustray.telemetry.logs import MAX_QUEUED_LINES


@pytest.fixture
def root_logger():
    logger = logging.getLogger()
    handlers, level = list(logger.handlers), logger.level
    yield logger
    logger.handlers = handlers
    logger.setLevel(level)


class BlockedOutput(io.StringIO):
    """An output whose writes block until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(10.0)
        return super().write(text)


def test_blocked_output_delays_no_logging_thread_and_excess_lines_are_counted(root_logger):
    output, dropped = BlockedOutput(), []
    listener = configure_hosted_logs("p", output=output, on_dropped=lambda: dropped.append(1))
    started = time.monotonic()
    for number in range(MAX_QUEUED_LINES + 500):
        root_logger.info("request ended", extra={"request": number})
    assert time.monotonic() - started < 2.0
    assert 490 <= len(dropped) <= 500
    output.released.set()
    listener.stop()
    lines = output.getvalue().splitlines()
    assert len(lines) + len(dropped) == MAX_QUEUED_LINES + 500


def test_line_contains_process_and_extra_fields(root_logger):
    output = io.StringIO()
    listener = configure_hosted_logs("edge-1", output=output)
    root_logger.info("request ended", extra={"request": "r-1", "outcome": "answered"})
    listener.stop()
    line = json.loads(output.getvalue())
    assert (line["process"], line["message"]) == ("edge-1", "request ended")
    assert (line["request"], line["outcome"]) == ("r-1", "answered")


@pytest.mark.parametrize(("error", "lines"), [(UpstreamConnectionLost("cut"), 0), (KeyError(), 1)])
def test_waitress_traceback_is_logged_only_for_unexpected_errors(root_logger, error, lines):
    output = io.StringIO()
    listener = configure_hosted_logs("edge-1", output=output)
    try:
        raise error
    except Exception:
        logging.getLogger("waitress").exception("Exception while serving /x")
    listener.stop()
    assert len(output.getvalue().splitlines()) == lines
