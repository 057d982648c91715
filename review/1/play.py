"""The operator takes the last key of the only tenant away."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "1"))
from standins import (
    EntryProgram,
    Record,
    Replica,
    Store,
    Writer,
    make_configuration,
    run_case,
    send,
)

REPLICAS = 2
BOUND_S = 2.0
"""configApplyMs."""
SLACK_S = 1.0
JUDGED_S = 8.0
KEY, FOREIGN_KEY = "key-of-the-hosts", "key-that-no-config-holds"


def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    store = Store()
    operator = Writer(store)
    tenants = [{"name": "hosts", "keys": [KEY]}]
    operator.put("op", "config", make_configuration(3, tenants)).wait()
    replicas = [Replica(number, store, record) for number in range(REPLICAS)]
    entry = EntryProgram(store.address, folder)
    try:
        entry.start()
        entry.wait_until_ready()
        time.sleep(4.0)
        if send(record, entry.callers, "POST", "/book/1", "before-key", KEY) != 200:
            raise RuntimeError("the entry does not serve before the change")
        if send(record, entry.callers, "POST", "/book/1", "before-foreign", FOREIGN_KEY) != 401:
            raise RuntimeError("the entry does not check keys before the change")
        if has_trouble:
            tenants = [{"name": "hosts", "keys": []}]
        operator.put("op", "config", make_configuration(7, tenants)).wait()
        acknowledged_at = time.monotonic()
        record.write(f"operator version 7 acknowledged, tenants {tenants}")
        return _judge(record, entry, replicas, acknowledged_at, has_trouble)
    finally:
        entry.end()


def _judge(record, entry, replicas, acknowledged_at, has_trouble) -> bool:
    keys = {"foreign": FOREIGN_KEY} | ({"taken": KEY} if has_trouble else {})
    number, judged = 0, set()
    while time.monotonic() < acknowledged_at + BOUND_S + SLACK_S + JUDGED_S:
        number += 1
        for name, key in keys.items():
            request_id = f"{name}-{number}"
            if time.monotonic() > acknowledged_at + BOUND_S + SLACK_S:
                judged.add(request_id)
            send(record, entry.callers, "POST", "/book/1", request_id, key)
        time.sleep(0.25)
    ran = {request_id for replica in replicas for _, request_id, _ in replica.ran}
    record.write(f"judged   {len(judged)} requests without a valid key, {len(judged & ran)} ran")
    if not judged:
        raise RuntimeError("no request was judged")
    return not judged & ran


run_case(Path(__file__).resolve().parent, play)
