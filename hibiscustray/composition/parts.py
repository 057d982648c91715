"""Units and components that hosted and standalone processes have in common."""

from __future__ import annotations

import time

from hibiscustray.web import Router

KIB = 1024
MIB = 1024 * KIB
MS_PER_S = 1000


class DeferredApplication:
    """Forwards to a WSGI application that is built after its server, because it needs the port."""

    def __init__(self) -> None:
        self.target: Router | None = None

    def __call__(self, environ, start_response):
        assert self.target is not None
        return self.target(environ, start_response)


def make_incarnation() -> int:
    """Return the Unix time in milliseconds, which distinguishes a process from its earlier runs."""
    return int(time.time() * MS_PER_S)
