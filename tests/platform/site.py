"""A hosted entry in front of stand-ins, and callers that read raw answers."""

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
from hibiscustray.soak.programs import find_port
from hibiscustray.telemetry import Metrics
from tests.waiting import wait_until

CALL_TIMEOUT_S = 5.0


@dataclass
class HostedSite:
    """A store, replicas and one entry."""

    store: StoreStandIn
    settings: HostedSettings
    process: object
    replicas: list[ReplicaStandIn] = field(default_factory=list)

    def add_replica(self, service: str, script: Script, **entry) -> ReplicaStandIn:
        """List a replica and wait until the entry knows it."""
        replica = ReplicaStandIn(f"i-{len(self.replicas)}", service, script)
        self.replicas.append(replica)
        self.store.put("servers", replica.id, replica.make_row(**entry))
        wait_until(lambda: self.process._directory.get(replica.id) is not None)
        return replica

    def list_again(self, replica: ReplicaStandIn, **entry) -> None:
        """Change a replica's entry and wait until the entry has taken it in."""
        self.store.put("servers", replica.id, replica.make_row(**entry))
        time.sleep(0.2)

    def configure(self, version: int, **changes) -> None:
        """Put a configuration in force."""
        self.store.put("op", "config", make_configuration(version, **changes))
        wait_until(lambda: self.process._catalogs.current.revision >= version)

    def connect(self) -> http.client.HTTPConnection:
        """Open a connection for callers."""
        host, _, port = self.settings.entry.callers.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)

    def open_socket(self) -> socket.socket:
        """Open a connection for raw bytes."""
        host, _, port = self.settings.entry.callers.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=CALL_TIMEOUT_S)

    def call(self, method: str, path: str, body: bytes | None = None, **headers: str):
        """Send one request; return the response and its body."""
        connection = self.connect()
        response = self.send(connection, method, path, body, **headers)
        data = response.read()
        connection.close()
        return response, data

    def send(self, connection, method: str, path: str, body: bytes | None = None, **headers: str):
        """Send one request on a connection; return the response unread."""
        fields = {
            "Host": HOST,
            ATTEMPT_ID: uuid.uuid4().hex,
            "X-Hibiscustray-Deadline-Ms": "2500",
            "Authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, fields)
        return connection.getresponse()

    def draft(self, **headers: str):
        """Send a request for a stream; return the response and its body."""
        return self.call("POST", "/draft/1", b"p" * 50, **MODEL_HEADERS, **headers)

    def read_ready(self) -> int:
        """Return the status of the readiness answer."""
        host, _, port = self.settings.entry.readiness.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        connection.request("GET", "/v1/ready")
        status = connection.getresponse().status
        connection.close()
        return status


@contextmanager
def run_hosted_site(configured: bool = True) -> Iterator[HostedSite]:
    """Run an entry over an empty list of replicas."""
    store = StoreStandIn()
    if configured:
        store.put("op", "config", make_configuration())
    settings = HostedSettings(
        process=HostedProcess("edge-1", "z1", "r1", "127.0.0.1", 0, 0),
        store=HostedStore(store.address, wait_s=1.0),
        regions={"z1": "r1"},
        entry=HostedEntry(f"127.0.0.1:{find_port()}", f"127.0.0.1:{find_port()}", threads=16),
        bounds=HostedBounds(version_ms=1000.0, grace_s=3.0),
    )
    process = build_hosted_entry(settings, Metrics("edge-1"))
    process.start()
    site = HostedSite(store, settings, process)
    try:
        if configured:
            wait_until(lambda: site.read_ready() == 200)
        yield site
    finally:
        process.stop()
        store.close()
        for replica in site.replicas:
            replica.close()


def run_in_background(function) -> threading.Thread:
    """Run a function on a thread of its own."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread
