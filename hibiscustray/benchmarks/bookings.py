"""Compares bookings sent without an idempotency key, with a claimed key and with a ticket."""

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
"""Ways to send a booking: without an idempotency key, with the caller's own key, which the entry
claims in the store, or with a key from a ticket that an entry issued.
"""
READY_TIMEOUT_S = 30.0
CLIENT_TIMEOUT_S = 30.0
LATE_WRITE_WAIT_S = 1.0
"""Time that is allowed for pending table writes to finish after a phase."""
HTTP_OK = 200


class BookingBenchOptions(msgspec.Struct, frozen=True):
    """Numbers of bookings per way and of concurrent callers, and the table's faults.

    `lost_answer_share` is the share of table writes that take effect although an error is returned.
    """

    bookings: int = 200
    callers: int = 4
    lost_answer_share: float = 0.2
    seed: int = 1


class BookingResult(msgspec.Struct, frozen=True):
    """Cost and outcomes of one of `WAYS`; each booking is sent twice, through two entries."""

    way: str
    writes_per_booking: float
    booking_ms: Percentiles
    ticket_ms: Percentiles
    answered_share: float
    outage_answered_share: float
    run_twice: int
    false_not_run: int


@dataclass(frozen=True)
class BookingRecord:
    """Outcomes of both requests of one booking; `ticket_s` is None without a ticket."""

    reference: str
    seconds: float
    ticket_s: float | None
    first: str
    second: str


class BookingBench:
    """Runs callers that book at the plain service of a site."""

    def __init__(self, options: BookingBenchOptions) -> None:
        self._options = options
        self._site = Site(SiteShape(entries=2, model_replicas=0, plain_replicas=3))
        self._service = self._site.shape.plain_service

    def run(self) -> list[BookingResult]:
        """Measure all ways one after another and return a result for each."""
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
        normal = self._book_all(way, "calm")
        time.sleep(LATE_WRITE_WAIT_S)
        writes = platform.table_writes - writes
        platform.set_faults(lost_answer_share=self._options.lost_answer_share)
        lossy = self._book_all(way, "lossy")
        platform.set_faults(lost_answer_share=0.0, is_store_down=True)
        outage = self._book_all(way, "outage")
        platform.set_faults(is_store_down=False)
        time.sleep(LATE_WRITE_WAIT_S)
        bookings = normal + lossy + outage
        return BookingResult(
            way=way,
            writes_per_booking=round(writes / len(normal), 3),
            booking_ms=measure_percentiles(booking.seconds for booking in normal),
            ticket_ms=measure_percentiles(
                booking.ticket_s for booking in normal if booking.ticket_s is not None
            ),
            answered_share=_compute_answered_share(normal),
            outage_answered_share=_compute_answered_share(outage),
            run_twice=sum(self._count_runs(booking) > 1 for booking in bookings),
            false_not_run=sum(
                _is_false_not_run(booking, self._count_runs(booking)) for booking in bookings
            ),
        )

    def _book_all(self, way: str, phase: str) -> list[BookingRecord]:
        references = [
            f"{self._options.seed}-{way}-{phase}-{number}"
            for number in range(self._options.bookings)
        ]
        with ThreadPoolExecutor(self._options.callers) as pool:
            return list(pool.map(lambda reference: self._book(way, reference), references))

    def _book(self, way: str, reference: str) -> BookingRecord:
        clients = [HttpClient(entry.url, CLIENT_TIMEOUT_S) for entry in self._site.entries]
        started = time.monotonic()
        key, ticket_s = reference, None
        if way == "ticket":
            response = clients[0].call("POST", f"{self._path}/tickets", b"", _make_headers())
            key = msgspec.json.decode(response.body).get("key", reference)
            ticket_s = time.monotonic() - started
        first = self._send(clients[0], way, reference, key, 0)
        seconds = time.monotonic() - started - (ticket_s or 0.0)
        second = self._send(clients[1], way, reference, key, 1)
        for client in clients:
            client.close()
        return BookingRecord(reference, seconds, ticket_s, first, second)

    @property
    def _path(self) -> str:
        return f"/v1/services/{self._service}"

    def _send(self, client: HttpClient, way: str, reference: str, key: str, retry: int) -> str:
        headers = _make_headers() | {"Hibiscustray-Retry-Count": str(retry)}
        if way != "no_key":
            headers["Idempotency-Key"] = key
        body = msgspec.json.encode({"reference": reference})
        response = client.call("POST", self._path, body, headers)
        if response.status == HTTP_OK:
            return "answered"
        return msgspec.json.decode(response.body)["outcome"]

    def _count_runs(self, booking: BookingRecord) -> int:
        return sum(plain.service.runs[booking.reference] for plain in self._site.plains)


def _make_headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {TEAM_KEY}", "Hibiscustray-Deadline-Ms": "10000"}


def _compute_answered_share(bookings: list[BookingRecord]) -> float:
    return round(sum(booking.first == "answered" for booking in bookings) / len(bookings), 4)


def _is_false_not_run(booking: BookingRecord, runs: int) -> bool:
    """Return whether the second request was reported as not run although the booking has run."""
    return booking.second == "not_run" and runs > 0
