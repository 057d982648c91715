"""Followers of the change feeds of tables in the platform's store."""

from hibiscustray.feeds.changes import (
    Announcement,
    CatalogAnnounced,
    CatalogPublished,
    Change,
    ChangeRelay,
    EntryReported,
    EntryUnlisted,
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
from hibiscustray.feeds.formats import (
    decode_copy,
    decode_relay_row,
    encode_copy,
    find_relay_model,
    make_relay_key,
)
from hibiscustray.feeds.listeners import EntryListener, OperatorListener, ReplicaListener
from hibiscustray.feeds.relay import RelayReader, RelayReaderTuning, RelayWriter, RelayWriterTuning

__all__ = [
    "Announcement",
    "CatalogAnnounced",
    "CatalogPublished",
    "Change",
    "ChangeRelay",
    "EntryListener",
    "EntryReported",
    "EntryUnlisted",
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
    "decode_copy",
    "decode_relay_row",
    "encode_copy",
    "find_relay_model",
    "make_relay_key",
]
