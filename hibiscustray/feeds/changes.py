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
class VersionNamed:
    """The operator named a version of a model's weights."""

    named: WeightsVersion


@dataclass(frozen=True)
class ReplicaListed:
    """A replica's entry is new or changed."""

    record: ReplicaRecord


@dataclass(frozen=True)
class ReplicaUnlisted:
    """A replica's entry is gone."""

    replica_id: str


@dataclass(frozen=True)
class EntryRejected:
    """An entry could not be understood; it names nothing to use."""

    key: str
    reason: str


Change = CatalogPublished | VersionNamed | ReplicaListed | ReplicaUnlisted | EntryRejected


@dataclass(frozen=True)
class FeedPage:
    """Changes in order, and the store's revision that they lead to."""

    changes: tuple[Change, ...]
    revision: int


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
