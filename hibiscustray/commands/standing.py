"""Running one stand-in as a process of its own until a signal."""

from __future__ import annotations

from pathlib import Path

from hibiscustray.commands.serving import wait_for_signal
from hibiscustray.settings import (
    load_engine_standin,
    load_platform_standin,
    load_service_standin,
)
from hibiscustray.standins import EngineStandIn, PlatformStandIn, ServiceStandIn
from hibiscustray.telemetry import configure_logs
from hibiscustray.web import make_client_context

MS_PER_S = 1000.0


def run_platform(path: Path) -> None:
    """Run the platform's stand-in with the files and VMs that its settings list."""
    settings = load_platform_standin(path)
    files = {file.path: path.parent / file.file for file in settings.files}
    listen = settings.platform
    platform = PlatformStandIn(
        listen.address, listen.port, listen.origin_port, listen.origin_mbit_s, files
    )
    for machine in settings.machines:
        platform.add_machine(machine.name, machine.availability_zone, machine.peer_address)
    _run(platform, "platform")


def run_engine(path: Path) -> None:
    """Run an engine's stand-in."""
    settings = load_engine_standin(path)
    engine = EngineStandIn(
        settings.address,
        settings.port,
        settings.step_ms / MS_PER_S,
        settings.max_batch,
        settings.checks_fencing,
        make_client_context(settings.http_authority),
    )
    _run(engine, "engine")


def run_service(path: Path) -> None:
    """Run a plain service's stand-in."""
    settings = load_service_standin(path)
    _run(ServiceStandIn(settings.address, settings.port, settings.delay_ms / MS_PER_S), "service")


def _run(standin: PlatformStandIn | EngineStandIn | ServiceStandIn, name: str) -> None:
    configure_logs(name)
    standin.start()
    wait_for_signal()
    standin.stop()
