"""Refuses requests with parts of prompts under which replicas end, agreed among all entries."""

from hibiscustray.quarantine.evidence import LostPart, find_harmful_parts
from hibiscustray.quarantine.publisher import ReportPublisher, ReportWriter
from hibiscustray.quarantine.quarantine import PartQuarantine
from hibiscustray.quarantine.report import EntryReport, decode_report, encode_report

__all__ = [
    "EntryReport",
    "LostPart",
    "PartQuarantine",
    "ReportPublisher",
    "ReportWriter",
    "decode_report",
    "encode_report",
    "find_harmful_parts",
]
