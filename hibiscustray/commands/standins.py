"""The commands `standin`: build a stand-in from a settings file and run it until a signal."""

from __future__ import annotations

from pathlib import Path

from hibiscustray.commands.serving import wait_for_signal
from hibiscustray.settings import (
    load_engine_standin,
    load_platform_standin,
    load_service_standin,
)
from hibiscustray.standins import EngineStandIn, PlatformStandIn, ServiceStandIn
from hibiscustray.standins.batching import EngineTuning
from hibiscustray.telemetry import configure_logs
from hibiscustray.web import make_client_context

MS_PER_S = 1000.0

StandIn = PlatformStandIn | EngineStandIn | ServiceStandIn


def build_platform(path: Path) -> PlatformStandIn:
    """Build the platform's stand-in with the files and VMs listed in its settings."""
    settings = load_platform_standin(path)
    files = {file.path: path.parent / file.file for file in settings.files}
    options = settings.platform
    platform = PlatformStandIn(
        options.address, options.port, options.origin_port, options.origin_mbit_s, files
    )
    for vm in settings.machines:
        platform.add_vm(vm.name, vm.availability_zone, vm.peer_address)
    return platform


def build_engine(path: Path) -> EngineStandIn:
    """Build a stand-in for an engine from its settings."""
    settings = load_engine_standin(path)
    return EngineStandIn(
        settings.address,
        settings.port,
        EngineTuning(step_s=settings.step_ms / MS_PER_S, max_batch=settings.max_batch),
        checks_fencing=settings.checks_fencing,
        context=make_client_context(settings.http_authority),
    )


def build_service(path: Path) -> ServiceStandIn:
    """Build a stand-in for a plain service from its settings."""
    settings = load_service_standin(path)
    return ServiceStandIn(settings.address, settings.port, delay_s=settings.delay_ms / MS_PER_S)


def run_standin(standin: StandIn, name: str) -> None:
    """Run a stand-in until a signal; `name` is its process id in the log."""
    configure_logs(name)
    standin.start()
    wait_for_signal()
    standin.stop()
