"""The composition root: builds the components of each process from its settings."""

from hibiscustray.composition.hosted import build_hosted_agent, build_hosted_entry
from hibiscustray.composition.standalone import (
    NO_WRAPPERS,
    LinkWrappers,
    SharedComponents,
    build_agent,
    build_entry,
    build_operator,
    build_status_reader,
)

__all__ = [
    "NO_WRAPPERS",
    "SharedComponents",
    "LinkWrappers",
    "build_agent",
    "build_entry",
    "build_hosted_agent",
    "build_hosted_entry",
    "build_operator",
    "build_status_reader",
]
