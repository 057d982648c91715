"""HTTP server built on waitress and HTTP client built on http.client, with optional TLS."""

from hibiscustray.web.bodies import BodyBudget
from hibiscustray.web.client import ClientResponse, HttpClient, HttpStream
from hibiscustray.web.framing import Framing
from hibiscustray.web.server import HttpServer, Request, Response, Router
from hibiscustray.web.tls import make_client_context, make_server_context

__all__ = [
    "BodyBudget",
    "ClientResponse",
    "Framing",
    "HttpClient",
    "HttpServer",
    "HttpStream",
    "Request",
    "Response",
    "Router",
    "make_client_context",
    "make_server_context",
]
