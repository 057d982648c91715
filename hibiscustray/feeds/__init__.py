"""Followers of the change feeds of tables in the platform's store."""

from hibiscustray.feeds.changes import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    Change,
    ChangeRelay,
    FeedPage,
    FeedSource,
    RelaySource,
    RelayState,
    ReplicaListed,
    ReplicaUnlisted,
    RowRejected,
    TargetVersionSet,
)
from hibiscustray.feeds.follower import FeedFollower, FeedListener
from hibiscustray.feeds.listeners import OperatorListener, ReplicaListener
from hibiscustray.feeds.relay import RelayReader, RelayReaderTuning, RelayWriter, RelayWriterTuning

__all__ = [
    "Announcement",
    "CatalogAnnounced",
    "CatalogPublished",
    "Change",
    "ChangeRelay",
    "FeedFollower",
    "FeedListener",
    "FeedPage",
    "FeedSource",
    "OperatorListener",
    "RelayReader",
    "RelayReaderTuning",
    "RelaySource",
    "RelayState",
    "RelayWriter",
    "RelayWriterTuning",
    "ReplicaListed",
    "ReplicaListener",
    "ReplicaUnlisted",
    "RowRejected",
    "TargetVersionSet",
]
