"""Service levels: counters at the entries, samples in the table, and the burn-rate report."""

from hibiscustray.reports.burn import BurnReport, make_burn_report
from hibiscustray.reports.recorder import ServiceLevelEvent, ServiceLevelRecorder
from hibiscustray.reports.samples import Sample, Sampler, SampleStore
from hibiscustray.reports.series import Series, parse_exposition

__all__ = [
    "BurnReport",
    "Sample",
    "SampleStore",
    "Sampler",
    "Series",
    "ServiceLevelEvent",
    "ServiceLevelRecorder",
    "make_burn_report",
    "parse_exposition",
]
