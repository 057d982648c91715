"""Logging and metrics of a process."""

from hibiscustray.telemetry.logs import configure_hosted_logs, configure_logs
from hibiscustray.telemetry.metrics import Metrics

__all__ = ["Metrics", "configure_hosted_logs", "configure_logs"]
