"""Names of HTTP headers with a meaning for a proxy."""

from __future__ import annotations

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that are not forwarded: they describe one connection or its message framing, which differ
between the caller's and the replica's side."""
