"""The entry: HTTP towards callers, attempts towards agents."""

from hibiscustray.entry.application import EntryApplication
from hibiscustray.entry.attempt import Attempter
from hibiscustray.entry.dispatch import Dispatcher
from hibiscustray.entry.process import EntryProcess
from hibiscustray.entry.tickets import TicketOffice

__all__ = ["Attempter", "Dispatcher", "EntryApplication", "EntryProcess", "TicketOffice"]
