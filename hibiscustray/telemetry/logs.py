"""JSON log lines; a process that a platform hosts writes them without ever waiting for output."""

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

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
QUEUED_LINES = 2000
"""Lines kept while the output is slow; more are dropped and counted."""


FLUSH_S = 1.0
"""Time for the last lines at the end of a process."""


def configure_logs(process_id: str, level: str = "INFO") -> None:
    """Send JSON lines to standard error, each carrying the process id."""
    _install(_make_handler(process_id, sys.stderr), level)


def configure_hosted_logs(
    process_id: str,
    level: str = "INFO",
    output: TextIO | None = None,
    on_dropped: Callable[[], None] = lambda: None,
) -> HostedListener:
    """Send JSON lines to standard output from a thread of their own, dropping what is too much.

    Returns the listener, to be stopped at the end so that the last lines are written.
    """
    queue: Queue = Queue(QUEUED_LINES)
    listener = HostedListener(queue, _make_handler(process_id, output or sys.stdout))
    _install(DroppingHandler(queue, on_dropped), level)
    listener.start()
    return listener


class HostedListener(QueueListener):
    """Writes queued lines; its stop does not wait for an output that takes nothing."""

    def stop(self) -> None:
        """Write what is queued, within a time limit, and end the thread."""
        thread = self._thread
        if thread is None:
            return
        try:
            self.queue.put(self._sentinel, timeout=FLUSH_S)
        except Full:
            return
        thread.join(FLUSH_S)
        self._thread = None


class DroppingHandler(QueueHandler):
    """Queues records; one that finds the queue full is dropped and counted."""

    def __init__(self, queue: Queue, on_dropped: Callable[[], None]) -> None:
        super().__init__(queue)
        self._on_dropped = on_dropped
        self._lock_dropped = threading.Lock()
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except Full:
            with self._lock_dropped:
                self.dropped += 1
            self._on_dropped()


class EndedRequestFilter(logging.Filter):
    """Drops the server's traceback of a stream that was cut, which its own line tells already."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a record is kept."""
        error = record.exc_info[1] if record.exc_info else None
        return not isinstance(error, UpstreamError)


def _make_handler(process_id: str, output: TextIO) -> logging.Handler:
    handler = logging.StreamHandler(output)
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"process": process_id}))
    return handler


def _install(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    server = logging.getLogger("waitress")
    server.setLevel(logging.ERROR)
    server.filters = [EndedRequestFilter()]
