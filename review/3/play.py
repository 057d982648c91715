"""The store comes back from an older copy while the operator takes a key away."""

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

REPLICAS = 6
COPY_AGE_S = 5.0
AWAY_S = 1.0
BOUND_S = 2.0 + 5.0
"""configApplyMs, and skewMaxMs since the store has just been away."""
SLACK_S = 1.0
JUDGED_S = 10.0
KEPT_KEY, TAKEN_KEY = "key-that-stays", "key-that-is-taken-away"


def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    store = Store()
    operator = Writer(store)
    tenants = [{"name": "hosts", "keys": [KEPT_KEY, TAKEN_KEY]}]
    operator.put("op", "config", make_configuration(3, tenants)).wait()
    replicas = [Replica(number, store, record) for number in range(REPLICAS)]
    entry = EntryProgram(store.address, folder)
    try:
        entry.start()
        entry.wait_until_ready()
        time.sleep(4.0)
        return _play_day(record, store, operator, replicas, entry, has_trouble)
    finally:
        entry.end()


def _play_day(record, store, operator, replicas, entry, has_trouble) -> bool:
    copy = store.copy()
    tenants = [{"name": "hosts", "keys": [KEPT_KEY, TAKEN_KEY, "key-that-is-added"]}]
    operator.put("op", "config", make_configuration(5, tenants)).wait()
    record.write("operator version 5 acknowledged, it adds a key")
    time.sleep(COPY_AGE_S)
    for key in (KEPT_KEY, TAKEN_KEY):
        if send(record, entry.callers, "GET", "/look/1", f"before-{key}", key) != 200:
            raise RuntimeError("the entry does not serve before the disruption")
    if has_trouble:
        for writer in (operator, *(replica.writer for replica in replicas)):
            writer.copy_revision = copy[0]
        record.write(f"store    away at revision {store.revision}")
        store.leave()
        time.sleep(AWAY_S / 2)
    tenants = [{"name": "hosts", "keys": [KEPT_KEY]}]
    acknowledged = operator.put("op", "config", make_configuration(7, tenants))
    if has_trouble:
        time.sleep(AWAY_S / 2)
        store.come_back(copy)
        record.write(f"store    back at revision {copy[0]}, era {store.era}")
    acknowledged.wait()
    acknowledged_at = time.monotonic()
    record.write(f"operator version 7 acknowledged, it takes {TAKEN_KEY} away")
    time.sleep(0.5)
    record.write(f"store    at revision {store.revision}")
    return _judge(record, entry, replicas, acknowledged_at)


def _judge(record, entry, replicas, acknowledged_at) -> bool:
    number, late = 0, {}
    until = acknowledged_at + BOUND_S + SLACK_S + JUDGED_S
    while time.monotonic() < until:
        number += 1
        request_id = f"taken-{number}"
        sent_at = time.monotonic()
        status = send(record, entry.callers, "GET", "/look/1", request_id, TAKEN_KEY)
        if sent_at > acknowledged_at + BOUND_S + SLACK_S:
            late[request_id] = status
        send(record, entry.callers, "GET", "/look/1", f"kept-{number}", KEPT_KEY)
        time.sleep(0.25)
    ran = {request_id for replica in replicas for _, request_id, _ in replica.ran}
    broken = [request_id for request_id in late if request_id in ran]
    record.write(
        f"late     {len(late)} requests with the key taken away, {len(broken)} of them ran"
    )
    if not late:
        raise RuntimeError("no request was judged")
    return not broken


run_case(Path(__file__).resolve().parent, play)
