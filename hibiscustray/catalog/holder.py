"""The catalog in force in this process; it never goes back a revision."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from hibiscustray.catalog.model import Catalog

log = logging.getLogger(__name__)


class CatalogHolder:
    """Keeps the newest catalog offered and tells listeners of each change."""

    def __init__(self) -> None:
        self._catalog: Catalog | None = None
        self._since = 0.0
        self._listeners: list[Callable[[Catalog], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> Catalog | None:
        """Return the catalog in force, None before the first one."""
        return self._catalog

    @property
    def age_s(self) -> float:
        """Return the seconds since the catalog in force was taken on."""
        return time.monotonic() - self._since

    def add_listener(self, listener: Callable[[Catalog], None]) -> None:
        """Call a function with each catalog that comes into force."""
        self._listeners.append(listener)

    def update(self, catalog: Catalog) -> bool:
        """Put a catalog in force unless a newer one is; tell whether it was taken on."""
        with self._lock:
            known = self._catalog
            if known is not None and catalog.revision <= known.revision:
                return False
            self._catalog = catalog
            self._since = time.monotonic()
        log.info(
            "catalog in force",
            extra={
                "revision": catalog.revision,
                "previous": known.revision if known is not None else 0,
                "routes": len(catalog.routes),
                "services": len(catalog.services),
                "keys": len(catalog.teams),
            },
        )
        for listener in self._listeners:
            listener(catalog)
        return True
