"""Messages between the system's processes, as frozen structs in MessagePack.

Structs rather than data classes, since only structs carry the tag that tells frames apart.
"""

from __future__ import annotations

import msgspec

from hibiscustray.deployments.revisions import Revision

LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"
LEFT = "left"
DEAD = "dead"
BUSY = "busy"


class Message(msgspec.Struct, frozen=True):
    """Base of all messages; unknown fields of later versions are ignored."""


class MemberRecord(Message, frozen=True):
    """What one process says of itself, or others say of its status."""

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
    """A heartbeat: the sender's own record, recent changes and the revision in force.

    `is_established` says that the sender may serve its revision; `view_hash` is equal for equal
    views of the membership.
    """

    sender: MemberRecord
    changes: tuple[MemberRecord, ...] = ()
    revision: int = 0
    digest: str = ""
    is_established: bool = False
    view_hash: int = 0


class SyncRequest(Message, frozen=True):
    """Asks for the records that differ, by the hashes of the sender's buckets."""

    buckets: bytes
    limit: int = 64


class SyncReply(Message, frozen=True):
    """Records of the buckets whose hashes differ."""

    records: tuple[MemberRecord, ...] = ()


class ProbeRequest(Message, frozen=True):
    """Asks the receiver to try an address that the sender does not reach."""

    address: str


class ProbeReply(Message, frozen=True):
    """Whether the address answered."""

    is_reached: bool = False


class PushRequest(Message, frozen=True):
    """Hands over a revision that was just accepted."""

    revision: Revision


class RevisionRequest(Message, frozen=True):
    """Asks for the revision in force at the receiver."""


class RevisionReply(Message, frozen=True):
    """The revision in force at the sender, if any."""

    revision: Revision | None = None


class StatusRequest(Message, frozen=True):
    """Asks a process for its own record."""


class StatusReply(Message, frozen=True):
    """The sender's own record, and whether it may serve the revision that it holds."""

    member: MemberRecord
    is_justified: bool = False


class ManifestRequest(Message, frozen=True):
    """Asks for a manifest by its digest."""

    digest: str


class ManifestReply(Message, frozen=True):
    """An encoded manifest, empty if the sender has none."""

    body: bytes = b""


class HaveSet(Message, frozen=True):
    """Which chunks of a version the agent at an address holds, as a bitmap."""

    address: str
    bitmap: bytes


class HoldingsRequest(Message, frozen=True):
    """Asks which chunks of a version the receiver holds, telling what the sender knows."""

    digest: str
    have: tuple[HaveSet, ...] = ()


class HoldingsReply(Message, frozen=True):
    """The chunks held and those being drawn, the upload queue (ms), and known have-sets."""

    bitmap: bytes = b""
    queued_ms: int = 0
    drawing: bytes = b""
    have: tuple[HaveSet, ...] = ()


class ChunkRequest(Message, frozen=True):
    """Asks for one chunk of a version, telling what the sender knows."""

    digest: str
    index: int
    have: tuple[HaveSet, ...] = ()


class ChunkReply(Message, frozen=True):
    """A chunk's bytes, or nothing when the sender does not hold it or is busy.

    `busy_s` is the length of the sender's upload queue in seconds.
    """

    data: bytes = b""
    is_held: bool = True
    is_busy: bool = False
    busy_s: float = 0.0
    have: tuple[HaveSet, ...] = ()


class TicketRequest(Message, frozen=True):
    """Asks an agent for an idempotency key bound to its incarnation."""

    team: str
    service: str


class TicketReply(Message, frozen=True):
    """The key issued, empty if none was, and how long it may be used."""

    key: str = ""
    lifetime_s: float = 0.0


class AttemptRequest(Message, frozen=True):
    """One attempt of a caller's request at one agent.

    `timeout_s` is the time left; `skip` counts payloads that the caller already has. An
    `incarnation` other than 0 is the only one that may take the attempt.
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
    """Payloads of an answer.

    `number` counts payloads before these; `check` digests the request's id and all payloads so far.
    """

    number: int
    payloads: tuple[bytes, ...]
    check: int = 0


class End(Message, frozen=True, tag="end"):
    """The whole answer was sent: payload count, digest over all payloads, status and load."""

    count: int
    digest: str
    status: int = 200
    content_type: str = "application/json"
    load: int = 0
    waiting: int = 0


class KeepAlive(Message, frozen=True, tag="beat"):
    """The attempt is alive but has nothing to send.

    `load` counts attempts at the agent, `waiting` requests that the upstream reports as queued.
    """

    load: int = 0
    waiting: int = 0


class Refused(Message, frozen=True, tag="refused"):
    """The attempt did not run here and never will.

    `is_final` tells that no request with its key ran or ever will.
    """

    kind: str
    detail: str
    retry_after_s: float = 0.0
    load: int = 0
    is_final: bool = False


class Claimed(Message, frozen=True, tag="claimed"):
    """The attempt did not run here: another agent incarnation holds its idempotency key."""

    agent: str
    incarnation: int


class Failed(Message, frozen=True, tag="failed"):
    """The attempt was started and its outcome is not known."""

    kind: str
    detail: str


Frame = Data | End | KeepAlive | Refused | Claimed | Failed
