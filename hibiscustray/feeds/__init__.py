"""Following of tables on the platform's store by change feeds."""

from hibiscustray.feeds.changes import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    Change,
    ChangeRelay,
    EntryRejected,
    FeedPage,
    FeedSource,
    RelayedSource,
    RelayState,
    ReplicaListed,
    ReplicaUnlisted,
    VersionNamed,
)
from hibiscustray.feeds.follower import FeedFollower, FeedListener
from hibiscustray.feeds.listeners import OperatorListener, ReplicaListener
from hibiscustray.feeds.relay import RelayedFollower, RelayedRule, RelayingFollower, RelayRule

__all__ = [
    "Announcement",
    "CatalogAnnounced",
    "CatalogPublished",
    "Change",
    "ChangeRelay",
    "EntryRejected",
    "FeedFollower",
    "FeedListener",
    "FeedPage",
    "FeedSource",
    "OperatorListener",
    "RelayRule",
    "RelayState",
    "RelayedFollower",
    "RelayedRule",
    "RelayedSource",
    "RelayingFollower",
    "ReplicaListed",
    "ReplicaListener",
    "ReplicaUnlisted",
    "VersionNamed",
]
