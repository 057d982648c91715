"""The guarantee that a request that ends replicas stops reaching them, while sound ones go on."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import SoakOutcome

MAX_ENDS = 3
"""Replicas that may end under a request before it has to be kept from them."""
CONTACT_S = 3.0
"""Time after the last of these ends by which all entries have to know."""
SLACK_S = 0.5
"""Time added to that for a machine whose processors are all in use."""
MAX_LATE_ARRIVALS = 3
"""Later arrivals at replicas that all entries together may let through."""
FINAL_S = 4.0
"""Time at the end of a soak, without faults, in which sound requests have to be served."""
MIN_FINAL_REQUESTS = 10
MIN_SERVED_SHARE = 0.5


@dataclass(frozen=True)
class _Arrival:
    entry: int
    replica: int
    at: float


class HarmCheck:
    """Finds harmful requests that reach replicas too often, and sound ones that are not served.

    `entries` has the disturbances of the entries and `links` those of the links to replicas.
    """

    def __init__(self, entries: DisturbanceLog, links: DisturbanceLog) -> None:
        self._entries = entries
        self._links = links
        self._arrivals: dict[str, list[_Arrival]] = {}
        self._ends: dict[str, list[float]] = {}

    def record_arrival(self, harm: str, entry: int, replica: int, at: float) -> None:
        """Record that a harmful request from an entry reached a replica, run or not."""
        self._arrivals.setdefault(harm, []).append(_Arrival(entry, replica, at))

    def record_end(self, harm: str, at: float) -> None:
        """Record that a replica ended under a harmful request."""
        self._ends.setdefault(harm, []).append(at)

    def count_late(self, outcomes: Iterable[SoakOutcome]) -> int:
        """Return how many harmful requests were sent that had to be kept from replicas."""
        return sum(
            outcome.request.sent_at > self._find_bound(outcome.request.harm)
            for outcome in outcomes
            if outcome.request.harm
        )

    def find_excess(self) -> Iterator[tuple[float, str]]:
        """Yield the time and a description for each harmful request that arrived too often.

        Entries count unless they were disturbed in the `CONTACT_S` before the arrival, and a
        replica unless its link was, as it may have held the request back.
        """
        for harm, arrivals in self._arrivals.items():
            bound = self._find_bound(harm)
            late = sorted(
                a.at
                for a in arrivals
                if a.at > bound
                and self._entries.is_undisturbed(a.entry, a.at - CONTACT_S, a.at)
                and self._links.is_undisturbed(a.replica, a.at - CONTACT_S, a.at)
            )
            if len(late) > MAX_LATE_ARRIVALS:
                yield late[MAX_LATE_ARRIVALS], (
                    f"{harm} reached replicas {len(late)} times later than {CONTACT_S:.0f} s after "
                    f"{MAX_ENDS} had ended under it; {len(self._ends[harm])} ended in all"
                )

    def find_unserved(
        self, outcomes: Iterable[SoakOutcome], until: float
    ) -> Iterator[tuple[float, str]]:
        """Yield the time and a description for each kind of sound requests that is not served.

        Requests in the last `FINAL_S` before `until` count if harmful ones were sent at all. Those
        with a revoked key do not count.
        """
        if not self._arrivals:
            return
        served: dict[str, list[bool]] = {}
        for outcome in outcomes:
            request = outcome.request
            is_final = until - FINAL_S < request.sent_at < until
            if request.harm or not is_final or outcome.status == 401:
                continue
            if self._entries.is_undisturbed(
                request.entry, request.sent_at - CONTACT_S, outcome.ended_at
            ):
                is_served = 200 <= outcome.status < 300 and outcome.end is ResponseEnd.CERTAIN
                served.setdefault(request.kind, []).append(is_served)
        for kind, results in served.items():
            count = sum(results)
            if len(results) >= MIN_FINAL_REQUESTS and count < MIN_SERVED_SHARE * len(results):
                yield until, (
                    f"{count} of {len(results)} sound requests of the kind {kind} were served at "
                    f"the end, beside harmful ones"
                )

    def _find_bound(self, harm: str) -> float:
        ends = sorted(self._ends.get(harm, ()))
        return ends[MAX_ENDS - 1] + CONTACT_S + SLACK_S if len(ends) >= MAX_ENDS else float("inf")
