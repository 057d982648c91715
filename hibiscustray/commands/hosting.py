"""The commands `host`: run an entry or agent that a platform hosts, until a signal."""

from __future__ import annotations

import dataclasses
import logging
import signal
from pathlib import Path
from typing import Literal

from hibiscustray.commands.signals import SignalWaiter
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


def _run_until_signal(path: Path | None, role: Role, build) -> None:
    # Signals that come while the process starts take effect once it has started.
    signals = SignalWaiter([signal.SIGHUP])
    try:
        _run(path, role, build, signals)
    finally:
        signals.close()


def _run(path: Path | None, role: Role, build, signals: SignalWaiter) -> None:
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
    path: Path, role: Role, settings: HostedSettings, process, signals: SignalWaiter
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
