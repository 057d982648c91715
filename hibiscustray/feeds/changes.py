"""What a change feed tells, and the interface of its source."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hibiscustray.catalog import Catalog, WeightsVersion
from hibiscustray.replicas import ReplicaRecord


@dataclass(frozen=True)
class CatalogPublished:
    """The operator's configuration changed."""

    catalog: Catalog


@dataclass(frozen=True)
class CatalogAnnounced:
    """A relay has learnt of a configuration, which is to be read from the table itself."""

    revision: int


@dataclass(frozen=True)
class TargetVersionSet:
    """The operator set the target version of a model's weights."""

    target: WeightsVersion


@dataclass(frozen=True)
class ReplicaListed:
    """A replica's entry is new or changed."""

    record: ReplicaRecord


@dataclass(frozen=True)
class ReplicaUnlisted:
    """A replica's entry is gone."""

    replica_id: str


@dataclass(frozen=True)
class RowRejected:
    """An entry could not be understood; it names nothing to use."""

    key: str
    reason: str


Change = (
    CatalogPublished
    | CatalogAnnounced
    | TargetVersionSet
    | ReplicaListed
    | ReplicaUnlisted
    | RowRejected
)


@dataclass(frozen=True)
class FeedPage:
    """Changes in order, and the store's revision that they lead to.

    `answered_at` is the monotonic time in seconds at which the answer began to arrive, `size_b`
    its length in bytes and `store_time_s` the time on the store's own steady clock.
    """

    changes: tuple[Change, ...]
    revision: int
    answered_at: float = 0.0
    size_b: int = 0
    store_time_s: float = 0.0


class FeedSource(Protocol):
    """One table of the platform's store.

    All methods raise `StoreUnavailable`; `follow` raises `HistoryLost` when the changes since the
    revision are no longer known.
    """

    name: str

    def read(self) -> FeedPage:
        """Return the whole table."""
        ...

    def follow(self, revision: int, wait_s: float) -> FeedPage:
        """Return what changed since a revision, waiting up to a time for a first change."""
        ...


class RelaySource(FeedSource, Protocol):
    """A small table of announcements, and the table that they are about."""

    def read_table(self) -> FeedPage:
        """Return the table itself."""
        ...

    def read_small(self) -> FeedPage:
        """Return the small rows of the table itself."""
        ...

    def read_copy(self) -> FeedPage | None:
        """Return the copy of the table, of the revision at which it was made, None if none.

        Raises `RecordInvalid` when the copy cannot be read.
        """
        ...


@dataclass(frozen=True)
class Announcement:
    """A relayed number: the version of a model's weights, or of the configuration for model ""."""

    model: str
    number: int
    row_revision: int = 0


@dataclass(frozen=True)
class RelayState:
    """What has been announced, as of a time on the store's own steady clock in seconds."""

    announcements: tuple[Announcement, ...]
    store_time_s: float


class ChangeRelay(Protocol):
    """Passes on what was read; all methods raise `StoreUnavailable`."""

    def read_state(self) -> RelayState:
        """Return what has been announced."""
        ...

    def write_copy(self) -> None:
        """Store a compressed copy of the table as it was last read."""
        ...

    def write_announcements(
        self, announcements: tuple[Announcement, ...]
    ) -> tuple[Announcement, ...]:
        """Write them all if each is still of its row revision, 0 for none, and return nothing.

        Otherwise return the announcements as others wrote them.
        """
        ...
