"""The entry: HTTP towards callers, attempts towards agents."""

from hibiscustray.entry.application import EntryApplication
from hibiscustray.entry.dispatch import Dispatcher
from hibiscustray.entry.process import EntryProcess

__all__ = ["Dispatcher", "EntryApplication", "EntryProcess"]
