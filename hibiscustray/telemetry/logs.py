"""JSON log lines, written on changes of state only."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(process_id: str, level: str = "INFO") -> None:
    """Send JSON lines to standard error, each carrying the process id."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"process": process_id}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    logging.getLogger("waitress").setLevel(logging.ERROR)
