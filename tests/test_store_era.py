"""A store that returns from a copy some seconds old, with lower revisions."""

import json
from random import Random
from urllib.request import Request, urlopen

import pytest

from wigeonwind.clock import SystemClock
from wigeonwind.outcomes import Ok
from wigeonwind.platform.__main__ import STORE_LIMITS
from wigeonwind.platform.store_format import PlatformStoreFormat
from wigeonwind.standins.platform_store import PlatformStore
from wigeonwind.state.store_client import StoreClient
from wigeonwind.state.store_types import UNKNOWN_ERA, HistoryExpired


@pytest.fixture
def store():
    platform_store = PlatformStore()
    yield platform_store
    platform_store.stop()


def client_of(platform_store):
    format = PlatformStoreFormat()
    address, rng = platform_store.address, Random(1)
    return StoreClient(address, STORE_LIMITS, SystemClock(), rng, format=format)


def test_store_double_gives_revisions_out_again(store):
    # Guards against a double that keeps what a return from a copy loses.
    client = client_of(store)
    store.put("k", "kept", 1)
    copy = store.state.copy()
    lost_revision = store.put("k", "lost", 2)
    listed = client.list_objects("k/")
    assert isinstance(listed, Ok)
    assert (listed.value.era, listed.value.revision) == (1, lost_revision)
    store.return_from(copy)
    expired = client.watch("k/", lost_revision, 10.0)
    assert expired == HistoryExpired(lost_revision, era=2)
    assert store.put("k", "new", 3) == lost_revision
    listed = client.list_objects("k/")
    assert [each.key for each in listed.value.objects] == ["k/kept", "k/new"]
    assert (listed.value.era, listed.value.revision) == (2, lost_revision)
    assert client.watch("k/", lost_revision, 10.0).value.events == ()


def test_store_double_states_its_era_in_every_response(store):
    # Guards against an era that failures and conflicts do not state.
    host = f"http://127.0.0.1:{store.address.port}"
    store.put("k", "a", 1)
    body = json.dumps({"metadata": {"name": "a"}, "spec": 1}).encode()
    for request in (
        Request(f"{host}/api/objects/k"),
        Request(f"{host}/api/objects/k/none"),
        Request(f"{host}/api/objects/k", body, method="POST"),
    ):
        try:
            response = urlopen(request, timeout=5)
        except OSError as error:
            response = error
        assert response.headers["Store-Era"] == "1"


@pytest.mark.parametrize("header", [None, "", "x", "-3", "1.5", "٣", "9" * 40])
def test_era_that_is_no_number_is_unknown(store, header, monkeypatch):
    # Guards against a response that is lost because its era cannot be read.
    store.states_era = False
    if header is not None:
        monkeypatch.setattr(store, "_respond", responder(header))
    listed = client_of(store).list_objects("k/")
    assert listed.value.era == UNKNOWN_ERA


def responder(era):
    def respond(start, status, document):
        body = json.dumps(document).encode()
        start(f"{status} x", [("Store-Era", era.encode().decode("latin-1"))])
        return [body]

    return respond
