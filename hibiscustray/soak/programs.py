"""Entry processes of a soak: started, signalled and stopped through their process ids.

No other part of the project starts processes. The soak does, because the programs under test have
to be isolated from it.
"""

from __future__ import annotations

import contextlib
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from hibiscustray.exceptions import ProgramEnded
from hibiscustray.soak.records import MAX_VERSION_AGE_S

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
PORTS = range(20_000, 32_768)
"""Ports of the entries, below those that Linux gives to outgoing connections and to port 0.

An entry's port is free until it has started and while it is stopped, and must not be given away.
"""
_GIVEN_PORTS: set[int] = set()
STOP_TIMEOUT_S = 12.0
"""Time for an entry to exit after SIGTERM: its grace period of 8 s plus 4 s for a busy machine."""

SETTINGS = """\
[process]
id = {id}
availability_zone = z1
region = r1
address = 127.0.0.1
peer_port = {peer_port}
metrics_port = {metrics_port}

[entry]
callers = 127.0.0.1:{callers_port}
readiness = 127.0.0.1:{readiness_port}
threads = 32

[store]
address = {store}

[regions]
z1 = r1

[bounds]
version_ms = {version_ms:.0f}
grace_s = 8
"""


class EntryProgram:
    """The process of one entry, which writes its output to a log file."""

    def __init__(self, number: int, store: str, folder: Path) -> None:
        ports = [find_free_port() for _ in range(4)]
        self.id = f"entry-{number}"
        self.callers_address = f"127.0.0.1:{ports[0]}"
        self.readiness_address = f"127.0.0.1:{ports[1]}"
        self._settings = folder / f"{self.id}.ini"
        self._log_path = folder / f"{self.id}.log"
        self._settings.write_text(
            SETTINGS.format(
                id=self.id,
                store=store,
                callers_port=ports[0],
                readiness_port=ports[1],
                peer_port=ports[2],
                metrics_port=ports[3],
                version_ms=MAX_VERSION_AGE_S * MS_PER_S,
            )
        )
        self._process: subprocess.Popen | None = None
        self._is_stopping = False
        self._lock = threading.RLock()

    @property
    def pid(self) -> int | None:
        """Return the id of the running process, None if there is none."""
        process = self._process
        return process.pid if process is not None and process.poll() is None else None

    def start(self) -> None:
        """Start the process unless it is running."""
        with self._lock, self._log_path.open("ab") as output:
            if self._process is not None and self._process.poll() is None:
                return
            self._is_stopping = False
            self._process = subprocess.Popen(
                [sys.executable, "-m", "hibiscustray", "host", "entry"]
                + ["--settings", str(self._settings)],
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            )

    def check_running(self) -> None:
        """Raise `ProgramEnded` if the process has exited without `stop` or `kill`."""
        with self._lock:
            if self._process is None or self._is_stopping or self._process.poll() is None:
                return
            code, self._process = self._process.returncode, None
        raise ProgramEnded(f"{self.id} exited with status {code}")

    def stop(self) -> bool:
        """Send SIGTERM; return whether the process exited in time, otherwise kill it."""
        with self._lock:
            process, self._is_stopping = self._process, True
        if process is None:
            return True
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        with self._lock:
            process, self._is_stopping = self._process, True
        if process is not None:
            process.kill()
            process.wait()

    def pause(self, duration_s: float) -> None:
        """Suspend the process with SIGSTOP for a time."""
        process = self._process
        if process is None:
            return
        # A process that ends while it is suspended cannot be continued.
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            time.sleep(duration_s)
            process.send_signal(signal.SIGCONT)


def find_free_port() -> int:
    """Return a port of the loopback interface on which nothing listens; each only once."""
    while True:
        port = random.choice(PORTS)
        if port in _GIVEN_PORTS:
            continue
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            _GIVEN_PORTS.add(port)
            return port
