"""Client of a model engine or plain service beside an agent.

Requests use the OpenAI chat completions protocol; orders and load are JSON over HTTP.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from hibiscustray.exceptions import (
    DigestMismatch,
    FencingRejected,
    UpstreamConnectionLost,
    UpstreamRejected,
)
from hibiscustray.web import HttpClient
from hibiscustray.web.client import HttpStream

LOAD_TIMEOUT_S = 600.0


@dataclass(frozen=True)
class EngineWeights:
    """What an engine has loaded: the version's digest, its adapters and the last fencing number."""

    digest: str = ""
    adapters: tuple[str, ...] = ()
    fencing: int = 0


@dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reports, with a lag: requests and free cache share (0 to 1)."""

    running: int = 0
    waiting: int = 0
    cache_free: float = 1.0
    tokens_per_second: float = 0.0


@dataclass(frozen=True)
class LoadWeightsOrder:
    """An order to load weights, read from a URL of the agent that is followed by a digest.

    `slot_number` is the fencing number of the wave slot under which the order was given.
    """

    digest: str
    weights_url: str
    fencing: int
    issuer: str
    revision: int
    adapters: tuple[str, ...] = ()
    slot_number: int = 0


class EngineClient:
    """Speaks to one upstream over loopback."""

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        self._http = HttpClient(url, timeout_s)

    def load_weights(self, order: LoadWeightsOrder) -> None:
        """Order weights to be loaded and read back what is loaded.

        Raises `FencingRejected`, `DigestMismatch`, `UpstreamRejected` or a connection error.
        """
        reply = self._http.call(
            "POST", "/orders/load", msgspec.json.encode(order), timeout_s=LOAD_TIMEOUT_S
        )
        if reply.status == 409:
            raise FencingRejected(reply.body.decode(errors="replace"))
        if reply.status != 200:
            raise UpstreamRejected(reply.status, reply.body.decode(errors="replace")[:200])
        loaded = self.read_weights()
        if loaded.digest != order.digest or set(loaded.adapters) != set(order.adapters):
            raise DigestMismatch(f"ordered {order.digest[:12]}, loaded {loaded.digest[:12]}")

    def read_weights(self) -> EngineWeights:
        """Return what the engine has loaded."""
        return self._decode("/orders/loaded", EngineWeights)

    def read_load(self) -> EngineLoad:
        """Return the engine's load report."""
        return self._decode("/load", EngineLoad)

    def open(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
        is_fresh: bool,
        on_connect: Callable[[Callable[[], None]], None] | None = None,
    ) -> HttpStream:
        """Send a caller's request and return the answer with its body unread."""
        return self._http.open("POST", path, body, headers, timeout_s, is_fresh, on_connect)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _decode(self, path: str, kind):
        reply = self._http.call("GET", path)
        if reply.status != 200:
            raise UpstreamRejected(reply.status, reply.body.decode(errors="replace")[:200])
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError as error:
            raise UpstreamConnectionLost(f"unreadable answer from {path}: {error}") from error
