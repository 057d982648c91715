"""An entry whose open connections to the store go silent while a replica leaves."""

from __future__ import annotations

import http.client
import threading
import time
from contextlib import closing, suppress

import pytest

from hibiscustray.platform.standins import (
    KEY,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    make_configuration,
    read_readiness,
    respond_with_body,
)
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from tests.waiting import wait_until

READY_TIMEOUT_S = 40.0
DRAIN_S = 2.0
"""Time after a removal from which a replica gets no requests."""
CONTACT_S = 3.0
"""Time after lost connections from which an entry is in touch again."""
SLACK_S = 0.3
CALL_AGE_S = 0.7
"""Age of the call for the list of replicas when its connection is lost."""
LEAVE_S = 0.5
CALLERS = 6


class ObservedStore(StoreStandIn):
    """A store that tells when a call for changes of the list of replicas begins."""

    def __init__(self) -> None:
        self.call_begun = threading.Event()
        super().__init__()

    def handle_get(self, path: str) -> tuple[int, dict]:
        if "table=servers&sinceRev=" in path:
            self.call_begun.set()
        return super().handle_get(path)


def send(entry: EntryProgram, number: int) -> int:
    connection = http.client.HTTPConnection(entry.callers_address, timeout=5.0)
    with closing(connection):
        return call_entry(connection, "POST", "/book/1", b"x", f"a{number}", KEY, 2.5).status


def is_ready(entry: EntryProgram) -> bool:
    with suppress(OSError, http.client.HTTPException):
        return read_readiness(entry.readiness_address) == 200
    return False


@pytest.mark.parametrize("state", [LinkState.SILENCE, LinkState.RESET], ids=lambda s: s.value)
def test_replica_that_left_while_channels_were_lost_gets_no_requests_after_its_drain_time(
    state, tmp_path
):
    store = ObservedStore()
    store.put("op", "config", make_configuration(3))
    proxy = LoopbackProxy(store.address)
    replicas = [ReplicaStandIn(f"i-{n}", "booking", respond_with_body()) for n in range(3)]
    for replica in replicas:
        store.put("servers", replica.id, replica.make_row())
    entry = EntryProgram(0, proxy.address, tmp_path)
    try:
        entry.start()
        wait_until(lambda: is_ready(entry), READY_TIMEOUT_S)
        assert send(entry, 0) == 200
        store.call_begun.clear()
        assert store.call_begun.wait(READY_TIMEOUT_S)
        time.sleep(CALL_AGE_S)
        lost_at = time.monotonic()
        proxy.apply_state(state)
        time.sleep(LEAVE_S)
        store.remove("servers", replicas[0].id)
        left_at, received = time.monotonic(), len(replicas[0].received)
        judged_from = max(left_at + DRAIN_S, lost_at + CONTACT_S) + SLACK_S
        time.sleep(max(0.0, judged_from - time.monotonic()))
        assert [send(entry, n) for n in range(1, 1 + 3 * CALLERS)] == [200] * 3 * CALLERS
        assert len(replicas[0].received) == received
    finally:
        entry.kill()
        proxy.close()
        store.close()
        for replica in replicas:
            replica.close()
