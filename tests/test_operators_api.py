"""The operators' API: acceptance, conflicts, invalid input, outages and the key."""

import io
import json
from typing import Any

from test_configuration_parse import GOOD

from wigeonwind.runtime.operators_api import OperatorsApi
from wigeonwind.state.configuration_replica import ConfigurationReplica
from wigeonwind.state.memory_store import MemoryStore

EDITED = GOOD.replace("weight = 2", "weight = 3")
OTHER = GOOD.replace("min_share = 5%", "min_share = 10%")


class Entry:
    """An entry with a store, called without a socket."""

    def __init__(self, store: MemoryStore, key: str = "") -> None:
        self.store = store
        self.replica = ConfigurationReplica(lambda message: None)
        self.confirmed: list[int] = []
        self.api = OperatorsApi(
            self.replica, store, self._confirm, dict, lambda ms: None, key
        )

    def _confirm(self, version: int, timeout_ms: float) -> list[str]:
        assert self.replica.version >= version
        self.confirmed.append(version)
        return ["tartu-a"]

    def call(self, method: str, path: str, fields: Any = None, key: str = "") -> Any:
        body = json.dumps(fields).encode() if fields is not None else b""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "HTTP_AUTHORIZATION": f"Bearer {key}",
        }
        statuses: list[str] = []
        data = self.api(environ, lambda status, headers: statuses.append(status))
        return int(statuses[0][:3]), json.loads(b"".join(data))

    def submit(self, base: int, submission: str, source: str) -> Any:
        fields = {"base_version": base, "submission_id": submission, "source": source}
        return self.call("PUT", "/admin/text", fields)


def test_an_accepted_configuration_is_confirmed_before_the_response():
    entry = Entry(MemoryStore())
    response = entry.submit(0, "s1", GOOD)
    assert response == (200, {"version": 1, "confirmed_zones": ["tartu-a"]})
    assert entry.confirmed == [1]
    status, shown = entry.call("GET", "/admin/text")
    assert (shown["version"], shown["submission_id"]) == (1, "s1")
    assert shown["source"] == GOOD


def test_a_conflict_shows_what_the_other_operator_changed():
    store = MemoryStore()
    first, second = Entry(store), Entry(store)
    first.submit(0, "s1", GOOD)
    second.replica.offer(1, GOOD)
    first.submit(1, "s2", OTHER)
    status, fields = second.submit(1, "s3", EDITED)
    assert (status, fields["version"], fields["source"]) == (409, 2, OTHER)
    assert fields["changes"] == [
        "Class chat of wigeon-llm: min_share changes from 5% to 10%."
    ]
    assert second.replica.version == 2


def test_problems_are_returned_and_nothing_is_written():
    entry = Entry(MemoryStore())
    status, fields = entry.submit(0, "s1", GOOD.replace("weight = 2", "weight = 0"))
    assert status == 422
    assert fields["problems"][0]["line"] == 37
    assert entry.store.count_by_kind == {}


def test_a_check_shows_the_changes_of_an_edit_by_customer():
    entry = Entry(MemoryStore())
    entry.submit(0, "s1", GOOD)
    source = EDITED.replace("KEY", "b").replace("a" * 64, "b" * 64)
    status, fields = entry.call("POST", "/admin/text/check", {"source": source})
    assert (status, fields["problems"]) == (200, [])
    assert fields["changes"] == [
        "Customer tartu-maltsters: weight changes from 2 to 3.",
        "Customer tartu-maltsters: 1 API key(s) added.",
        "Customer tartu-maltsters: 1 API key(s) removed.",
    ]
    assert entry.replica.version == 1


def test_an_outage_returns_the_submission_id_for_a_retry():
    entry = Entry(MemoryStore())
    entry.store.faults.fail_before = 99
    status, fields = entry.submit(0, "s1", GOOD)
    assert (status, fields["maybe_accepted"], fields["submission_id"]) == (
        503,
        True,
        "s1",
    )
    assert entry.replica.version == 0
    entry.store.faults.fail_before = 0
    assert entry.submit(0, "s1", GOOD)[0] == 200


def test_the_operators_key_is_required_if_one_is_set():
    entry = Entry(MemoryStore(), key="secret")
    assert entry.call("GET", "/admin/text", key="wrong")[0] == 401
    assert entry.call("GET", "/admin/text", key="secret")[0] == 200


def test_an_invalid_request_is_rejected_with_a_message():
    entry = Entry(MemoryStore())
    status, fields = entry.call("PUT", "/admin/text", {"source": GOOD})
    assert status == 400
    assert "base_version" in fields["error"]["message"]
    assert entry.call("DELETE", "/admin/text")[0] == 405
    assert entry.call("GET", "/admin/other")[0] == 404
