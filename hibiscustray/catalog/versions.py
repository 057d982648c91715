"""Which version of each model's weights the operator has named, and since when."""

from __future__ import annotations

import logging
import math
import threading
import time
from dataclasses import dataclass

log = logging.getLogger(__name__)

FIRST_VERSION = 1
"""Version of a model that the operator has named none for."""


@dataclass(frozen=True)
class WeightsVersion:
    """A version that the operator has named for a model."""

    model: str
    version: int


class TargetVersions:
    """The versions named for each model, oldest first, with the earliest time of naming."""

    def __init__(self) -> None:
        self._named: dict[str, list[tuple[int, float]]] = {}
        self._lock = threading.Lock()

    def record(self, named: WeightsVersion, named_at: float | None = None) -> bool:
        """Take in a named version; tell whether it is news.

        `named_at` is the earliest monotonic time at which it may have been named, in seconds, now
        if absent; minus infinity for a version found at the start of this process.
        """
        named_at = time.monotonic() if named_at is None else named_at
        with self._lock:
            known = self._named.setdefault(named.model, [])
            if known and named.version <= known[-1][0]:
                return False
            known.append((named.version, named_at))
        age_s = time.monotonic() - named_at
        log.info(
            "weights version named",
            extra={
                "model": named.model,
                "version": named.version,
                # None for a version that was there when this process started.
                "age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            },
        )
        return True

    def newest(self, model: str) -> int:
        """Return the newest version named for a model."""
        known = self._named.get(model)
        return known[-1][0] if known else FIRST_VERSION

    def age_s(self, model: str) -> float:
        """Return the seconds since the newest version was named, infinite if never."""
        known = self._named.get(model)
        return time.monotonic() - known[-1][1] if known else float("inf")

    def find_time_left(self, model: str, held: int, bound_s: float) -> float:
        """Return the seconds until a version newer than the one held is required, else infinite."""
        now = time.monotonic()
        with self._lock:
            ages = [now - at for version, at in self._named.get(model, ()) if version > held]
        return bound_s - max(ages) if ages else float("inf")

    def find_required(self, model: str, bound_s: float) -> int:
        """Return the oldest version that requests may still begin on, 0 if any will do."""
        limit = time.monotonic() - bound_s
        with self._lock:
            old = [version for version, at in self._named.get(model, ()) if at <= limit]
        return old[-1] if old else 0
