"""Store client and submit protocol tests against the object store test double."""

from collections.abc import Iterator
from random import Random
from typing import Any

import pytest
from test_configuration_parse import GOOD
from test_configuration_store import EDITED, large_source

from wigeonwind.addresses import SocketAddress
from wigeonwind.links.codec import decode, encode
from wigeonwind.links.messages import TextChange
from wigeonwind.outcomes import Ok
from wigeonwind.standins.faults import LoseAnswers, Outage
from wigeonwind.standins.object_store_server import ObjectStoreServer
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.configuration_sections import split_configuration
from wigeonwind.state.configuration_store import Accepted, SubmitConflict, submit_steps
from wigeonwind.state.configuration_watcher import ConfigurationWatcher
from wigeonwind.state.store_client import StoreClient
from wigeonwind.state.store_steps import run_steps
from wigeonwind.state.store_types import Conflict, StoreFailure


@pytest.fixture
def server() -> Iterator[ObjectStoreServer]:
    store_server = ObjectStoreServer(SocketAddress("127.0.0.1", 0))
    store_server.start()
    yield store_server
    store_server.stop()


def submit(
    client: StoreClient, base_version: int, submission_id: str, source: str
) -> Any:
    steps = submit_steps(
        base_version, submission_id, split_configuration(source).sections
    )
    return run_steps(steps, client, lambda ms: None)


def test_a_submission_is_resolved_after_a_lost_store_response(
    server: ObjectStoreServer,
):
    client = StoreClient(server.address, random=Random(1))
    assert submit(client, 0, "s1", GOOD) == Accepted(1)
    server.faults.switch_on(LoseAnswers(count=1))
    assert submit(client, 1, "s2", EDITED) == Accepted(2)
    assert submit(client, 1, "s3", GOOD) == SubmitConflict(2, EDITED)
    stored = server.store.peek("text/head")
    assert stored is not None
    assert stored.version == 2


def test_a_watcher_reads_a_configuration_stored_in_parts(server: ObjectStoreServer):
    client = StoreClient(server.address, random=Random(1))
    submit(client, 0, "s1", large_source(600))
    replica = ConfigurationReplica(lambda message: None)
    watcher = ConfigurationWatcher(client, replica, Random(1), lambda ms: None)
    watcher.watch_step()
    assert replica.source == large_source(600)


def test_an_outage_is_not_reported_as_a_conflict_or_a_missing_object(
    server: ObjectStoreServer,
):
    client = StoreClient(server.address, random=Random(1))
    server.faults.switch_on(Outage())
    assert isinstance(client.put("k", b"v", 0), StoreFailure)
    server.faults.clear()
    assert client.put("k", b"v", 0) == Ok(1)
    assert client.delete("k", 5) == Conflict("k", 1)
    assert client.list_versions("k") == Ok({"k": 1})


def test_an_added_section_keeps_its_position_when_encoded():
    # Guards against a codec that drops the third item of a row, the position.
    change = TextChange(1, 2, [["b", "[b]\n", "a"]], [], "d", 1, 2)
    assert decode(encode(change)) == change
