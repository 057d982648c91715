"""Target versions of each model's weights, as set by the operator, and when they were set."""

from __future__ import annotations

import logging
import math
import threading
from dataclasses import dataclass

from hibiscustray.clock import read_clock

log = logging.getLogger(__name__)

DEFAULT_VERSION = 1
"""Target version of a model for which the operator has set none."""


@dataclass(frozen=True)
class WeightsVersion:
    """A version of a model's weights that the operator has set as the target."""

    model: str
    version: int


class TargetVersions:
    """The target versions of each model, oldest first, with the earliest time each was set."""

    def __init__(self) -> None:
        self._target_versions: dict[str, list[tuple[int, float]]] = {}
        self._lock = threading.Lock()

    def record(self, target: WeightsVersion, set_at: float | None = None) -> bool:
        """Record a target version; return whether it is newer than the recorded ones.

        `set_at` is the earliest time of `read_clock` at which it may have been set. It is now by
        default, and minus infinity for a version found when this process started.
        """
        set_at = read_clock() if set_at is None else set_at
        with self._lock:
            versions = self._target_versions.setdefault(target.model, [])
            if versions and target.version <= versions[-1][0]:
                return False
            versions.append((target.version, set_at))
        age_s = read_clock() - set_at
        log.info(
            "target weights version set",
            extra={
                "model": target.model,
                "version": target.version,
                # None for a version that was already set when this process started.
                "age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            },
        )
        return True

    def find_newest(self, model: str) -> int:
        """Return the newest target version of a model."""
        versions = self._target_versions.get(model)
        return versions[-1][0] if versions else DEFAULT_VERSION

    def find_age(self, model: str) -> float:
        """Return the seconds since the newest target version was set, infinite if none was."""
        versions = self._target_versions.get(model)
        return read_clock() - versions[-1][1] if versions else float("inf")

    def find_time_left(self, model: str, held: int, bound_s: float) -> float:
        """Return the seconds until a version newer than `held` is required, infinite if none.

        A version is required from `bound_s` after it was set as the target.
        """
        now = read_clock()
        with self._lock:
            ages = [
                now - at for version, at in self._target_versions.get(model, ()) if version > held
            ]
        return bound_s - max(ages) if ages else float("inf")

    def find_required(self, model: str, bound_s: float) -> int:
        """Return the oldest version that requests may still begin on, 0 if there is no limit.

        This is the newest version that was set as the target at least `bound_s` ago.
        """
        limit = read_clock() - bound_s
        with self._lock:
            old = [version for version, at in self._target_versions.get(model, ()) if at <= limit]
        return old[-1] if old else 0
