"""Interface of the platform stand-ins that a soak uses."""

from __future__ import annotations

import http.client
import socket
from collections.abc import Callable
from typing import Any, Protocol

from hibiscustray.soak.reading import CallerResponse


class StoreStandIn(Protocol):
    """A stand-in for the platform's store that simulates faults.

    All calls fail with the HTTP status `error_status` unless it is 0. `body_pause_s` is a pause in
    the middle of each response body, `lost_response_share` the share of responses that are dropped,
    and `clock_offset_s` is added to the server time in the responses.
    """

    address: str
    error_status: int
    body_pause_s: float
    lost_response_share: float
    clock_offset_s: float

    def publish(self, version: int, keys: list[str]) -> None:
        """Publish a configuration with these team keys."""
        ...

    def set_target_version(self, version: int) -> None:
        """Set the target version of the weights."""
        ...

    def list_replica(self, replica: Any, address: str, version: int, **changes: object) -> None:
        """Add a replica to the replica list at an address, with a version of the weights."""
        ...

    def unlist(self, replica: Any) -> None:
        """Remove a replica from the replica list."""
        ...

    def discard_history(self) -> None:
        """Drop the change history."""
        ...

    def close(self) -> None:
        """Stop serving."""
        ...


class ReplicaRequest(Protocol):
    """A request as a replica received it.

    `resume_after` is the number of the last event that the caller received, 0 for none, and
    `expected_version` the version of the weights that the replica must hold, 0 for any. The names
    of `headers` are in lower case.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    resume_after: int
    expected_version: int


Script = Callable[[Any, socket.socket], None]
"""Handles one request at a replica stand-in by writing a raw response to the connection."""


class StandIns(Protocol):
    """The stand-ins of a platform; can be a module that defines these functions and classes."""

    KEY: str

    def StoreStandIn(self) -> StoreStandIn:  # noqa: N802
        """Start a store stand-in."""
        ...

    def ReplicaStandIn(self, replica_id: str, service: str, script: Script) -> Any:  # noqa: N802
        """Start a replica stand-in that runs a script for each request."""
        ...

    def respond_with_body(
        self, status: int = 200, body: bytes = b"", request_id: str = "", **headers: str
    ) -> Script:
        """Return a script that sends a sealed response, by default with the id of its request."""
        ...

    def respond_with_events(self, events: list[bytes], version: int = 1, **headers: str) -> Script:
        """Return a script that streams the events after the last one that the caller received.

        The response names the version of the weights that it comes from.
        """
        ...

    def encode_success(self, request: Any, version: int = 0, **headers: str) -> bytes:
        """Return the head of a sealed response, for a version of the weights that of a stream."""
        ...

    def respond_with_bytes(self, data: bytes) -> Script:
        """Return a script that sends these bytes and closes the connection."""
        ...

    def reject(self, status: int = 503, **headers: str) -> Script:
        """Return a script that rejects the request and reports that it did not run."""
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
        prompt: str,
    ) -> CallerResponse:
        """Send a request as a caller and read the response; raise `OSError` if there is none.

        `prompt` names the parts of a stream's prompt.
        """
        ...

    def read_readiness(self, address: str) -> int:
        """Return the status of an entry's readiness endpoint; raise `OSError` if unreachable."""
        ...
