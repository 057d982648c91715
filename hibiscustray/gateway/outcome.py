"""Outcomes of an attempt that did not yield a response to forward."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class NotSent:
    """No connection could be opened, so the request did not run."""

    detail: str


@dataclass(frozen=True)
class NotRun:
    """The replica did not run the request; `is_misdirected` if it is not the expected replica."""

    status: int
    is_misdirected: bool


@dataclass(frozen=True)
class MaybeRun:
    """The response was lost after sending."""

    detail: str


@dataclass(frozen=True)
class WeightsOutdated(MaybeRun):
    """The attempt ended because newer weights than its replica's are required."""


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller has disconnected."""


@dataclass(frozen=True)
class OutOfTime:
    """The deadline passed during the attempt."""


@dataclass(frozen=True)
class Superseded:
    """The attempt was cancelled because another one of the request has responded."""


Outcome = NotSent | NotRun | MaybeRun | CallerDisconnected | OutOfTime | Superseded
