"""The platform's store comes back from a copy: what it loses must not be missed."""

from __future__ import annotations

import pytest

from hibiscustray.platform.standins import StoreStandIn, make_configuration, respond_with_body
from tests.platform.site import run_hosted_site
from tests.waiting import wait_until

APPLY_S = 2.0
"""The platform's bound for a configuration to be in force."""
TEAM = {"name": "hosts", "keys": ["kept", "taken"]}


def copy_store(store: StoreStandIn) -> tuple:
    """Return what `restore` takes."""
    return dict(store._rows), list(store._history), store._revision


def restore(store: StoreStandIn, copy: tuple) -> None:
    """Let a store come back from a copy in its next era."""
    with store._changed:
        store._rows, store._history, store._revision = dict(copy[0]), list(copy[1]), copy[2]
        store.era += 1
        store._changed.notify_all()


# Guards against a configuration that is never read, as the store gives its revision out again
# after it has come back from a copy.
@pytest.mark.parametrize(("lost", "era"), [(1, 1), (2, 1), (5, 1), (1, 0), (5, 0)])
def test_configuration_is_not_missed_whose_revision_was_given_out_before(lost, era):
    with run_hosted_site(era=era) as site:
        site.configure(3, tenants=[TEAM])
        site.add_replica("booking", respond_with_body())
        copy = copy_store(site.store)
        for version in range(4, 4 + lost):
            site.configure(version, tenants=[TEAM])
        site.store.error_status = 503
        wait_until(lambda: site.process._followers[0]._outage_started_at is not None)
        restore(site.store, copy)
        for version in range(4, 4 + lost):
            site.store.put("op", "config", make_configuration(version, tenants=[TEAM]))
        tenants = [{"name": "hosts", "keys": ["kept"]}]
        site.store.put("op", "config", make_configuration(20, tenants=tenants))
        for number in range(20):
            site.store.put("elsewhere", str(number), {})
        site.store.error_status = 0
        wait_until(lambda: site.process._catalogs.current.revision == 20, APPLY_S)
        authorization = {"Authorization": "Bearer taken"}
        assert site.call("GET", "/book/look/1", **authorization)[0].status == 401
        site.configure(21, tenants=tenants)


# Guards against requests at a replica that left, whose row is back as the store came back from a
# copy; the entry is bound by what it has read (DRAIN).
@pytest.mark.parametrize("is_announced", [True, False])
def test_replica_that_left_before_the_restore_gets_no_requests(is_announced):
    with run_hosted_site(era=0) as site:
        left = site.add_replica("booking", respond_with_body(Server_Leaving="1"), sequence=4)
        site.add_replica("booking", respond_with_body(), sequence=4)
        copy = copy_store(site.store)
        if is_announced:
            site.update_replica(left, state="draining", sequence=5)
        else:
            site.store.remove("servers", left.id)
            wait_until(lambda: site.process._directory.get(left.id) is None)
        restore(site.store, copy)
        site.add_replica("booking", respond_with_body())
        for _ in range(30):
            assert site.call("POST", "/book/1", b"x")[0].status == 200
        assert not [request for request in left.received if request.path != "/health"]
