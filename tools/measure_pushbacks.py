"""Measures what callers see while replicas turn requests away and name a time for it.

Sends requests of one kind of route through an entry with three stand-in replicas, of which one
after the other or all at once push back, and prints a line of JSON for each case. Run it in the
root of the repository:

    python -m tools.measure_pushbacks > docs/measurements/pushbacks-after.json
"""

from __future__ import annotations

import argparse
import itertools
import json
import multiprocessing
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from tests.platform.pushback import PushbackScript
from tests.platform.quiet import KINDS, STREAM, make_routes
from tests.platform.site import run_hosted_site
from tools.measure_silences import (
    DEADLINE_S,
    ENTRY_THREADS,
    FAULT_DELAY_S,
    PART_S,
    REPLICAS,
    ROUND_S,
    Call,
    send_requests,
)

PUSHBACK_S = 2.5
SCOPES = ("one at a time", "all at once")


@dataclass(frozen=True)
class Case:
    """Which replicas push back, and the kind of route."""

    scope: str
    kind: str


def measure(case: Case) -> dict:
    """Run one case and return its result."""
    with run_hosted_site(threads=ENTRY_THREADS) as site:
        site.configure(2, routes=make_routes(timeout_ms=DEADLINE_S * 1000))
        service = KINDS[case.kind][2]
        scripts = [PushbackScript(service == STREAM, work_s=PART_S) for _ in range(REPLICAS)]
        for script in scripts:
            site.add_replica(service, script)
        threading.Thread(target=push_back, args=(case.scope, scripts), daemon=True).start()
        calls = send_requests(site, case.kind)
    return summarize(case, calls, scripts)


def push_back(scope: str, scripts: list[PushbackScript]) -> None:
    """Let replicas turn requests away for `PUSHBACK_S`, in turn or all in the second round."""
    begin = time.monotonic()
    groups = [[script] for script in scripts] if scope == SCOPES[0] else [[], scripts, []]
    for number, group in enumerate(groups):
        time.sleep(max(0.0, begin + number * ROUND_S + FAULT_DELAY_S - time.monotonic()))
        for script in group:
            script.pushback = str(PUSHBACK_S)
        time.sleep(PUSHBACK_S)
        for script in group:
            script.accept()


def summarize(case: Case, calls: list[Call], scripts: list[PushbackScript]) -> dict:
    """Return the shares of the results, the times of whole answers, and what was turned away."""
    results = [call.seen.result.split(" after ")[0].split(":")[0] for call in calls]
    whole_s = sorted(call.took_s for call in calls if call.seen.result == "whole")
    others_s = [call.took_s for call in calls if call.seen.result != "whole"]
    return {
        "scope": case.scope,
        "kind": case.kind,
        "requests": len(calls),
        "share_whole": results.count("whole") / len(calls),
        "share_other": {r: results.count(r) / len(calls) for r in sorted(set(results) - {"whole"})},
        "whole_mean_s": round(sum(whole_s) / len(whole_s), 3),
        "whole_p95_s": round(whole_s[int(0.95 * len(whole_s))], 3),
        "refusal_max_s": round(max(others_s, default=0.0), 3),
        "turned_away": sum(len(script.answers) for script in scripts),
    }


def main() -> None:
    """Measure all cases and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=2, help="cases that run at the same time")
    jobs = parser.parse_args().jobs
    cases = [Case(*names) for names in itertools.product(SCOPES, KINDS)]
    # Forked processes would all draw the same ports.
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        for result in pool.map(measure, cases):
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
