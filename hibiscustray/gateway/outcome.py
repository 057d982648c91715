"""How one attempt at a replica ended without an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class NotSent:
    """No connection was opened, so nothing ran."""

    detail: str


@dataclass(frozen=True)
class NotRun:
    """The replica says that it did not run the request; `is_misdirected` if it is not the one."""

    status: int
    is_misdirected: bool


@dataclass(frozen=True)
class MaybeRun:
    """The attempt was sent and its answer is lost; `is_silent` if nothing came at all."""

    detail: str
    is_silent: bool = False


@dataclass(frozen=True)
class Abandoned:
    """The caller has left."""


@dataclass(frozen=True)
class OutOfTime:
    """The deadline passed while the attempt was under way."""


Outcome = NotSent | NotRun | MaybeRun | Abandoned | OutOfTime
