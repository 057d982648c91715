"""Entries and agents whose open connections to the store go silent while a change is made."""

from __future__ import annotations

import http.client
import threading
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from dataclasses import dataclass

import pytest

from hibiscustray.composition import build_hosted_agent
from hibiscustray.platform.standins import (
    KEY,
    ReplicaStandIn,
    StoreStandIn,
    call_entry,
    make_configuration,
    read_readiness,
    respond_with_body,
)
from hibiscustray.settings import (
    HostedProcess,
    HostedSettings,
    HostedStore,
    HostedUpstream,
)
from hibiscustray.soak.programs import EntryProgram
from hibiscustray.soak.proxy import LinkState, LoopbackProxy
from hibiscustray.telemetry import Metrics
from tests.waiting import wait_until

READY_TIMEOUT_S = 40.0
DRAIN_S = 2.0
"""Time after a removal from which a replica gets no requests."""
APPLY_S = 2.0
"""Time after a configuration is acknowledged from which it is in force."""
CONTACT_S = 3.0
"""Time after lost connections from which a VM is in touch again."""
VERSION_S = 8.0
"""Time after which new weights are required, by default."""
NOTICE_SHARE = 0.6
"""Share of it in which an agent knows of them, so that it can load them in the rest."""
SLACK_S = 0.3
CALL_AGES_S = (0.05, 0.3, 0.7, 1.3)
"""Ages of the call for changes when its connection is lost."""
CHANGE_S = 0.5
CALLERS = 6
STATES = [LinkState.SILENCE, LinkState.RESET]


class ObservedStore(StoreStandIn):
    """A store that tells when a call for changes of a table begins."""

    def __init__(self) -> None:
        self.watched = ""
        self.call_begun = threading.Event()
        super().__init__()

    def handle_get(self, path: str) -> tuple[int, dict]:
        if self.watched and f"table={self.watched}&sinceRev=" in path:
            self.call_begun.set()
        return super().handle_get(path)

    def wait_for_call(self, table: str, age_s: float) -> None:
        """Wait until a call for a table's changes that begins from now on has an age."""
        self.watched = table
        self.call_begun.clear()
        assert self.call_begun.wait(READY_TIMEOUT_S)
        time.sleep(age_s)


@dataclass
class SilentSite:
    """An entry with replicas, whose connections to the store can be lost."""

    store: ObservedStore
    proxy: LoopbackProxy
    entry: EntryProgram
    replicas: list[ReplicaStandIn]

    def send(self, number: int) -> int:
        connection = http.client.HTTPConnection(self.entry.callers_address, timeout=5.0)
        with closing(connection):
            return call_entry(connection, "POST", "/book/1", b"x", f"a{number}", KEY, 2.5).status

    def is_ready(self) -> bool:
        with suppress(OSError, http.client.HTTPException):
            return read_readiness(self.entry.readiness_address) == 200
        return False


@contextmanager
def run_silent_site(folder) -> Iterator[SilentSite]:
    store = ObservedStore()
    store.put("op", "config", make_configuration(3))
    proxy = LoopbackProxy(store.address)
    replicas = [ReplicaStandIn(f"i-{n}", "booking", respond_with_body()) for n in range(3)]
    for replica in replicas:
        store.put("servers", replica.id, replica.make_row())
    site = SilentSite(store, proxy, EntryProgram(0, proxy.address, folder), replicas)
    try:
        site.entry.start()
        wait_until(site.is_ready, READY_TIMEOUT_S)
        assert site.send(0) == 200
        yield site
    finally:
        site.entry.kill()
        proxy.close()
        store.close()
        for replica in replicas:
            replica.close()


def sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


# Guards against requests at a replica that left while the call for the list of replicas was silent:
# the longest wait of a call and its margin were longer than the contact time.
@pytest.mark.parametrize("age_s", CALL_AGES_S)
@pytest.mark.parametrize("state", STATES, ids=lambda s: s.value)
def test_replica_that_left_while_channels_were_lost_gets_no_requests_after_its_drain_time(
    state, age_s, tmp_path
):
    with run_silent_site(tmp_path) as site:
        site.store.wait_for_call("servers", age_s)
        lost_at = time.monotonic()
        site.proxy.apply_state(state)
        time.sleep(CHANGE_S)
        site.store.remove("servers", site.replicas[0].id)
        left_at, received = time.monotonic(), len(site.replicas[0].received)
        sleep_until(max(left_at + DRAIN_S, lost_at + CONTACT_S) + SLACK_S)
        assert [site.send(n) for n in range(1, 1 + 3 * CALLERS)] == [200] * 3 * CALLERS
        assert len(site.replicas[0].received) == received


# Guards against requests with a key that was taken away while the call for the configuration was
# silent; the same cause as above.
@pytest.mark.parametrize("age_s", CALL_AGES_S)
@pytest.mark.parametrize("state", STATES, ids=lambda s: s.value)
def test_key_that_was_taken_away_while_channels_were_lost_is_refused_after_the_contact_time(
    state, age_s, tmp_path
):
    with run_silent_site(tmp_path) as site:
        site.store.wait_for_call("op", age_s)
        lost_at = time.monotonic()
        site.proxy.apply_state(state)
        time.sleep(CHANGE_S)
        site.store.publish(5, ["another"])
        sleep_until(max(time.monotonic() + APPLY_S, lost_at + CONTACT_S) + SLACK_S)
        assert [site.send(n) for n in range(1, 1 + CALLERS)] == [401] * CALLERS


# Guards against agents that learn of new weights too late to load them within the version bound:
# their calls waited longer than that allows.
@pytest.mark.parametrize("age_s", CALL_AGES_S)
def test_agent_knows_weights_named_in_a_silence_within_its_share_of_the_version_bound(age_s):
    store = ObservedStore()
    store.put("op", "config", make_configuration(3))
    proxy = LoopbackProxy(store.address)
    agent = build_hosted_agent(
        HostedSettings(
            process=HostedProcess("side-1", "z1", "r1", "127.0.0.1", 0, 0),
            store=HostedStore(proxy.address, wait_s=8.0, list_pause_s=3.0),
            regions={"z1": "r1"},
            upstream=HostedUpstream("127.0.0.1:9", "guide"),
        ),
        Metrics("side-1"),
    )
    agent.start()
    versions = agent._stager._versions
    try:
        store.wait_for_call("hibiscustray", age_s)
        lost_at = time.monotonic()
        proxy.apply_state(LinkState.SILENCE)
        time.sleep(CHANGE_S)
        store.set_target_version(2)
        store.put("hibiscustray", "version/m", b"2")
        sleep_until(lost_at + NOTICE_SHARE * VERSION_S + SLACK_S)
        assert versions.find_newest("m") == 2
    finally:
        agent.stop()
        proxy.close()
        store.close()
