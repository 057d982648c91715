"""Client of the origin that stores weight files, using HTTP range requests."""

from __future__ import annotations

from urllib.parse import quote

from hibiscustray.exceptions import (
    ObjectMissing,
    OriginUnavailable,
    UpstreamConnectionLost,
    UpstreamUnreachable,
)
from hibiscustray.web import HttpClient

HTTP_PARTIAL_CONTENT = 206


class Origin:
    """Reads byte ranges of weight files."""

    def __init__(self, url: str, timeout_s: float = 30.0) -> None:
        self._http = HttpClient(url, timeout_s)

    def read_range(self, path: str, start: int, length: int) -> bytes:
        """Return a byte range of a file; raise `ObjectMissing` or `OriginUnavailable`."""
        headers = {"Range": f"bytes={start}-{start + length - 1}"}
        try:
            response = self._http.call("GET", "/" + quote(path), headers=headers)
        except (UpstreamUnreachable, UpstreamConnectionLost) as error:
            raise OriginUnavailable(str(error)) from error
        if response.status == 404:
            raise ObjectMissing(path)
        if response.status != HTTP_PARTIAL_CONTENT:
            raise OriginUnavailable(f"origin returned HTTP status {response.status}")
        return response.body

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()
