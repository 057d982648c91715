"""Retry budgets: retries of a service are bounded by a share of its requests."""

from __future__ import annotations

import threading

RETRY_SHARE = 0.2
BUCKET_CAPACITY = 20.0


class RetryBudget:
    """A token bucket that each request fills by a share and each retry empties by one."""

    def __init__(self, share: float = RETRY_SHARE, capacity: float = BUCKET_CAPACITY) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Note a request."""
        with self._lock:
            self._tokens = min(self._capacity, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Take a retry from the budget; tell whether there was one."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True


class RetryBudgets:
    """The retry budgets of all services."""

    def __init__(self, share: float = RETRY_SHARE, capacity: float = BUCKET_CAPACITY) -> None:
        self._share = share
        self._capacity = capacity
        self._budgets: dict[str, RetryBudget] = {}
        self._lock = threading.Lock()

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        with self._lock:
            return self._budgets.setdefault(service, RetryBudget(self._share, self._capacity))
