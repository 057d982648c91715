"""A store, its links and a process that follows it, in simulated time."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from hibiscustray.catalog import CatalogHolder, TargetVersions, WeightsVersion
from hibiscustray.exceptions import HistoryLost, StoreUnavailable
from hibiscustray.feeds import (
    FeedFollower,
    FeedPage,
    OperatorListener,
    RelayState,
    RelayWriter,
    RelayWriterTuning,
    TargetVersionSet,
)
from hibiscustray.telemetry import Metrics

MODEL = "m"
WAIT_S, CALL_S = 1.5, 2.5
CONNECT_S, SEND_S, LINK_S, STEP_S = 0.004, 0.001, 0.002, 0.001
CLOCK_AHEAD_S = 5000.0
SEED = 54
"""Seed of pauses and intervals."""
RANDOM_MODULES = ("hibiscustray.feeds.follower", "hibiscustray.feeds.relay")
MODULES = (
    "hibiscustray.feeds.follower",
    "hibiscustray.feeds.relay",
    "hibiscustray.catalog.versions",
)


@dataclass(frozen=True)
class Span:
    """A span of simulated time in seconds."""

    begin: float
    end: float

    def __contains__(self, at: float) -> bool:
        return self.begin <= at < self.end


@dataclass(frozen=True)
class Call:
    """A call for changes of the operator's table, with times in seconds."""

    called_at: float
    sent_at: float
    responded_at: float
    read_at: float
    versions: tuple[int, ...]
    wait_s: float


@dataclass
class World:
    """What happens at which simulated time in seconds, and what the process did.

    A row of `versions` is the time at which a version is set, the version, and the time at which
    it is in the relay. `call_delays` and `response_delays` hold the seconds for which what is sent
    within a span is late. Connections that are open at a time of `silences` are lost, and of
    `failures` the next calls, of the given number. Within `outages` the store rejects each call. It
    has no history of before a time of `history_losses`, and has come back with the versions of
    `restored` at `restored_at`.
    """

    versions: list[tuple[float, int, float]] = field(default_factory=list)
    pauses: list[Span] = field(default_factory=list)
    call_delays: list[tuple[Span, float]] = field(default_factory=list)
    response_delays: list[tuple[Span, float]] = field(default_factory=list)
    clock_jumps: list[tuple[float, float]] = field(default_factory=list)
    silences: list[float] = field(default_factory=list)
    failures: list[tuple[float, int]] = field(default_factory=list)
    outages: list[Span] = field(default_factory=list)
    history_losses: list[float] = field(default_factory=list)
    restored_at: float = float("inf")
    restored: list[tuple[float, int, float]] = field(default_factory=list)
    ends_at: float = 12.0
    now: float = 0.0
    calls: list[Call] = field(default_factory=list)

    def read_clock(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.advance_to(self.now + seconds)

    def advance_to(self, at: float) -> None:
        self.now = max([self.now, at, *(p.end for p in self.pauses if at in p)])

    def read_store_clock(self, at: float) -> float:
        return CLOCK_AHEAD_S + at + sum(jump_s for since, jump_s in self.clock_jumps if at >= since)

    def list_versions(self, at: float, since: float) -> list[tuple[float, int, float]]:
        """Return what the store has at a time, of what it got after another time."""
        versions = self.versions if at < self.restored_at else self.restored
        return [v for v in versions if since < v[0] <= at]


class _Events:
    """Stands in for the event by which a follower is stopped."""

    def __init__(self, world: World) -> None:
        self._world = world

    def is_set(self) -> bool:
        return self._world.now >= self._world.ends_at

    def wait(self, seconds: float) -> bool:
        self._world.advance(seconds + STEP_S)
        return self.is_set()


class SimulatedTable:
    """The operator's table, or the relay with the versions that it has by then.

    A revision is the time in microseconds up to which changes are known.
    """

    name = "op"

    def __init__(self, world: World, is_relay: bool = False) -> None:
        self._world = world
        self._is_relay = is_relay

    def read(self) -> FeedPage:
        return self._call(None, 0.0)

    def follow(self, revision: int, wait_s: float) -> FeedPage:
        return self._call(revision * 1e-6, wait_s)

    def read_copy(self) -> None:
        return None

    def limit_calls(self, call_s: float) -> None:
        return None

    def _call(self, since: float | None, wait_s: float) -> FeedPage:
        world, called_at = self._world, self._world.now
        world.advance(CONNECT_S)
        sent_at = world.now
        world.advance(SEND_S)
        known_sent_at = world.now
        received_at = sent_at + LINK_S + _find_delay(world.call_delays, sent_at)
        responded_at, rows = self._find_response(since, received_at, wait_s)
        self._fail_if_lost(called_at, sent_at, received_at, responded_at)
        if since is not None and any(since < at <= received_at for at in world.history_losses):
            world.advance_to(received_at + LINK_S)
            raise HistoryLost("gone")
        world.advance_to(responded_at + LINK_S + _find_delay(world.response_delays, responded_at))
        versions = tuple(version for _, version, _ in rows)
        if not self._is_relay:
            times = (called_at, sent_at, responded_at, world.now)
            world.calls.append(Call(*times, versions, wait_s))
        changes = tuple(TargetVersionSet(WeightsVersion(MODEL, v)) for v in versions)
        era = int(responded_at >= world.restored_at)
        store_time_s = world.read_store_clock(responded_at)
        return FeedPage(
            changes, int(responded_at * 1e6) + 1, world.now, 0, store_time_s, known_sent_at, era
        )

    def _find_response(self, since: float | None, received_at: float, wait_s: float):
        """Return when the store responds to a call, and with which versions."""
        ends_at = received_at + wait_s
        moments = [v[0] for v in (*self._world.versions, *self._world.restored)]
        moments += [v[2] for v in self._world.versions] if self._is_relay else []
        for at in sorted({received_at, *(m for m in moments if received_at < m <= ends_at)}):
            rows = self._list_rows(since, at)
            if rows:
                return at, rows
        return ends_at, []

    def _list_rows(self, since: float | None, at: float) -> list[tuple[float, int, float]]:
        since = float("-inf") if since is None else since
        if not self._is_relay:
            return self._world.list_versions(at, since)
        return [v for v in self._world.list_versions(at, float("-inf")) if since < v[2] <= at]

    def _fail_if_lost(
        self, called_at: float, sent_at: float, received_at: float, responded_at: float
    ) -> None:
        world = self._world
        for outage in world.outages:
            rejected_at = max(outage.begin, received_at)
            if rejected_at in outage and rejected_at <= responded_at:
                world.advance_to(rejected_at + LINK_S)
                raise StoreUnavailable("503")
        for number, (at, count) in enumerate(world.failures):
            if count and at < responded_at:
                world.failures[number] = (at, count - 1)
                world.advance_to(max(at, received_at) + LINK_S)
                raise StoreUnavailable("reset")
        if any(called_at <= at < responded_at for at in world.silences):
            world.advance_to(sent_at + CALL_S)
            raise StoreUnavailable("no response in time")


class SimulatedRelay:
    """The relay as a writer sees it: each call takes some time, and others have written before."""

    def __init__(self, world: World) -> None:
        self._world = world

    def read_state(self) -> RelayState:
        self._world.advance(0.01)
        return RelayState((), self._world.read_store_clock(self._world.now))

    def write_copy(self) -> None:
        self._world.advance(0.01)

    def write_announcements(self, announcements) -> tuple:
        self._world.advance(0.01)
        return ()


def _find_delay(delays: Iterable[tuple[Span, float]], at: float) -> float:
    return sum(delay_s for span, delay_s in delays if at in span)


def run_follower(world: World, monkeypatch, make: Callable[..., FeedFollower]) -> TargetVersions:
    """Run a follower until the end of the simulated time; return the versions that it learnt."""
    for module in MODULES:
        monkeypatch.setattr(f"{module}.read_clock", world.read_clock)
    for module in RANDOM_MODULES:
        monkeypatch.setattr(f"{module}.random", random.Random(SEED))
    versions = TargetVersions()
    follower = make(world, OperatorListener(CatalogHolder(), versions))
    follower._stopping = _Events(world)
    follower._run()
    return versions


def make_near_writer(world: World, listener) -> RelayWriter:
    """Return a follower of an entry near the store."""
    tuning = RelayWriterTuning(large_b=1000, near_mbit_s=1.0, check_interval_s=1.8)
    table, relayed = SimulatedTable(world), SimulatedTable(world, is_relay=True)
    metrics = Metrics("test")
    return RelayWriter(table, listener, WAIT_S, metrics, SimulatedRelay(world), relayed, tuning)


def make_far_writer(world: World, listener) -> RelayWriter:
    """Return a follower of an entry far from the store."""
    writer = make_near_writer(world, listener)
    writer._is_far = True
    return writer


def find_set_at(versions: TargetVersions, version: int) -> float:
    """Return the time from which a version counts as set."""
    return dict(versions._target_versions[MODEL])[version]
