"""The commands `entry` and `agent`: run a process until a signal, then drain and stop it."""

from __future__ import annotations

from pathlib import Path

from hibiscustray.commands.signals import SignalWaiter
from hibiscustray.composition import build_agent, build_entry
from hibiscustray.settings import Settings, load_settings
from hibiscustray.telemetry import configure_logs


def run_entry(path: Path) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    settings = _load_settings(path, "entry")
    _run_until_signal(build_entry(settings), settings)


def run_agent(path: Path) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    settings = _load_settings(path, "agent")
    _run_until_signal(build_agent(settings), settings)


def wait_for_signal(timeout_s: float | None = None) -> None:
    """Block until SIGTERM, SIGINT or a timeout; None waits without a timeout."""
    signals = SignalWaiter()
    try:
        signals.wait(timeout_s)
    finally:
        signals.close()


def _load_settings(path: Path, role: str) -> Settings:
    """Load the settings of a process and configure its log."""
    settings = load_settings(path, role)
    configure_logs(settings.process.id, settings.process.log_level)
    return settings


def _run_until_signal(process, settings: Settings) -> None:
    process.start()
    wait_for_signal()
    process.drain(settings.limits.longest_deadline_s)
    process.stop()
