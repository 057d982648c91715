"""The load that the upstream reports of itself, read in a thread of its own."""

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
    """Keeps the upstream's last report, and none while it is idle or does not report."""

    def __init__(self, engine: EngineClient, is_busy: Callable[[], bool] = lambda: True) -> None:
        self._engine = engine
        self._is_busy = is_busy
        self._load = EngineLoad()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="upstream-load", daemon=True)

    @property
    def waiting(self) -> int:
        """Return the requests that wait inside the upstream, as it last reported."""
        return self._load.waiting

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reading; a read under way is left to its timeout."""
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
                    log.info("upstream reports no load", extra={"error": str(error)})
                is_reporting = False
                continue
            is_reporting = True
