"""Stand-in for a plain service that takes bookings and counts the runs of each reference."""

from __future__ import annotations

import threading
import time
from collections import Counter

import msgspec

from hibiscustray.web import HttpServer, Request, Response, Router

SERVER_THREADS = 32


class ServiceStandIn:
    """Runs every call that it receives, and counts the started and finished runs by reference.

    If `busy_status` is not 0, calls still run, but their responses carry this HTTP status.
    """

    def __init__(self, address: str, port: int, delay_s: float = 0.005) -> None:
        self.started: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.request_ids: set[str] = set()
        self.delay_s = delay_s
        self.busy_status = 0
        self._lock = threading.Lock()
        router = Router(lambda error: Response.json({"error": str(error)}, 500))
        router.add("POST", "/", self._serve_call)
        router.add("GET", "/records", lambda _: Response.json(dict(self.runs)))
        router.add("GET", "/load", lambda _: Response.json({"running": 0, "waiting": 0}))
        self._http = HttpServer(router, address, port, SERVER_THREADS)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._http.url

    def start(self) -> None:
        """Start the HTTP server."""
        self._http.start()

    def stop(self) -> None:
        """Stop the HTTP server."""
        self._http.stop()

    def _serve_call(self, request: Request) -> Response:
        reference = msgspec.json.decode(request.body)["reference"]
        with self._lock:
            self.started[reference] += 1
        time.sleep(self.delay_s)
        with self._lock:
            self.runs[reference] += 1
            self.request_ids.add(request.headers.get("x-request-id", ""))
            run = self.runs[reference]
        if self.busy_status:
            return Response.json({"error": "busy"}, self.busy_status)
        return Response.json({"reference": reference, "confirmed": True, "run": run})
