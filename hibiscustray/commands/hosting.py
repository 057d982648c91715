"""Running an entry or agent that a platform hosts, until a signal."""

from __future__ import annotations

import dataclasses
import logging
import signal
import threading
from pathlib import Path
from typing import Literal

from hibiscustray.composition import build_hosted_agent, build_hosted_entry
from hibiscustray.exceptions import SettingsError
from hibiscustray.platform import find_settings_path
from hibiscustray.settings import HostedSettings, load_hosted_settings
from hibiscustray.telemetry import Metrics, configure_hosted_logs

log = logging.getLogger(__name__)

SETTINGS_INTERVAL_S = 1.0
"""Interval at which the settings file is read again; it may change without a signal."""

Role = Literal["entry", "agent"]


def run_hosted_entry(path: Path | None) -> None:
    """Run a hosted entry until SIGTERM or SIGINT."""
    _run(path, "entry", build_hosted_entry)


def run_hosted_agent(path: Path | None) -> None:
    """Run a hosted agent until SIGTERM or SIGINT."""
    _run(path, "agent", build_hosted_agent)


def _run(path: Path | None, role: Role, build) -> None:
    path = path or find_settings_path()
    settings = load_hosted_settings(path, role)
    identity = settings.process
    metrics = Metrics(identity.id)
    lines = configure_hosted_logs(
        identity.id,
        identity.log_level,
        on_dropped=lambda: metrics.count("log_lines_dropped_total"),
    )
    try:
        process = build(settings, metrics)
        process.start()
        _follow_settings(path, role, settings, process)
        is_drained = process.drain(settings.bounds.grace_s)
        log.info("process stopping", extra={"is_drained": is_drained})
        process.stop()
    finally:
        lines.stop()


def _follow_settings(path: Path, role: Role, settings: HostedSettings, process) -> None:
    """Wait for a stop, taking in changed settings at once after SIGHUP, else soon."""
    stopping, waking = threading.Event(), threading.Event()

    def stop(*_: object) -> None:
        stopping.set()
        waking.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    signal.signal(signal.SIGHUP, lambda *_: waking.set())
    while not stopping.is_set():
        waking.wait(SETTINGS_INTERVAL_S)
        waking.clear()
        settings = _reload(path, role, settings, process)


def _reload(path: Path, role: Role, known: HostedSettings, process) -> HostedSettings:
    """Return the settings in force; a file that cannot be used leaves the known ones."""
    try:
        found = load_hosted_settings(path, role)
    except SettingsError as error:
        log.error("settings not taken on", extra={"problems": list(error.problems)})
        return known
    if found == known:
        return known
    changed = [
        field.name
        for field in dataclasses.fields(found)
        if getattr(found, field.name) != getattr(known, field.name)
    ]
    process.reload(found)
    log.info("settings taken on", extra={"sections": changed})
    return found
