"""Client of the object store, in the S3 path-style protocol (GetObject, PutObject)."""

from __future__ import annotations

from urllib.parse import quote

from hibiscustray.exceptions import (
    ObjectMissing,
    StoreAnswerLost,
    StoreUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.web import HttpClient

BUCKET = "hibiscustray"


class ObjectStore:
    """Reads and writes whole objects by key."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._http = HttpClient(url, timeout_s)

    def get(self, key: str) -> bytes:
        """Return an object; raise `ObjectMissing` or `StoreUnavailable`."""
        try:
            response = self._http.call("GET", _make_path(key))
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status == 404:
            raise ObjectMissing(key)
        if response.status != 200:
            raise StoreUnavailable(f"object store returned HTTP status {response.status}")
        return response.body

    def put(self, key: str, body: bytes) -> None:
        """Write an object; raise `StoreUnavailable` or `StoreAnswerLost`."""
        try:
            response = self._http.call("PUT", _make_path(key), body)
        except UpstreamUnreachable as error:
            raise StoreUnavailable(str(error)) from error
        except UpstreamConnectionLost as error:
            raise StoreAnswerLost(str(error)) from error
        if response.status not in (200, 201):
            raise StoreAnswerLost(f"object store returned HTTP status {response.status}")

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _make_path(key: str) -> str:
    return f"/{BUCKET}/{quote(key)}"
