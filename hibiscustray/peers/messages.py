"""Messages between processes, as frozen msgspec structs encoded in MessagePack.

Data classes are not used, since only structs support the tag that identifies frame types.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from hibiscustray.deployments.revisions import Revision

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"
LEFT = "left"
DEAD = "dead"
BUSY = "busy"

FinalStatus = Annotated[int, msgspec.Meta(ge=200, le=599)]
"""HTTP status of a response that is not interim."""


class Message(msgspec.Struct, frozen=True):
    """Base of all messages; unknown fields of later versions are ignored."""


class MemberRecord(Message, frozen=True):
    """A process as described by itself, with a status that other members may also set.

    `incarnation` distinguishes runs of a process, and `sequence` the records of one run. `serving`
    is the manifest digest of the version that an agent serves, "-" if it serves none, and empty for
    a plain service.
    """

    id: str
    role: str
    region: str
    availability_zone: str
    peer_address: str
    http_url: str
    incarnation: int
    sequence: int = 0
    status: str = LIVE
    service: str = ""
    serving: str = ""
    adapters: tuple[str, ...] = ()
    revision: int = 0
    codec: int = 1


class ExchangeMessage(Message, frozen=True):
    """A heartbeat: the sender's record, recent changes and its active revision.

    `is_established` is whether the sender has ever had evidence that its revision may be served;
    `view_hash` is equal for equal views of the membership.
    """

    sender: MemberRecord
    changes: tuple[MemberRecord, ...] = ()
    revision: int = 0
    digest: str = ""
    is_established: bool = False
    view_hash: int = 0


class SyncRequest(Message, frozen=True):
    """Requests the records of buckets whose hashes differ from the sender's."""

    buckets: bytes
    limit: int = 64


class SyncReply(Message, frozen=True):
    """Records of the buckets whose hashes differ."""

    records: tuple[MemberRecord, ...] = ()


class ProbeRequest(Message, frozen=True):
    """Requests an indirect probe of an address that the sender cannot reach."""

    address: str


class ProbeReply(Message, frozen=True):
    """Reports whether the probed address answered."""

    is_reached: bool = False


class PushRequest(Message, frozen=True):
    """Carries a newly accepted revision."""

    revision: Revision


class RevisionRequest(Message, frozen=True):
    """Requests the receiver's active revision."""


class RevisionReply(Message, frozen=True):
    """The sender's active revision, if any."""

    revision: Revision | None = None


class StatusRequest(Message, frozen=True):
    """Requests the receiver's own record."""


class StatusReply(Message, frozen=True):
    """The sender's own record, and whether it may serve its active revision."""

    member: MemberRecord
    is_justified: bool = False


class ManifestRequest(Message, frozen=True):
    """Requests a manifest by its digest."""

    digest: str


class ManifestReply(Message, frozen=True):
    """An encoded manifest, empty if the sender does not have it."""

    body: bytes = b""


class HaveSet(Message, frozen=True):
    """A bitmap of the chunks of a version that the agent at an address holds."""

    address: str
    bitmap: bytes


class HoldingsRequest(Message, frozen=True):
    """Requests the receiver's chunks of a version, and shares the have-sets known to the sender."""

    digest: str
    have: tuple[HaveSet, ...] = ()


class HoldingsReply(Message, frozen=True):
    """The sender's chunks of a version, and the have-sets known to it.

    `bitmap` marks the chunks that it holds and `drawing` those that it is fetching; `queued_ms` is
    the length of its upload queue in milliseconds.
    """

    bitmap: bytes = b""
    queued_ms: int = 0
    drawing: bytes = b""
    have: tuple[HaveSet, ...] = ()


class ChunkRequest(Message, frozen=True):
    """Requests one chunk of a version, and shares the have-sets known to the sender."""

    digest: str
    index: int
    have: tuple[HaveSet, ...] = ()


class ChunkReply(Message, frozen=True):
    """A chunk's bytes, empty if the sender does not hold it or is busy.

    `busy_s` is the length of the sender's upload queue in seconds.
    """

    data: bytes = b""
    is_held: bool = True
    is_busy: bool = False
    busy_s: float = 0.0
    have: tuple[HaveSet, ...] = ()


class ChunkPush(Message, frozen=True):
    """Passes a chunk of a version on, and shares the have-sets known to the sender.

    `is_import` tells that the sender is in another region, so that the chunk is new in this one.
    """

    digest: str
    index: int
    data: bytes
    is_import: bool = False
    have: tuple[HaveSet, ...] = ()


class ChunkPushReply(Message, frozen=True):
    """The receiver's chunks of the version; not known if it is not fetching the version."""

    is_known: bool = True
    bitmap: bytes = b""


class TicketRequest(Message, frozen=True):
    """Requests an idempotency key that is bound to the agent's incarnation."""

    team: str
    service: str


class TicketReply(Message, frozen=True):
    """The issued idempotency key, empty if there is none, and its lifetime in seconds."""

    key: str = ""
    lifetime_s: float = 0.0


class AttemptRequest(Message, frozen=True):
    """One attempt to run a caller's request at one agent.

    `timeout_s` is the remaining time; `skip` is the number of payloads that the caller already has.
    If `incarnation` is not 0, only an agent of that incarnation may run the attempt.
    """

    attempt_id: str
    request_id: str
    team: str
    service: str
    digest: str
    path: str
    body: bytes
    timeout_s: float
    is_idempotent: bool = True
    key: str = ""
    is_stream: bool = False
    skip: int = 0
    priority: int = 5
    weight: float = 1.0
    incarnation: int = 0


class Data(Message, frozen=True, tag="data"):
    """Payloads of a response.

    `number` is the count of earlier payloads; `check` is a digest over the request id and all
    payloads so far.
    """

    number: int
    payloads: tuple[bytes, ...]
    check: int = 0


class End(Message, frozen=True, tag="end"):
    """End of a complete response: payload count, digest over all payloads, status and load."""

    count: int
    digest: str
    status: FinalStatus = 200
    content_type: str = "application/json"
    load: int = 0
    waiting: int = 0


class KeepAlive(Message, frozen=True, tag="beat"):
    """Signals that the attempt is running but has nothing to send.

    `load` is the number of attempts at the agent, `waiting` the number of requests that the
    upstream reports as queued.
    """

    load: int = 0
    waiting: int = 0


class Refused(Message, frozen=True, tag="refused"):
    """Reports that the attempt did not run at this agent and never will.

    `is_final` is set if no request with its idempotency key has run or ever will.
    """

    kind: str
    detail: str
    retry_after_s: float = 0.0
    load: int = 0
    is_final: bool = False


class Claimed(Message, frozen=True, tag="claimed"):
    """Reports that the attempt did not run: another agent incarnation has claimed its key."""

    agent: str
    incarnation: int


class Failed(Message, frozen=True, tag="failed"):
    """Reports that the attempt was started and that its outcome is unknown."""

    kind: str
    detail: str


Frame = Data | End | KeepAlive | Refused | Claimed | Failed
