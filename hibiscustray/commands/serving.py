"""Running an entry, an agent or a stand-in until a signal, then a planned stop."""

from __future__ import annotations

import signal
import threading
from pathlib import Path

from hibiscustray.composition import build_agent, build_entry
from hibiscustray.settings import Settings, load_settings
from hibiscustray.telemetry import configure_logs


def run_entry(path: Path) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    settings = _prepare(path, "entry")
    _run_until_signal(build_entry(settings), settings)


def run_agent(path: Path) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    settings = _prepare(path, "agent")
    _run_until_signal(build_agent(settings), settings)


def wait_for_signal(longest_s: float | None = None) -> None:
    """Block until SIGTERM or SIGINT, or until the longest time has passed."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait(longest_s)


def _prepare(path: Path, role: str) -> Settings:
    settings = load_settings(path, role)
    configure_logs(settings.process.id, settings.process.log_level)
    return settings


def _run_until_signal(process, settings: Settings) -> None:
    process.start()
    wait_for_signal()
    process.drain(settings.limits.longest_deadline_s)
    process.stop()
