"""What a soak needs of the stand-ins of a platform."""

from __future__ import annotations

import http.client
import socket
from collections.abc import Callable
from typing import Any, Protocol


class StoreStandIn(Protocol):
    """A platform's store that can misbehave."""

    address: str
    error_status: int
    body_pause_s: float
    lost_response_share: float
    clock_offset_s: float

    def publish(self, version: int, keys: list[str]) -> None:
        """Put a configuration with these keys in force."""
        ...

    def set_target_version(self, version: int) -> None:
        """Name a version of the weights."""
        ...

    def list_replica(self, replica: Any, address: str, version: int, **changes: object) -> None:
        """List a replica at an address, with a version of the weights."""
        ...

    def unlist(self, replica: Any) -> None:
        """Take a replica off the list."""
        ...

    def discard_history(self) -> None:
        """Drop the history of changes."""
        ...

    def close(self) -> None:
        """Stop serving."""
        ...


class ReplicaRequest(Protocol):
    """A request as a replica read it."""

    id: str
    path: str
    body: bytes
    resume_after: int


Script = Callable[[Any, socket.socket], None]


class CallerResponse(Protocol):
    """What a caller got of an entry."""

    status: int
    is_sealed: bool
    body: bytes
    is_ended: bool
    retry_after_s: float
    is_connection_closed: bool


class StandIns(Protocol):
    """The stand-ins of one platform; a module with these functions and classes will do."""

    KEY: str

    def StoreStandIn(self) -> StoreStandIn:  # noqa: N802
        """Start a store."""
        ...

    def ReplicaStandIn(self, replica_id: str, service: str, script: Script) -> Any:  # noqa: N802
        """Start a replica that answers as a script says."""
        ...

    def respond_with_body(
        self, status: int = 200, body: bytes = b"", request_id: str = "", **headers: str
    ) -> Script:
        """Return a script that answers with a body."""
        ...

    def respond_with_events(self, events: list[bytes]) -> Script:
        """Return a script that streams events."""
        ...

    def respond_with_bytes(self, data: bytes) -> Script:
        """Return a script that sends bytes and closes."""
        ...

    def reject(self, status: int = 503) -> Script:
        """Return a script that says that a request did not run."""
        ...

    def call_entry(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: bytes,
        request_id: str,
        key: str,
        deadline_s: float,
    ) -> CallerResponse:
        """Send one request as a caller and read its answer; raise `OSError` if there is none."""
        ...

    def read_readiness(self, address: str) -> int:
        """Return the status of an entry's answer to the balancer; raise `OSError`."""
        ...
