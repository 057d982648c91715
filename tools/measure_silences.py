"""Measures what callers see while a replica is silent, cut off or dead.

Sends requests of one kind of route through an entry with three stand-in replicas, one of which is
faulty at a time, and prints a line of JSON for each case. Run it in the root of the repository:

    python -m tools.measure_silences > docs/measurements/silences-before.json
"""

from __future__ import annotations

import argparse
import itertools
import json
import multiprocessing
import socket
import struct
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass

from hibiscustray.platform.standins import ReceivedRequest
from tests.platform.quiet import KINDS, STREAM, Seen, call, make_routes, split_body, split_stream
from tests.platform.site import HostedSite, run_hosted_site

REPLICAS = 3
REQUESTS = 200
REQUESTS_PER_S = 20.0
DEADLINE_S = 6.0
GAP_S = 3.2
"""Silence after which a caller gives a stream up."""
ENTRY_THREADS = 160
ROUND_S = REQUESTS / REQUESTS_PER_S / REPLICAS
"""Time between the faults of two replicas."""
FAULT_DELAY_S = 0.5
FAULTS_S = {"quiet": 1.5, "cut": 2.5, "dead": 2.5}
"""Duration of each fault. Responses that a cut replica has begun never go on."""
POSITIONS = {
    "before the head": ("head", "head"),
    "before the first event": ("first event", "body"),
    "within the response": ("within an event", "within the body"),
}
"""Positions at which responses meet the fault, in a stream and in a buffered response."""
PART_S = 0.05
"""Time that a sound replica takes for each part of a response."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class Case:
    """A fault, the position at which responses meet it, and the kind of route."""

    fault: str
    position: str
    kind: str


@dataclass(frozen=True)
class Call:
    """What a caller saw, and the time from its request to the end in seconds."""

    seen: Seen
    took_s: float


class FaultyScript:
    """Responds in parts; a response that reaches the position during a fault meets the fault."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._is_stream = KINDS[case.kind][2] == STREAM
        self._position = POSITIONS[case.position][0 if self._is_stream else 1]
        self._faulty_until = float("-inf")
        self.met = 0
        self.arrived = 0

    def begin_fault(self) -> None:
        """Make the replica faulty for the duration of the fault."""
        self._faulty_until = time.monotonic() + FAULTS_S[self._case.fault]

    def __call__(self, request: ReceivedRequest, connection: socket.socket) -> None:
        self.arrived += 1
        for position, data in split_stream(request) if self._is_stream else split_body(request):
            time.sleep(PART_S)
            left_s = self._faulty_until - time.monotonic()
            if position == self._position and left_s > 0:
                self.met += 1
                self._meet_fault(connection, left_s)
            connection.sendall(data)

    def _meet_fault(self, connection: socket.socket, left_s: float) -> None:
        match self._case.fault:
            case "quiet":
                wait_for_close(connection, left_s)
            case "cut":
                wait_for_close(connection, DEADLINE_S + 1.0)
                raise ConnectionAbortedError
            case _:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                raise ConnectionAbortedError


def wait_for_close(connection: socket.socket, timeout_s: float) -> None:
    """Wait for a time; raise `OSError` if the entry closes the connection before its end."""
    connection.settimeout(timeout_s)
    try:
        connection.recv(1)
    except TimeoutError:
        connection.settimeout(None)
        return
    raise ConnectionAbortedError


def measure(case: Case) -> dict:
    """Run one case and return its result."""
    with run_hosted_site(threads=ENTRY_THREADS) as site:
        site.configure(2, routes=make_routes(timeout_ms=DEADLINE_S * 1000))
        scripts = [FaultyScript(case) for _ in range(REPLICAS)]
        for script in scripts:
            site.add_replica(KINDS[case.kind][2], script)
        threading.Thread(target=begin_faults, args=(scripts,), daemon=True).start()
        calls = send_requests(site, case.kind)
    return summarize(case, calls, scripts)


def begin_faults(scripts: list[FaultyScript]) -> None:
    """Make one replica after another faulty."""
    begin = time.monotonic()
    for number, script in enumerate(scripts):
        time.sleep(max(0.0, begin + number * ROUND_S + FAULT_DELAY_S - time.monotonic()))
        script.begin_fault()


def send_requests(site: HostedSite, kind: str) -> list[Call]:
    """Send requests at a constant rate and return what their callers saw."""
    timeout_s = GAP_S if KINDS[kind][2] == STREAM else DEADLINE_S + 1.0

    def send() -> Call:
        started_at = time.monotonic()
        seen = call(site, kind, DEADLINE_S, timeout_s)
        return Call(seen, seen.ended_at - started_at)

    begin = time.monotonic()
    with ThreadPoolExecutor(REQUESTS) as pool:
        futures = []
        for number in range(REQUESTS):
            time.sleep(max(0.0, begin + number / REQUESTS_PER_S - time.monotonic()))
            futures.append(pool.submit(send))
        return [future.result() for future in futures]


def summarize(case: Case, calls: list[Call], scripts: list[FaultyScript]) -> dict:
    """Return the shares of the results and the times to the end of one case."""
    results = [call.seen.result.split(" after ")[0].split(":")[0] for call in calls]
    times_s = sorted(call.took_s for call in calls)
    others = sorted(set(results) - {"whole", "truncated"})
    return {
        "fault": case.fault,
        "position": case.position,
        "kind": case.kind,
        "requests": len(calls),
        "share_whole": results.count("whole") / len(calls),
        "share_truncated": results.count("truncated") / len(calls),
        "share_failed": {result: results.count(result) / len(calls) for result in others},
        "mean_s": round(sum(times_s) / len(times_s), 3),
        "p95_s": round(times_s[int(0.95 * len(times_s))], 3),
        "max_s": round(times_s[-1], 3),
        "responses_at_fault": sum(script.met for script in scripts),
        "sent_again": sum(script.arrived for script in scripts) - len(calls),
    }


def main() -> None:
    """Measure all cases and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=3, help="cases that run at the same time")
    jobs = parser.parse_args().jobs
    cases = [Case(*names) for names in itertools.product(FAULTS_S, POSITIONS, KINDS)]
    # Forked processes would all draw the same ports.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        for result in pool.map(measure, cases):
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
