"""HTTP towards callers and from operators' tools, by waitress and http.client."""

from hibiscustray.web.client import HttpClient, HttpReply
from hibiscustray.web.server import HttpServer, Request, Response, Router

__all__ = ["HttpClient", "HttpReply", "HttpServer", "Request", "Response", "Router"]
