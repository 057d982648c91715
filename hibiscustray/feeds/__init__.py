"""Following of tables on the platform's store by change feeds."""

from hibiscustray.feeds.changes import (
    CatalogPublished,
    Change,
    EntryRejected,
    FeedPage,
    FeedSource,
    ReplicaListed,
    ReplicaUnlisted,
    VersionNamed,
)
from hibiscustray.feeds.follower import FeedFollower, FeedListener
from hibiscustray.feeds.listeners import OperatorListener, ReplicaListener

__all__ = [
    "CatalogPublished",
    "Change",
    "EntryRejected",
    "FeedFollower",
    "FeedListener",
    "FeedPage",
    "FeedSource",
    "OperatorListener",
    "ReplicaListed",
    "ReplicaListener",
    "ReplicaUnlisted",
    "VersionNamed",
]
