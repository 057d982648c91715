"""WSGI application that serves a process's readiness and its metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from hibiscustray.web.problem import PROBLEM_JSON, make_problem
from hibiscustray.web.server import REASON_PHRASES

METRICS_PATH = "/metrics"


class StatusApplication:
    """Reports whether this process accepts new connections, and serves metrics."""

    def __init__(
        self,
        ready_path: str,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], tuple[bytes, str]],
    ) -> None:
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Handle one WSGI request."""
        path = environ["PATH_INFO"]
        if path == self._ready_path:
            status, content_type, body = 200 if self._is_ready() else 503, "text/plain", b""
        elif path == METRICS_PATH:
            status = 200
            body, content_type = self._render_metrics()
        else:
            status, content_type = 404, PROBLEM_JSON
            body = make_problem(404, REASON_PHRASES[404])
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(f"{status} {REASON_PHRASES.get(status, 'Status')}", headers)
        return [body]
