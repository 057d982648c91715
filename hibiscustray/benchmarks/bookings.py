"""Measures ways to run bookings at most once: without a key, with a claim, with a ticket."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from hibiscustray.benchmarks.request_counts import Percentiles, measure_percentiles
from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, PlainService
from hibiscustray.standins.site import TEAM, TEAM_KEY, Site, SiteShape
from hibiscustray.web import HttpClient

WAYS = ("no_key", "claim", "ticket")
READY_TIMEOUT_S = 30.0
CLIENT_TIMEOUT_S = 30.0
SETTLE_S = 1.0
HTTP_OK = 200


class BookingBenchOptions(msgspec.Struct, frozen=True):
    """Bookings per way, callers at once, the share of the table's answers that get lost."""

    bookings: int = 200
    callers: int = 4
    lost_answer_share: float = 0.2
    seed: int = 1


class BookingResult(msgspec.Struct, frozen=True):
    """What one way cost and gave; each booking is sent twice, through two entries."""

    way: str
    writes_per_booking: float
    booking_ms: Percentiles
    ticket_ms: Percentiles
    answered_share: float
    outage_answered_share: float
    run_twice: int
    false_not_run: int


@dataclass(frozen=True)
class Booked:
    """The sendings of one booking; `ticket_s` is None without a ticket."""

    reference: str
    seconds: float
    ticket_s: float | None
    first: str
    second: str


class BookingBench:
    """A site of plain services and the callers that book there."""

    def __init__(self, options: BookingBenchOptions) -> None:
        self._options = options
        self._site = Site(SiteShape(entries=2, model_replicas=0, plain_replicas=3))
        self._service = self._site.shape.plain_service

    def run(self) -> list[BookingResult]:
        """Measure all ways one after another."""
        self._site.start()
        try:
            services = (PlainService(self._service),)
            self._site.operator.apply(DeploymentPlan("bench", (), services, (Team(TEAM),)))
            self._site.wait_until_routable(READY_TIMEOUT_S)
            return [self._measure(way) for way in WAYS]
        finally:
            self._site.platform.set_faults(is_store_down=False, lost_answer_share=0.0)
            self._site.stop()

    def _measure(self, way: str) -> BookingResult:
        platform = self._site.platform
        writes = platform.table_writes
        calm = self._book_all(way, "calm")
        time.sleep(SETTLE_S)
        writes = platform.table_writes - writes
        platform.set_faults(lost_answer_share=self._options.lost_answer_share)
        lossy = self._book_all(way, "lossy")
        platform.set_faults(lost_answer_share=0.0, is_store_down=True)
        outage = self._book_all(way, "outage")
        platform.set_faults(is_store_down=False)
        time.sleep(SETTLE_S)
        booked = calm + lossy + outage
        return BookingResult(
            way=way,
            writes_per_booking=round(writes / len(calm), 3),
            booking_ms=measure_percentiles(one.seconds for one in calm),
            ticket_ms=measure_percentiles(one.ticket_s for one in calm if one.ticket_s is not None),
            answered_share=_share_answered(calm),
            outage_answered_share=_share_answered(outage),
            run_twice=sum(self._count_runs(one) > 1 for one in booked),
            false_not_run=sum(_is_false(one, self._count_runs(one)) for one in booked),
        )

    def _book_all(self, way: str, phase: str) -> list[Booked]:
        references = [
            f"{self._options.seed}-{way}-{phase}-{number}"
            for number in range(self._options.bookings)
        ]
        with ThreadPoolExecutor(self._options.callers) as pool:
            return list(pool.map(lambda reference: self._book(way, reference), references))

    def _book(self, way: str, reference: str) -> Booked:
        clients = [HttpClient(entry.url, CLIENT_TIMEOUT_S) for entry in self._site.entries]
        started = time.monotonic()
        key, ticket_s = reference, None
        if way == "ticket":
            reply = clients[0].call("POST", f"{self._path}/tickets", b"", _make_headers())
            key = msgspec.json.decode(reply.body).get("key", reference)
            ticket_s = time.monotonic() - started
        first = self._send(clients[0], way, reference, key, 0)
        seconds = time.monotonic() - started - (ticket_s or 0.0)
        second = self._send(clients[1], way, reference, key, 1)
        for client in clients:
            client.close()
        return Booked(reference, seconds, ticket_s, first, second)

    @property
    def _path(self) -> str:
        return f"/v1/services/{self._service}"

    def _send(self, client: HttpClient, way: str, reference: str, key: str, retry: int) -> str:
        headers = _make_headers() | {"Hibiscustray-Retry-Count": str(retry)}
        if way != "no_key":
            headers["Idempotency-Key"] = key
        body = msgspec.json.encode({"reference": reference})
        reply = client.call("POST", self._path, body, headers)
        if reply.status == HTTP_OK:
            return "answered"
        return msgspec.json.decode(reply.body)["outcome"]

    def _count_runs(self, one: Booked) -> int:
        return sum(plain.service.runs[one.reference] for plain in self._site.plains)


def _make_headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {TEAM_KEY}", "Hibiscustray-Deadline-Ms": "10000"}


def _share_answered(booked: list[Booked]) -> float:
    return round(sum(one.first == "answered" for one in booked) / len(booked), 4)


def _is_false(one: Booked, runs: int) -> bool:
    """Tell whether the last sending was called not run although the booking had run."""
    return one.second == "not_run" and runs > 0
