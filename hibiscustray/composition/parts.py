"""What the wiring of all programs shares."""

from __future__ import annotations

import time

from hibiscustray.web import Router

KIB = 1024
MIB = 1024 * KIB
MS_PER_S = 1000


class DeferredApplication:
    """A WSGI application that is set after its server has a port."""

    def __init__(self) -> None:
        self.target: Router | None = None

    def __call__(self, environ, start_response):
        assert self.target is not None
        return self.target(environ, start_response)


def make_incarnation() -> int:
    """Return the Unix time in milliseconds, which tells a process from its earlier ones."""
    return int(time.time() * MS_PER_S)
