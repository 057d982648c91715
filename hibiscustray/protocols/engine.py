"""Client of a model engine or plain service on the same VM as an agent.

Requests use the OpenAI chat completions protocol; load orders and reports are JSON over HTTP.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import (
    DigestMismatch,
    FencingRejected,
    UpstreamConnectionLost,
    UpstreamRejected,
)
from hibiscustray.web import HttpClient
from hibiscustray.web.client import HttpStream

LOAD_WEIGHTS_TIMEOUT_S = 600.0


@dataclass(frozen=True)
class EngineWeights:
    """Digest and adapters of the version that an engine has loaded, and its last fencing number."""

    digest: str = ""
    adapters: tuple[str, ...] = ()
    fencing: int = 0


@dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reports, with a delay: requests and free cache share (0 to 1)."""

    running: int = 0
    waiting: int = 0
    cache_free: float = 1.0
    tokens_per_second: float = 0.0


@dataclass(frozen=True)
class LoadWeightsOrder:
    """An order to load weights from the agent, at `weights_url` followed by a digest.

    `slot_number` is the fencing number of the wave slot under which the order was issued.
    """

    digest: str
    weights_url: str
    fencing: int
    issuer: str
    revision: int
    adapters: tuple[str, ...] = ()
    slot_number: int = 0


class EngineClient:
    """HTTP client for one upstream, called over the loopback interface."""

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        self._http = HttpClient(url, timeout_s)

    def load_weights(self, order: LoadWeightsOrder) -> None:
        """Make the engine load weights, and check what it has loaded.

        Raises `FencingRejected`, `DigestMismatch`, `UpstreamRejected` or a connection error.
        """
        response = self._http.call(
            "POST", "/orders/load", msgspec.json.encode(order), timeout_s=LOAD_WEIGHTS_TIMEOUT_S
        )
        if response.status == 409:
            raise FencingRejected(response.body.decode(errors="replace"))
        if response.status != 200:
            raise UpstreamRejected(response.status, response.body.decode(errors="replace")[:200])
        loaded = self.read_weights()
        if loaded.digest != order.digest or set(loaded.adapters) != set(order.adapters):
            raise DigestMismatch(f"ordered {order.digest[:12]}, loaded {loaded.digest[:12]}")

    def read_weights(self) -> EngineWeights:
        """Return the weights and adapters that the engine has loaded."""
        return self._get("/orders/loaded", EngineWeights)

    def read_load(self) -> EngineLoad:
        """Return the engine's load report."""
        return self._get("/load", EngineLoad)

    def open(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
        is_fresh: bool,
        on_connect: Callable[[Callable[[], None]], None] | None = None,
    ) -> HttpStream:
        """Forward a caller's request and return the response with its body unread."""
        return self._http.open("POST", path, body, headers, timeout_s, is_fresh, on_connect)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _get(self, path: str, record_type):
        response = self._http.call("GET", path)
        if response.status != 200:
            raise UpstreamRejected(response.status, response.body.decode(errors="replace")[:200])
        try:
            return msgspec.json.decode(response.body, type=record_type)
        except DECODE_ERRORS as error:
            raise UpstreamConnectionLost(f"cannot decode response from {path}: {error}") from error
