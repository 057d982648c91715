"""Retry budgets, which bound the retries of a service to a share of its requests."""

from __future__ import annotations

import threading

RETRY_SHARE = 0.2
"""Retries that each request adds to the budget."""

BUCKET_CAPACITY = 20.0
"""Retries that a full budget allows, which is also its initial value."""


class RetryBudget:
    """A token bucket: each request adds `share` tokens and each retry removes one."""

    def __init__(self, share: float = RETRY_SHARE, capacity: float = BUCKET_CAPACITY) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity
        self._lock = threading.Lock()

    def set_limits(self, share: float, capacity: float) -> None:
        """Apply changed limits; tokens over the capacity are lost."""
        with self._lock:
            self._share = share
            self._capacity = capacity
            self._tokens = min(capacity, self._tokens)

    def deposit(self) -> None:
        """Add the share of one request."""
        with self._lock:
            self._tokens = min(self._capacity, self._tokens + self._share)

    def is_available(self) -> bool:
        """Return whether the budget allows a retry now."""
        return self._tokens >= 1.0

    def withdraw(self) -> bool:
        """Remove the token of one retry; return whether the budget allowed it."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True


class RetryBudgets:
    """The retry budgets of all services, created on first use."""

    def __init__(self, share: float = RETRY_SHARE, capacity: float = BUCKET_CAPACITY) -> None:
        self._share = share
        self._capacity = capacity
        self._budgets: dict[str, RetryBudget] = {}
        self._lock = threading.Lock()

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        with self._lock:
            return self._budgets.setdefault(service, RetryBudget(self._share, self._capacity))

    def set_limits(self, share: float, capacity: float) -> None:
        """Apply changed limits to all services."""
        with self._lock:
            self._share = share
            self._capacity = capacity
            for budget in self._budgets.values():
                budget.set_limits(share, capacity)
