"""Access: requests run only with an API key that is in force."""

import json

import pytest
from routing_fleet import configuration, running_fleet
from test_peer_state import two_routers

from wigeonwind.outcomes import Ok
from wigeonwind.platform.configuration import decode_configuration
from wigeonwind.soak.loopback_proxy import ProxyFault

KEY_HEADERS = [(), ("X-Api-Key: unknown",), ("X-Api-Key:",)]
"""Headers with a dropped key (the default of `call`), an unknown and an empty one."""


def decode(document):
    result = decode_configuration(json.dumps(document).encode())
    assert isinstance(result, Ok)
    return result.value


def configuration_without_tenants(version=1):
    document = configuration(version)
    del document["tenants"]
    return document


def wait_for_version(fleet, version):
    for router in fleet.routers:
        fleet.wait_for(
            lambda router=router: router.configuration.table.version == version
        )


@pytest.mark.parametrize("tenants", [[], None, [{"name": "mill", "api_keys": []}]])
def test_a_configuration_with_no_valid_key_needs_a_key(tenants):
    # Guards against an empty list of customers that is taken for a missing one.
    table = decode(configuration(tenants=tenants))
    assert table.needs_key
    assert not table.customer_by_key


def test_a_configuration_without_the_field_needs_no_key():
    # Guards against a configuration without customers that refuses all requests.
    assert not decode(configuration_without_tenants()).needs_key


def test_requests_need_no_key_without_the_field():
    # Guards against routers that refuse the requests of a deployment without keys.
    with running_fleet(workers=1, config=configuration_without_tenants()) as fleet:
        for headers in KEY_HEADERS:
            assert fleet.call("/safe/x", headers=headers).status == 200


def test_removal_of_the_last_customer_refuses_every_key():
    # Guards against an empty list of customers that switches API keys off, in each
    # router of a fleet and on connections that are open.
    with running_fleet(workers=1, routers=2) as fleet:
        assert fleet.call("/safe/x").status == 200
        fleet.store.put("config", "main", configuration(2, tenants=[]))
        wait_for_version(fleet, 2)
        received = fleet.received()
        for router in fleet.routers:
            for headers in KEY_HEADERS:
                for path in ("/safe/x", "/once/x", "/stream/x", "/resume/x"):
                    reply = fleet.call(path, headers=headers, router=router)
                    assert reply.status == 401
        assert fleet.received() == received
        assert fleet.call("/open/x").status == 200


def test_an_empty_list_of_customers_is_kept_after_a_return_of_the_store():
    # Guards against a store that returns from an older copy and lets dropped keys in.
    with running_fleet(workers=1, routers=2) as fleet:
        fleet.store.put("config", "main", configuration(2, tenants=[]))
        wait_for_version(fleet, 2)
        copy = fleet.store.state.copy()
        fleet.store.put("config", "main", configuration(3, tenants=[]))
        wait_for_version(fleet, 3)
        fleet.store.return_from(copy)
        added = fleet.add_router()
        fleet.wait_for(lambda: added.is_ready)
        for router in fleet.routers:
            assert fleet.call("/safe/x", router=router).status == 401


def test_an_empty_list_of_customers_comes_through_peers():
    # Guards against an empty list that is lost on its way from a peer to a process that
    # the store refuses.
    with two_routers() as (fleet, second, proxy):
        proxy.fault = ProxyFault.REFUSED
        proxy.reset_all()
        fleet.store.put("config", "main", configuration(2, tenants=[]))
        fleet.wait_for(lambda: second.configuration.table.version == 2)
        assert fleet.call("/safe/x", router=second).status == 401


def test_keys_are_valid_again_with_the_next_customer():
    # Guards against routers that refuse all keys after a list was empty once.
    with running_fleet(workers=1) as fleet:
        fleet.store.put("config", "main", configuration(2, tenants=[]))
        wait_for_version(fleet, 2)
        assert fleet.call("/safe/x").status == 401
        fleet.store.put("config", "main", configuration(3))
        wait_for_version(fleet, 3)
        assert fleet.call("/safe/x").status == 200


def test_an_empty_key_is_not_valid():
    # Guards against an empty string in the list of keys, with which requests run that
    # carry an empty header.
    tenants = [{"name": "mill", "api_keys": ["", "key-1"]}]
    with running_fleet(workers=1, config=configuration(tenants=tenants)) as fleet:
        assert fleet.call("/safe/x", headers=("X-Api-Key:",)).status == 401
        assert fleet.call("/safe/x").status == 200
