"""JSON logs; hosted processes write them through a queue, so slow output blocks no other thread."""

from __future__ import annotations

import logging
import sys
import threading
from collections.abc import Callable
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from hibiscustray.exceptions import UpstreamError

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_QUEUED_LINES = 2000
"""Lines queued while the output is slow; further lines are dropped and counted."""


FLUSH_TIMEOUT_S = 1.0
"""Maximum time for writing the queued lines when a process stops."""


def configure_logs(process_id: str, level: str = "INFO") -> None:
    """Write logs as JSON lines with the process id to standard error."""
    _install(_make_handler(process_id, sys.stderr), level)


def configure_hosted_logs(
    process_id: str,
    level: str = "INFO",
    output: TextIO | None = None,
    on_dropped: Callable[[], None] = lambda: None,
) -> BoundedQueueListener:
    """Write logs as JSON lines to standard output in a separate thread.

    Lines beyond the queue limit are dropped, and `on_dropped` is called for each. Stop the returned
    listener when the process ends, so that the queued lines are written.
    """
    queue: Queue = Queue(MAX_QUEUED_LINES)
    listener = BoundedQueueListener(queue, _make_handler(process_id, output or sys.stdout))
    _install(DroppingQueueHandler(queue, on_dropped), level)
    listener.start()
    return listener


class BoundedQueueListener(QueueListener):
    """Writes queued lines; `stop` does not wait for blocked output beyond a timeout."""

    def stop(self) -> None:
        """Write the queued lines and end the thread, within a time limit."""
        thread = self._thread
        if thread is None:
            return
        try:
            self.queue.put(self._sentinel, timeout=FLUSH_TIMEOUT_S)
        except Full:
            return
        thread.join(FLUSH_TIMEOUT_S)
        self._thread = None


class DroppingQueueHandler(QueueHandler):
    """Queues log records; drops and counts a record if the queue is full."""

    def __init__(self, queue: Queue, on_dropped: Callable[[], None]) -> None:
        super().__init__(queue)
        self._on_dropped = on_dropped
        self._dropped_lock = threading.Lock()
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without blocking."""
        try:
            self.queue.put_nowait(record)
        except Full:
            with self._dropped_lock:
                self.dropped += 1
            self._on_dropped()


class UpstreamErrorFilter(logging.Filter):
    """Drops waitress's traceback of an upstream error, which the request's log line reports."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is to be logged."""
        error = record.exc_info[1] if record.exc_info else None
        return not isinstance(error, UpstreamError)


def _make_handler(process_id: str, output: TextIO) -> logging.Handler:
    handler = logging.StreamHandler(output)
    handler.setFormatter(JsonFormatter(LOG_FORMAT, static_fields={"process": process_id}))
    return handler


def _install(handler: logging.Handler, level: str) -> None:
    root_logger = logging.getLogger()
    root_logger.handlers = [handler]
    root_logger.setLevel(level)
    server_logger = logging.getLogger("waitress")
    server_logger.setLevel(logging.ERROR)
    server_logger.filters = [UpstreamErrorFilter()]
