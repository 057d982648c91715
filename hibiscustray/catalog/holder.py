"""The active catalog of this process; its revision never decreases."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from hibiscustray.catalog.model import Catalog

log = logging.getLogger(__name__)


class CatalogHolder:
    """Holds the newest catalog received and notifies listeners of each change."""

    def __init__(self) -> None:
        self._catalog: Catalog | None = None
        self._activated_at = 0.0
        self._listeners: list[Callable[[Catalog], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> Catalog | None:
        """Return the active catalog, None before the first update."""
        return self._catalog

    @property
    def age_s(self) -> float:
        """Return the seconds since the active catalog was activated."""
        return time.monotonic() - self._activated_at

    def add_listener(self, listener: Callable[[Catalog], None]) -> None:
        """Register a function to call with each newly activated catalog."""
        self._listeners.append(listener)

    def update(self, catalog: Catalog) -> bool:
        """Activate a catalog unless its revision is not newer; return whether it was activated."""
        with self._lock:
            current = self._catalog
            if current is not None and catalog.revision <= current.revision:
                return False
            self._catalog = catalog
            self._activated_at = time.monotonic()
        log.info(
            "catalog activated",
            extra={
                "revision": catalog.revision,
                "previous": current.revision if current is not None else 0,
                "routes": len(catalog.routes),
                "services": len(catalog.services),
                "keys": len(catalog.teams),
            },
        )
        for listener in self._listeners:
            listener(catalog)
        return True
