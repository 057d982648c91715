"""A hosted entry with a stand-in store and replicas, and helpers that call it over HTTP."""

from __future__ import annotations

import http.client
import socket
import threading
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from hibiscustray.composition import build_hosted_entry
from hibiscustray.exceptions import SettingsError
from hibiscustray.platform.standins import (
    ATTEMPT_ID,
    HOST,
    KEY,
    MODEL_HEADERS,
    ReplicaStandIn,
    Script,
    StoreStandIn,
    make_configuration,
)
from hibiscustray.settings import (
    HostedBounds,
    HostedEntry,
    HostedProcess,
    HostedSettings,
    HostedStore,
)
from hibiscustray.soak.programs import find_free_port
from hibiscustray.telemetry import Metrics
from tests.waiting import wait_until

CALL_TIMEOUT_S = 5.0


@dataclass
class HostedSite:
    """A running entry with its stand-in store and replicas."""

    store: StoreStandIn
    settings: HostedSettings
    process: object
    replicas: list[ReplicaStandIn] = field(default_factory=list)

    def add_replica(self, service: str, script: Script, **row) -> ReplicaStandIn:
        """Start a replica, add it to the replica list and wait until the entry has read its row."""
        replica = ReplicaStandIn(f"i-{len(self.replicas)}", service, script)
        self.replicas.append(replica)
        self.store.put("servers", replica.id, replica.make_row(**row))
        wait_until(lambda: self.process._directory.get(replica.id) is not None)
        return replica

    def update_replica(self, replica: ReplicaStandIn, **row) -> None:
        """Change a replica's row and wait 0.2 s for the entry to read it."""
        self.store.put("servers", replica.id, replica.make_row(**row))
        time.sleep(0.2)

    def configure(self, version: int, **changes) -> None:
        """Publish a configuration and wait until it is active in the entry."""
        self.store.put("op", "config", make_configuration(version, **changes))
        wait_until(lambda: self.process._catalogs.current.revision >= version)

    def connect(self) -> http.client.HTTPConnection:
        """Return an HTTP connection to the callers' port of the entry."""
        host, _, port = self.settings.entry.callers.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)

    def open_socket(self) -> socket.socket:
        """Open a socket to the callers' port of the entry."""
        host, _, port = self.settings.entry.callers.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=CALL_TIMEOUT_S)

    def call(self, method: str, path: str, body: bytes | None = None, **headers: str):
        """Send a request on a new connection; return the response and its body."""
        connection = self.connect()
        response = self.send(connection, method, path, body, **headers)
        data = response.read()
        connection.close()
        return response, data

    def send(self, connection, method: str, path: str, body: bytes | None = None, **headers: str):
        """Send a request on a connection; return the response with its body unread."""
        fields = {
            "Host": HOST,
            ATTEMPT_ID: uuid.uuid4().hex,
            "X-Hibiscustray-Deadline-Ms": "2500",
            "Authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, fields)
        return connection.getresponse()

    def request_stream(self, **headers: str):
        """Request a stream of a model; return the response and its body."""
        return self.call("POST", "/draft/1", b"p" * 50, **MODEL_HEADERS, **headers)

    def read_ready(self) -> int:
        """Return the HTTP status of the readiness endpoint."""
        host, _, port = self.settings.entry.readiness.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        connection.request("GET", "/v1/ready")
        status = connection.getresponse().status
        connection.close()
        return status


@contextmanager
def run_hosted_site(
    is_configured: bool = True,
    threads: int = 16,
    era: int | None = None,
    version_ms: float = 1000.0,
) -> Iterator[HostedSite]:
    """Run an entry with an empty replica list, and a configuration if `is_configured`."""
    store = StoreStandIn()
    store.era = era
    if is_configured:
        store.put("op", "config", make_configuration())
    settings, process = build_entry(store, threads, version_ms)
    process.start()
    site = HostedSite(store, settings, process)
    try:
        if is_configured:
            wait_until(lambda: site.read_ready() == 200)
        yield site
    finally:
        process.stop()
        store.close()
        for replica in site.replicas:
            replica.close()


def build_entry(store: StoreStandIn, threads: int, version_ms: float = 1000.0):
    """Return the settings and the process of an entry on free ports."""
    while True:
        settings = HostedSettings(
            process=HostedProcess("edge-1", "z1", "r1", "127.0.0.1", 0, 0),
            store=HostedStore(store.address, wait_s=1.0),
            regions={"z1": "r1"},
            entry=HostedEntry(
                f"127.0.0.1:{find_free_port()}", f"127.0.0.1:{find_free_port()}", threads=threads
            ),
            bounds=HostedBounds(version_ms=version_ms, grace_s=3.0),
        )
        try:
            return settings, build_hosted_entry(settings, Metrics("edge-1"))
        except (OSError, SettingsError):
            # Another test has taken a port since it was found free.
            continue


def run_in_background(function) -> threading.Thread:
    """Start a function in a new thread and return the thread."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread
