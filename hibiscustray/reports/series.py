"""Parses service-level metrics from the Prometheus text format."""

from __future__ import annotations

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from hibiscustray.exceptions import MetricsUnreadable

PREFIX = "hibiscustray_"
PROCESS_LABEL = "process"
SERVICE_LEVEL_NAMES = (
    "requests_total",
    "failures_total",
    "service_level_events_total",
    "first_payload_seconds_bucket",
    "answer_seconds_bucket",
)


class Series(msgspec.Struct, frozen=True):
    """One labelled value of a metric, without the name's prefix and the process label."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float

    def get_label(self, name: str) -> str:
        """Return the value of a label, empty if it is absent."""
        return dict(self.labels).get(name, "")


def parse_exposition(text: str) -> tuple[Series, ...]:
    """Return the service-level series in an exposition text; raise `MetricsUnreadable`."""
    try:
        families = list(text_string_to_metric_families(text))
    except (ValueError, KeyError, IndexError) as error:
        raise MetricsUnreadable(str(error)) from error
    return tuple(
        _make_series(sample)
        for family in families
        for sample in family.samples
        if sample.name.removeprefix(PREFIX) in SERVICE_LEVEL_NAMES
    )


def _make_series(sample) -> Series:
    labels = tuple(sorted(item for item in sample.labels.items() if item[0] != PROCESS_LABEL))
    return Series(sample.name.removeprefix(PREFIX), labels, float(sample.value))
