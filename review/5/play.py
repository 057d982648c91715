"""The entry's channels to the store go silent, and a replica leaves without `draining`."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "1"))
from standins import (
    EntryProgram,
    Record,
    Replica,
    SilentProxy,
    Store,
    Writer,
    make_configuration,
    run_case,
    send,
)

REPLICAS = 3
DRAIN_S = 2.0
"""drainMs."""
CONTACT_S = 3.0
"""contactMs."""
SLACK_S = 0.3
CALLERS = 6
CALL_AGE_S = 0.7
"""Age of the entry's running call for the list of replicas when its channel goes silent."""
LEAVE_S = 0.5
"""Time from the silence until the replica leaves."""
KEY = "key-of-the-hosts"


def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    store = Store()
    proxy = SilentProxy(store.address)
    operator = Writer(store)
    tenants = [{"name": "hosts", "keys": [KEY]}]
    operator.put("op", "config", make_configuration(3, tenants)).wait()
    replicas = [Replica(number, store, record) for number in range(REPLICAS)]
    entry = EntryProgram(proxy.address, folder)
    try:
        entry.start()
        entry.wait_until_ready()
        time.sleep(8.0)
        if send(record, entry.callers, "POST", "/book/1", "before", KEY) != 200:
            raise RuntimeError("the entry does not serve before the disruption")
        store.wait_for_call("/v1/rows-feed?table=servers")
        time.sleep(CALL_AGE_S)
        silent_at = time.monotonic()
        if has_trouble:
            count = proxy.silence()
            record.write(f"store    {count} open channels of the entry go silent, new ones work")
        time.sleep(LEAVE_S)
        replicas[0].leave_unannounced().wait()
        left_at = time.monotonic()
        record.write(f"store    the entry of {replicas[0].id} is removed, acknowledged")
        return _judge(record, entry, replicas[0], silent_at, left_at)
    finally:
        entry.end()


def _judge(record, entry, gone, silent_at, left_at) -> bool:
    """Send requests at once when the bounds are over; nothing was sent since the replica left."""
    judged_from = max(left_at + DRAIN_S, silent_at + CONTACT_S) + SLACK_S
    time.sleep(max(0.0, judged_from - time.monotonic()))
    callers = [
        threading.Thread(
            target=send,
            args=(record, entry.callers, "POST", "/book/1", f"book-{number}", KEY),
            daemon=True,
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    late = [(at - left_at, request_id) for at, request_id, _ in gone.ran if at > judged_from]
    record.write(f"late     {len(late)} of {CALLERS} requests ran at {gone.id} when it had left")
    for late_s, request_id in late:
        record.write(f"late     {request_id} {late_s:.3f} s after the ack")
    return not late


run_case(Path(__file__).resolve().parent, play)
