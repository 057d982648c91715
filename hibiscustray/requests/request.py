"""A caller's request with its parsed parameters."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from hibiscustray.requests.estimate import Estimate, estimate_call


def _return_false() -> bool:
    return False


@dataclass(frozen=True)
class CallerRequest:
    """The parameters of one request; `deadline` is a time of the monotonic clock.

    `is_first` is set if the caller declares that it never sent this key before; `is_disconnected`
    returns whether the caller has disconnected.
    """

    id: str
    team: str
    service: str
    path: str
    body: bytes
    deadline: float
    is_idempotent: bool
    is_stream: bool
    key: str = ""
    priority: int = 5
    weight: float = 1.0
    estimate: Estimate = estimate_call()
    is_first: bool = False
    is_disconnected: Callable[[], bool] = _return_false

    def time_left(self) -> float:
        """Return the seconds until the deadline, negative after it."""
        return self.deadline - time.monotonic()
