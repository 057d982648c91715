"""Polling of the load that the upstream reports."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from hibiscustray.exceptions import UpstreamError
from hibiscustray.protocols import EngineClient
from hibiscustray.protocols.engine import EngineLoad

log = logging.getLogger(__name__)

READ_INTERVAL_S = 0.25


class UpstreamLoad:
    """Polls the upstream's load in a thread and keeps the last report.

    The load is empty while the upstream is idle or does not report.
    """

    def __init__(self, engine: EngineClient, is_busy: Callable[[], bool] = lambda: True) -> None:
        self._engine = engine
        self._is_busy = is_busy
        self._load = EngineLoad()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="upstream-load", daemon=True)

    @property
    def waiting(self) -> int:
        """Return the number of requests queued in the upstream, as last reported."""
        return self._load.waiting

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling without waiting for a running read, which ends by its timeout."""
        self._stopping.set()

    def _run(self) -> None:
        is_reporting = True
        while not self._stopping.wait(READ_INTERVAL_S):
            if not self._is_busy():
                self._load = EngineLoad()
                continue
            try:
                self._load = self._engine.read_load()
            except UpstreamError as error:
                self._load = EngineLoad()
                if is_reporting:
                    log.info("upstream does not report its load", extra={"error": str(error)})
                is_reporting = False
                continue
            is_reporting = True
