"""The gRPC server of one process, with generic handlers for the peer methods."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc

from hibiscustray.exceptions import MessageInvalid, SettingsError
from hibiscustray.peers.codec import (
    METHODS,
    SERVICE,
    Method,
    encode_message,
    find_codec,
    make_decoder,
)

MAX_MESSAGE_B = 64 * 1024 * 1024
OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_B),
    ("grpc.max_send_message_length", MAX_MESSAGE_B),
)


class PeerServer:
    """Serves the methods that have a handler; raises `SettingsError` if the port is in use."""

    def __init__(
        self,
        address: str,
        port: int,
        handlers: dict[str, Callable[[Any, grpc.ServicerContext], Any]],
        threads: int,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        pool = ThreadPoolExecutor(threads, thread_name_prefix="peer")
        self._server = grpc.server(pool, options=OPTIONS)
        methods = {
            method.name: _make_handler(method, handlers[method.name])
            for method in METHODS
            if method.name in handlers
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        self._server.add_generic_rpc_handlers((generic,))
        target = f"{address}:{port}"
        try:
            if credentials is None:
                self.port = self._server.add_insecure_port(target)
            else:
                self.port = self._server.add_secure_port(target, credentials)
        except RuntimeError as error:
            problem = f"[process] peer_port: found {port}; allowed: a port that is free"
            raise SettingsError((problem,)) from error
        self.address = f"{address}:{self.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self, grace_s: float = 0.0) -> None:
        """Reject new calls, wait up to `grace_s` for running ones, then abort those left."""
        self._server.stop(grace_s).wait()


def _make_handler(method: Method, serve: Callable[[Any, grpc.ServicerContext], Any]):
    decode = make_decoder(method.request)

    def serve_unary(body: bytes, context: grpc.ServicerContext) -> bytes:
        reply = serve(_decode_or_abort(body, context), context)
        return encode_message(reply, find_codec(body))

    def serve_stream(body: bytes, context: grpc.ServicerContext):
        for reply in serve(_decode_or_abort(body, context), context):
            yield encode_message(reply)

    def _decode_or_abort(body: bytes, context: grpc.ServicerContext) -> Any:
        try:
            return decode(body)
        except MessageInvalid as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    if method.is_stream:
        return grpc.unary_stream_rpc_method_handler(serve_stream)
    return grpc.unary_unary_rpc_method_handler(serve_unary)
