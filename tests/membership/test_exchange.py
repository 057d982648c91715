"""Membership of several processes over real sockets: joins, leaves, partitions and syncs."""

from __future__ import annotations

import time
import uuid
from functools import partial

import pytest

from hibiscustray.benchmarks.configuration_fleet import NodeFleet
from hibiscustray.deployments import Deployment, RevisionStore, Team, render_deployment
from hibiscustray.exceptions import NoConfiguration
from hibiscustray.membership import list_processes, push_revision, spread_revision
from hibiscustray.membership.exchange import find_sync_interval
from hibiscustray.peers import PeerPool
from hibiscustray.peers.messages import DEAD, LEAVING, LIVE
from hibiscustray.protocols import Table, VmList
from hibiscustray.settings import MembershipSettings
from tests import waiting

FLEET_SIZE = 8
TABLE_TIMEOUT_S = 2.0
wait_until = partial(waiting.wait_until, timeout_s=20.0)
FAST = MembershipSettings(
    heartbeat_s=0.1,
    suspect_after_s=0.6,
    list_interval_s=0.5,
    poll_interval_s=0.1,
    isolation_grace_s=1.0,
)


def accept(fleet: NodeFleet, team: str, expected: int):
    """Accept a revision in the store without pushing it to any process."""
    store = RevisionStore(Table(fleet.platform.url, TABLE_TIMEOUT_S))
    text = render_deployment(Deployment("test", teams=(Team(team),)))
    return store.accept(text, "ana", expected, uuid.uuid4().hex)


def has_converged(fleet: NodeFleet) -> bool:
    nodes = fleet.list_nodes()
    return all(n.view.count() == len(nodes) and n.configuration.is_justified() for n in nodes)


def list_active_numbers(fleet: NodeFleet) -> set[int]:
    return {node.configuration.number for node in fleet.list_nodes()}


@pytest.fixture
def fleet():
    fleet = NodeFleet(FLEET_SIZE, seed=1, settings=FAST)
    fleet.start()
    accept(fleet, "first", 0)
    wait_until(lambda: has_converged(fleet))
    yield fleet
    fleet.stop()


def test_revision_pushed_before_store_outage_becomes_active_everywhere(fleet):
    nodes = fleet.list_nodes()
    for node in nodes[1:]:
        node.pause()
    revision = accept(fleet, "second", 1)
    fleet.platform.set_faults(is_store_down=True)
    peers = PeerPool()
    assert push_revision(revision, [nodes[0].server.address], peers) == (nodes[0].server.address,)
    peers.close()
    for node in nodes[1:]:
        node.resume()
    wait_until(lambda: list_active_numbers(fleet) == {2})


def test_process_restarted_during_store_outage_gets_revision_from_peers(fleet):
    fleet.platform.set_faults(is_store_down=True)
    fleet.restart("node-0003")
    restarted = next(n for n in fleet.list_nodes() if n.id == "node-0003")
    wait_until(restarted.configuration.is_justified)
    assert restarted.configuration.number == 1


def test_stale_store_reads_do_not_revert_any_process(fleet):
    spread_revision(
        accept(fleet, "second", 1), VmList(fleet.platform.url, TABLE_TIMEOUT_S), PeerPool()
    )
    wait_until(lambda: list_active_numbers(fleet) == {2})
    fleet.platform.set_faults(stale_read_s=3600.0)
    fleet.restart("node-0002")
    wait_until(lambda: has_converged(fleet))
    assert list_active_numbers(fleet) == {2}
    assert fleet.reverted == 0


def test_isolated_process_stops_serving_until_reconnected(fleet):
    node = fleet.list_nodes()[0]
    table = fleet.platform
    fleet.partitions.isolate(node.server.address)
    table.set_faults(is_store_down=True)
    wait_until(lambda: not node.configuration.is_justified())
    others = [n for n in fleet.list_nodes() if n is not node]
    assert all(other.configuration.is_justified() for other in others)
    fleet.partitions.reconnect(node.server.address)
    wait_until(node.configuration.is_justified)


def test_planned_stop_reaches_every_process_during_store_outage(fleet):
    fleet.platform.set_faults(is_store_down=True)
    leaver, *others = fleet.list_nodes()
    leaver.view.update_own(status=LEAVING)
    leaver.exchange.trigger_heartbeat()
    wait_until(lambda: all(o.view.get(leaver.id).status == LEAVING for o in others))


def test_partitioned_regions_mark_each_other_dead_and_rejoin(fleet):
    fleet.platform.set_faults(is_store_down=True)
    fleet.partitions.blocked_directions = frozenset(
        (a, b) for a in fleet.regions for b in fleet.regions if a != b and "akl" in (a, b)
    )
    near, far = fleet.list_nodes()[:2]
    assert (near.view.own.region, far.view.own.region) == ("akl", "wlg")
    wait_until(lambda: near.view.get(far.id).status == DEAD)
    wait_until(lambda: far.view.get(near.id).status == DEAD)
    fleet.partitions.blocked_directions = frozenset()
    fleet.platform.set_faults(is_store_down=False)
    wait_until(lambda: has_converged(fleet))
    assert near.view.get(far.id).status == LIVE


def test_one_way_partition_marks_no_member_dead(fleet):
    fleet.partitions.blocked_directions = frozenset({("akl", "wlg")})
    revision = accept(fleet, "second", 1)
    spread_revision(revision, VmList(fleet.platform.url, TABLE_TIMEOUT_S), PeerPool())
    wait_until(lambda: list_active_numbers(fleet) == {2})
    time.sleep(4 * FAST.suspect_after_s)
    statuses = {m.status for n in fleet.list_nodes() for m in n.view.members()}
    assert DEAD not in statuses
    assert all(node.view.count() == FLEET_SIZE for node in fleet.list_nodes())


def test_process_without_store_or_peer_evidence_has_no_configuration():
    fleet = NodeFleet(1, seed=1, settings=FAST)
    fleet.start()
    try:
        (node,) = fleet.list_nodes()
        assert not node.configuration.is_justified()
        with pytest.raises(NoConfiguration):
            _ = node.configuration.deployment
    finally:
        fleet.stop()


def test_process_list_includes_members_missing_from_platform_list(fleet):
    fleet.platform.remove_vm("node-0001")
    peers = PeerPool()
    found = list_processes(VmList(fleet.platform.url, TABLE_TIMEOUT_S), peers)
    peers.close()
    assert sorted(found) == [node.id for node in fleet.list_nodes()]


def test_sync_interval_grows_with_fleet_up_to_limit():
    assert find_sync_interval(2) == 1.0
    assert find_sync_interval(12) == 2.4
    assert find_sync_interval(1110) == 15.0


def test_changed_serving_digest_reaches_every_process(fleet):
    swapped, *others = fleet.list_nodes()
    swapped.view.update_own(serving="a" * 64)
    swapped.exchange.trigger_heartbeat()
    wait_until(lambda: {o.view.get(swapped.id).serving for o in others} == {"a" * 64})
