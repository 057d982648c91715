"""HTTP server on top of waitress and HTTP client on top of http.client, both with TLS."""

from hibiscustray.web.client import ClientResponse, HttpClient, HttpStream
from hibiscustray.web.server import HttpServer, Request, Response, Router
from hibiscustray.web.tls import make_client_context, make_server_context

__all__ = [
    "ClientResponse",
    "HttpClient",
    "HttpServer",
    "HttpStream",
    "Request",
    "Response",
    "Router",
    "make_client_context",
    "make_server_context",
]
