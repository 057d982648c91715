"""The exception tree: every failure of the system has a type."""

from __future__ import annotations

from typing import ClassVar


class HibiscustrayError(Exception):
    """Base of all failures raised by this package."""

    exit_code: ClassVar[int] = 1


class SettingsError(HibiscustrayError):
    """Settings or a deployment are wrong; carries every problem found."""

    exit_code = 2

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class PlatformError(HibiscustrayError):
    """A service of the platform did not do what was asked."""

    exit_code = 3


class StoreUnavailable(PlatformError):
    """The table or the object store did not answer; a write has certainly not taken effect."""


class StoreAnswerLost(PlatformError):
    """The store's answer was lost; the write may or may not have taken effect."""


class PreconditionFailed(PlatformError):
    """A conditional write was refused because its condition did not hold."""


class RecordInvalid(PlatformError):
    """A row, object or list of the platform could not be decoded."""


class HistoryLost(PlatformError):
    """The store no longer knows what changed since the revision asked for."""


class ObjectMissing(PlatformError):
    """The object store or the origin holds no object of that name."""


class OriginUnavailable(PlatformError):
    """The origin of weights did not answer."""


class UpstreamError(HibiscustrayError):
    """An upstream did not do what was asked."""


class UpstreamUnreachable(UpstreamError):
    """No connection to the upstream was opened, so nothing was sent."""


class UpstreamConnectionLost(UpstreamError):
    """The connection to the upstream broke after bytes were sent."""


class AnswerCrossed(UpstreamConnectionLost):
    """The upstream's answer is for another request or by other weights."""


class UpstreamRejected(UpstreamError):
    """The upstream refused the request with an HTTP status."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"upstream answered {status}: {detail}")
        self.status = status
        self.detail = detail


class FencingRejected(UpstreamError):
    """The upstream refused an order because it has seen a higher fencing number."""


class DigestMismatch(UpstreamError):
    """The upstream reported weights other than those ordered."""


class ConfigurationError(HibiscustrayError):
    """A configuration could not be accepted or read."""

    exit_code = 4


class RevisionConflict(ConfigurationError):
    """Another operator's change was accepted first."""

    exit_code = 5

    def __init__(self, revision: int, operator: str) -> None:
        super().__init__(f"revision {revision} by {operator} was accepted first; read it and retry")
        self.revision = revision
        self.operator = operator


class ProgramFailed(ConfigurationError):
    """An operator program ended with an error or printed nothing."""

    exit_code = 7


class NoConfiguration(ConfigurationError):
    """This process holds no configuration that it can justify."""


class WeightsError(HibiscustrayError):
    """Weights could not be fetched or verified."""


class ManifestInvalid(WeightsError):
    """A manifest does not match its digest or its own sizes."""


class ChunkCorrupt(WeightsError):
    """A chunk does not match the digest in its manifest."""

    def __init__(self, index: int, sender: str) -> None:
        super().__init__(f"chunk {index} from {sender} does not match its digest")
        self.index = index
        self.sender = sender


class ChunkMissing(WeightsError):
    """A peer does not hold the chunk that was asked for."""


class CacheFull(WeightsError):
    """The chunk cache has no room for the version."""


class AdapterMismatch(WeightsError):
    """An adapter's manifest names another base than the version that it should serve with."""


class TransferOvertaken(WeightsError):
    """The transfer was stopped because another version is wanted now."""


class PeerError(HibiscustrayError):
    """A process of the system could not be talked to."""


class PeerUnreachable(PeerError):
    """No connection to the peer was opened, so nothing was sent."""


class PeerConnectionLost(PeerError):
    """The connection to the peer broke after the call was sent."""


class MessageInvalid(PeerError):
    """A peer's message could not be decoded."""


class ActivationAbandoned(HibiscustrayError):
    """A swap was given up before anything was ordered."""


class LeaseError(HibiscustrayError):
    """A lease could not be held."""


class LeaseHeld(LeaseError):
    """Another holder has the lease."""


class LeaseLapsed(LeaseError):
    """The lease ran out before the work was done."""


class RequestError(HibiscustrayError):
    """A caller's request failed; carries the HTTP status and a problem type."""

    status: ClassVar[int] = 500
    kind: ClassVar[str] = "internal"

    def __init__(self, detail: str, retry_after: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after


class NotRun(RequestError):
    """The request did not run and will not run."""

    status = 503
    kind = "not-run"


class RequestMalformed(NotRun):
    """The request could not be understood."""

    status = 400
    kind = "malformed"


class RequestTooLarge(NotRun):
    """The request's body is over the limit."""

    status = 413
    kind = "too-large"


class CredentialRejected(NotRun):
    """The team or operator could not be identified."""

    status = 401
    kind = "credential"


class ServiceUnknown(NotRun):
    """The configuration names no such service."""

    status = 404
    kind = "unknown-service"


class DeadlineInvalid(NotRun):
    """The deadline is absent, absurd or already past."""

    status = 400
    kind = "deadline"


class KeyReused(NotRun):
    """The idempotency key was used before with another body."""

    status = 422
    kind = "key-reused"


class Overloaded(NotRun):
    """The request was refused because it would not finish in time."""

    status = 429
    kind = "overloaded"


class ConfigurationUnknown(NotRun):
    """The process holds no configuration that it can justify."""

    status = 503
    kind = "no-configuration"


class NoReplica(NotRun):
    """No replica can take the request now."""

    status = 503
    kind = "no-replica"


class ClaimUnavailable(NoReplica):
    """The idempotency key could not be claimed, since the platform's table does not answer."""

    kind = "claim-unavailable"


class DeadlineExceeded(NotRun):
    """The deadline passed before the request was started."""

    status = 504
    kind = "deadline-exceeded"


class TicketInvalid(NotRun):
    """The ticket is forged or has expired."""

    status = 400
    kind = "ticket"


class OutcomeUnknown(RequestError):
    """The request may or may not have run."""

    status = 502
    kind = "unknown"


class DeadlinePassedRunning(OutcomeUnknown):
    """The deadline passed while the request was running."""

    status = 504
    kind = "deadline-passed-running"


class CallerLeft(OutcomeUnknown):
    """The caller closed its connection before its answer was whole."""

    status = 499
    kind = "caller-left"


class MetricsUnreadable(HibiscustrayError):
    """A process's metrics could not be read."""

    exit_code = 6


class MeasurementMissing(HibiscustrayError):
    """A benchmark's output that a page is made from is absent or unreadable."""


class ProgramEnded(HibiscustrayError):
    """A program ended that was not asked to."""


class ProcessMissing(HibiscustrayError):
    """There is no process of that id on this machine."""


class ShareExhausted(HibiscustrayError):
    """A bounded resource has no room left."""
