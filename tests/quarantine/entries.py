"""Quarantines of several entries that exchange reports over a fake clock, without a network."""

from __future__ import annotations

from hibiscustray.quarantine import PartQuarantine, decode_report, encode_report
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
