"""The entry process: accepts callers' HTTP requests and sends attempts to agents."""

from hibiscustray.entry.application import EntryApplication
from hibiscustray.entry.attempt import AttemptRunner
from hibiscustray.entry.dispatch import Dispatcher
from hibiscustray.entry.process import EntryProcess
from hibiscustray.entry.tickets import TicketClient

__all__ = ["AttemptRunner", "Dispatcher", "EntryApplication", "EntryProcess", "TicketClient"]
