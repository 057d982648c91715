"""Refuses requests under which, or under parts of which, replicas end; all entries agree."""

from hibiscustray.quarantine.evidence import (
    REQUEST_PREFIX,
    LostPart,
    find_harmful_parts,
    is_request,
)
from hibiscustray.quarantine.publisher import ReportPublisher, ReportWriter
from hibiscustray.quarantine.quarantine import PartQuarantine
from hibiscustray.quarantine.report import (
    EntryReport,
    StoredBlock,
    decode_block,
    decode_report,
    encode_block,
    encode_report,
)

__all__ = [
    "REQUEST_PREFIX",
    "EntryReport",
    "LostPart",
    "PartQuarantine",
    "ReportPublisher",
    "ReportWriter",
    "StoredBlock",
    "decode_block",
    "decode_report",
    "encode_block",
    "encode_report",
    "find_harmful_parts",
    "is_request",
]
