"""Quarantines of several entries that exchange reports over a fake clock, without a network."""

from __future__ import annotations

from hibiscustray.exceptions import StoreUnavailable
from hibiscustray.feeds import EntryListener, decode_entry_row
from hibiscustray.membership.roster import EntryRoster
from hibiscustray.quarantine import (
    PartQuarantine,
    ReportPublisher,
    decode_block,
    decode_report,
    encode_block,
    encode_report,
)
from hibiscustray.telemetry import Metrics

REPORT_DELAY_S = 0.4


class Entries:
    """Entries whose reports reach the others with `exchange`; `cut` ones neither read nor write."""

    def __init__(self, count: int = 3) -> None:
        self.now = 1000.0
        self.cut: set[str] = set()
        self.rows: dict[str, tuple[bytes, float]] = {}
        self.quarantines: dict[str, PartQuarantine] = {}
        for number in range(count):
            self.start(f"e{number}")

    def __getitem__(self, number: int) -> PartQuarantine:
        return self.quarantines[f"e{number}"]

    def start(self, name: str) -> PartQuarantine:
        """Start an entry, which reads the table once."""
        quarantine = PartQuarantine(name, Metrics(name), clock=lambda: self.now)
        self.quarantines[name] = quarantine
        for writer, (row, _) in self.rows.items():
            if writer == name:
                quarantine.continue_blocks(decode_report(row), self.now)
            else:
                quarantine.record_report(writer, decode_report(row), self.now)
        return quarantine

    def exchange(self, seconds: float = 1.0) -> None:
        """Let time pass, in which entries decide, write their rows and read the others'."""
        for _ in range(max(1, round(seconds / 0.1))):
            self.now += 0.1
            for name, quarantine in self.quarantines.items():
                quarantine.update()
                if name not in self.cut:
                    self._write(name, quarantine)

    def lose(
        self, replica: str, *requests: tuple[int, tuple[str, ...]], held_s: float = 0.2
    ) -> None:
        """End a replica under requests, each of them (entry, parts) and sent `held_s` before."""
        for entry, parts in requests:
            self[entry].record_loss(replica, parts, self.now - held_s)

    def is_blocked(self, *parts: str) -> list[bool]:
        """Return for each entry whether a new request with these parts is refused."""
        request_id = f"request-{self.now}"
        return [q.find_refusal(parts, request_id) is not None for q in self.quarantines.values()]

    def _write(self, name: str, quarantine: PartQuarantine) -> None:
        row = encode_report(quarantine.make_report())
        self.rows[name] = (row, self.now)
        for other, reader in self.quarantines.items():
            if other != name and other not in self.cut:
                reader.record_report(name, decode_report(row), self.now)


def end_replicas(entries: Entries, count: int, *parts: str, interval_s: float = 0.5) -> None:
    """End replicas one after the other, each under a request at the next entry."""
    for number in range(count):
        name = f"replica-{parts[-1]}-{number}/{entries.now}"
        entries.lose(name, (number % len(entries.quarantines), parts))
        entries.exchange(interval_s)


class SharedTable:
    """A table whose rows all entries follow without delay, for publishers that run by steps.

    Entries in `cut` cannot write and are told nothing until `reconnect`.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.cut: set[str] = set()
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.members: dict[str, Member] = {}
        self.writes = 0
        self._revision = 0

    def start(self, name: str) -> Member:
        """Start an entry, which reads the table if it can."""
        member = Member(self, name)
        self.members[name] = member
        if name not in self.cut:
            member.read_all()
        return member

    def kill(self, name: str) -> None:
        """End an entry, which writes nothing any more."""
        del self.members[name]

    def stop(self, *names: str) -> None:
        """Stop entries cleanly, all at once."""
        stopped = [self.members.pop(name) for name in names]
        for member in stopped:
            member.publisher._conclude(member.name)

    def exchange(self, seconds: float = 1.0, step_s: float = 0.1) -> None:
        """Let time pass, in which publishers decide and write."""
        for _ in range(max(1, round(seconds / step_s))):
            self.now += step_s
            for member in list(self.members.values()):
                member.publisher._step()

    def reconnect(self, name: str) -> None:
        """End a cut; the entry reads the whole table."""
        self.cut.discard(name)
        self.members[name].read_all()

    def put(self, key: str, value: bytes, revision: int | None = None) -> None:
        """Write or remove a row, if it has a revision, and tell all entries."""
        if revision is not None and self.rows.get(key, (b"", 0))[1] != revision:
            return
        self._revision += 1
        self.writes += 1
        self.rows.pop(key, None)
        if value:
            self.rows[key] = (value, self._revision)
        for member in list(self.members.values()):
            if member.name not in self.cut:
                member.read(key, value or None)

    def is_refused(self, *parts: str) -> list[bool]:
        """Return for each entry whether a fresh request with these parts is refused."""
        return [not member.send(*parts) for member in self.members.values()]


class Member:
    """An entry on a shared table."""

    def __init__(self, table: SharedTable, name: str) -> None:
        self.name = name
        self.table = table
        clock = lambda: table.now  # noqa: E731
        self.quarantine = PartQuarantine(name, Metrics(name), clock=clock)
        self.counts: list[int] = []
        self.roster = EntryRoster(name, self.counts.append, clock)
        self.listener = EntryListener(self.quarantine, self.roster, name, clock)
        self.publisher = ReportPublisher(name, self.quarantine, self.roster, self, clock)
        self._requests = 0

    def read_all(self) -> None:
        """Read the whole table."""
        changes = tuple(decode_entry_row(key, row) for key, (row, _) in self.table.rows.items())
        self.listener.replace(changes, self.table.now)

    def read(self, key: str, value: bytes | None) -> None:
        """Read the change of one row."""
        self.listener.apply(decode_entry_row(key, value), self.table.now)

    def send(self, *parts: str) -> bool:
        """Return whether a fresh request with these parts is sent to a replica."""
        self._requests += 1
        request_id = f"{self.name}-{self._requests}"
        is_placed = self.quarantine.find_refusal(parts, request_id) is None
        return is_placed and self.quarantine.use_trial(parts)

    def lose(self, replica: str, *parts: str, held_s: float = 0.1) -> None:
        """Lose a request at a replica."""
        self.quarantine.record_loss(replica, parts, self.table.now - held_s)

    def write_report(self, entry_id: str, report) -> None:
        """Write a row, as the store does."""
        self._check()
        self.table.put(entry_id, encode_report(report))

    def remove_report(self, entry_id: str) -> None:
        """Remove a row."""
        self._check()
        self.table.put(entry_id, b"")

    def read_block(self, request: str):
        """Return the row of a blocked request and its revision."""
        self._check()
        row, revision = self.table.rows.get(request, (b"", 0))
        return (decode_block(row), revision) if row else (None, 0)

    def write_block(self, request: str, block, revision: int) -> None:
        """Write the row of a blocked request if it has a revision."""
        self._check()
        self.table.put(request, encode_block(block), revision)

    def _check(self) -> None:
        if self.name in self.table.cut:
            raise StoreUnavailable("cut off")
