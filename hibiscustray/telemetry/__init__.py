"""Logging and metrics of a process."""

from hibiscustray.telemetry.logs import configure_hosted_logs, configure_logs
from hibiscustray.telemetry.metrics import Metrics
from hibiscustray.telemetry.pauses import PauseDetector

__all__ = ["Metrics", "PauseDetector", "configure_hosted_logs", "configure_logs"]
