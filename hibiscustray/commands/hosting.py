"""The commands `host`: run an entry or agent that a platform hosts, until a signal."""

from __future__ import annotations

import dataclasses
import logging
import signal
import threading
from pathlib import Path
from typing import Literal

from hibiscustray.clock import read_clock
from hibiscustray.composition import build_hosted_agent, build_hosted_entry
from hibiscustray.exceptions import SettingsError
from hibiscustray.platform import SETTINGS_VARIABLE
from hibiscustray.settings import HostedSettings, find_settings_path, load_hosted_settings
from hibiscustray.telemetry import Metrics, configure_hosted_logs

log = logging.getLogger(__name__)

RELOAD_INTERVAL_S = 1.0
"""Interval at which the settings file is read again, as it may change without a SIGHUP."""

Role = Literal["entry", "agent"]


def run_hosted_entry(path: Path | None) -> None:
    """Run a hosted entry until SIGTERM or SIGINT."""
    _run_until_signal(path, "entry", build_hosted_entry)


def run_hosted_agent(path: Path | None) -> None:
    """Run a hosted agent until SIGTERM or SIGINT."""
    _run_until_signal(path, "agent", build_hosted_agent)


class _Signals:
    """The signals of a hosted process: SIGTERM and SIGINT to stop, SIGHUP to reload the settings.

    Those that come while the process starts take effect once it has started. The grace period
    begins with the first SIGTERM or SIGINT; another one does not change it.
    """

    def __init__(self) -> None:
        self._stop_requested_at: float | None = None
        self._wake_up = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, lambda *_: self._wake_up.set())

    @property
    def is_stop_requested(self) -> bool:
        """Return whether the process has to stop."""
        return self._stop_requested_at is not None

    def find_time_left(self, grace_s: float) -> float:
        """Return the rest of a grace period that began with the request to stop, in seconds."""
        assert self._stop_requested_at is not None
        return max(0.0, grace_s - (read_clock() - self._stop_requested_at))

    def wait(self, timeout_s: float) -> None:
        """Wait for a signal, also for one that came since the last call."""
        self._wake_up.wait(timeout_s)
        self._wake_up.clear()

    def _stop(self, *_: object) -> None:
        if self._stop_requested_at is None:
            self._stop_requested_at = read_clock()
        self._wake_up.set()


def _run_until_signal(path: Path | None, role: Role, build) -> None:
    signals = _Signals()
    path = path or find_settings_path(SETTINGS_VARIABLE)
    settings = load_hosted_settings(path, role)
    identity = settings.process
    metrics = Metrics(identity.id)
    log_listener = configure_hosted_logs(
        identity.id,
        identity.log_level,
        on_dropped=lambda: metrics.count("log_lines_dropped_total"),
    )
    try:
        process = build(settings, metrics)
        if signals.is_stop_requested:
            return
        process.start()
        settings = _reload_until_stopped(path, role, settings, process, signals)
        is_drained = process.drain(signals.find_time_left(settings.bounds.grace_s))
        log.info("process stopping", extra={"is_drained": is_drained})
        process.stop()
    finally:
        log_listener.stop()


def _reload_until_stopped(
    path: Path, role: Role, settings: HostedSettings, process, signals: _Signals
) -> HostedSettings:
    """Reload the settings at each interval, and at once on SIGHUP, until SIGTERM or SIGINT.

    Returns the settings at that time.
    """
    while True:
        signals.wait(RELOAD_INTERVAL_S)
        # The settings at the stop are read after the signal.
        is_last = signals.is_stop_requested
        settings = _reload_settings(path, role, settings, process)
        if is_last:
            return settings


def _reload_settings(path: Path, role: Role, active: HostedSettings, process) -> HostedSettings:
    """Return the active settings; an invalid file is logged and changes nothing."""
    try:
        loaded = load_hosted_settings(path, role)
    except SettingsError as error:
        log.error("settings reload failed", extra={"problems": list(error.problems)})
        return active
    if loaded == active:
        return active
    changed_sections = [
        field.name
        for field in dataclasses.fields(loaded)
        if getattr(loaded, field.name) != getattr(active, field.name)
    ]
    process.reload(loaded)
    log.info("settings reloaded", extra={"sections": changed_sections})
    return loaded
