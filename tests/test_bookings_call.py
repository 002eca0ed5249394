"""Bookings over HTTP: replay, conflict, store failures, resolution of claims."""

from collections.abc import Iterator

import pytest
from entry_fakes import (
    EntryUnderTest,
    FakeSidecar,
    HttpResponse,
    respond_plain,
    respond_with_words,
)

from wigeonwind.links.messages import ClaimState, Refused, ResolveClaim, Submit
from wigeonwind.state.store_types import StoreFailure

LOST_RESPONSE = StoreFailure("lost", True)


@pytest.fixture
def entry() -> Iterator[EntryUnderTest]:
    running = EntryUnderTest()
    yield running
    running.role.stop()


def book(entry: EntryUnderTest, body: bytes = b"lot 7", key: str = "k") -> HttpResponse:
    headers = {"Idempotency-Key": key}
    return entry.call("POST", "/svc/spot-desk/lots", body, headers)


def test_retry_gets_the_recorded_response(entry: EntryUnderTest) -> None:
    # Guards against a second execution, and access to another caller's record.
    sidecar = entry.add_sidecar(respond_plain(201, b"lot 7 is yours"), "spot-desk")
    first = book(entry)
    again = book(entry)
    assert (first.status, first.headers.get("X-Booking-Replayed")) == (201, None)
    assert (again.status, again.body) == (201, first.body)
    assert again.headers["X-Booking-Replayed"] == "true"
    assert len(sidecar.submits) == 1 and sidecar.submits[0].claim_token
    conflict = book(entry, b"lot 8")
    assert (conflict.status, conflict.outcome) == (422, "not-run")
    headers = {"Idempotency-Key": "k", "X-Customer": "keyed"}
    assert entry.call("POST", "/svc/spot-desk/lots", b"", headers).status == 401


def test_store_outage_refuses_bookings_only(entry: EntryUnderTest) -> None:
    # Guards against a store outage that blocks requests which do not need the store.
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    entry.add_sidecar(respond_with_words("x"))
    entry.store.is_down = True
    refused = book(entry)
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert refused.headers["Retry-After"] == "2"
    assert sidecar.submits == []
    assert entry.call("POST", "/svc/spot-desk/lots", b"x").status == 200
    assert entry.chat().status == 200


def test_lost_store_responses_are_read_back(entry: EntryUnderTest) -> None:
    # Guards against treating a write as failed because the store's response was lost.
    sidecar = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    entry.store.failures = [LOST_RESPONSE, LOST_RESPONSE]
    assert book(entry).body == b"ok"
    assert book(entry).headers["X-Booking-Replayed"] == "true"
    assert len(sidecar.submits) == 1


def test_refused_booking_is_retried_at_another_endpoint(entry: EntryUnderTest) -> None:
    # Guards against failing a booking that another endpoint can run.
    def refuse_first(sidecar: FakeSidecar, submit: Submit) -> None:
        if len(entry.sidecars[0].submits) + len(entry.sidecars[1].submits) == 1:
            key = (submit.request_id, submit.attempt)
            sidecar.reply(Refused(*key, "overloaded", "full", 500.0))
        else:
            respond_plain(200, b"ok")(sidecar, submit)

    for _ in range(2):
        entry.add_sidecar(refuse_first, "spot-desk")
    assert book(entry).body == b"ok"
    tokens = [row.submits[0].claim_token for row in entry.sidecars]
    assert len(set(tokens)) == 2


@pytest.mark.parametrize(
    ("state", "status", "outcome", "runs"),
    [
        ("forbidden", 200, None, 2),
        ("done", 201, None, 1),
        ("running", 503, "unknown", 1),
        ("unknown", 503, "unknown", 1),
    ],
)
def test_retry_resolves_a_claim(
    entry: EntryUnderTest, state: str, status: int, outcome: str | None, runs: int
) -> None:
    # Guards against a retry that runs a booking whose first run is unresolved.
    def resolve(sidecar: FakeSidecar, query: ResolveClaim) -> None:
        # The incarnation lets a sidecar that has restarted refuse to resolve.
        assert query.target_incarnation == sidecar.hello.incarnation
        sidecar.reply(ClaimState(query.claim_token, state, 201, [], b"recorded"))

    def break_first(sidecar: FakeSidecar, submit: Submit) -> None:
        if len(sidecar.submits) > 1:
            respond_plain(200, b"ok")(sidecar, submit)
            return
        sidecar.break_link()
        sidecar.is_open = True
        entry.role.on_up(sidecar)

    sidecar = entry.add_sidecar(break_first, "spot-desk", on_resolve=resolve)
    first = book(entry)
    assert (first.status, first.outcome) == (503, "unknown")
    again = book(entry)
    assert (again.status, again.outcome) == (status, outcome)
    assert len(sidecar.submits) == runs


def test_other_incarnation_cannot_resolve(entry: EntryUnderTest) -> None:
    # Guards against a restarted sidecar that resolves a claim it has no record of.
    sidecar = entry.add_sidecar(
        lambda sidecar, submit: sidecar.break_link(), "spot-desk"
    )
    assert book(entry).outcome == "unknown"
    restarted = entry.add_sidecar(respond_plain(200, b"ok"), "spot-desk")
    fields = {**vars(sidecar.hello), "incarnation": 8}
    restarted.hello = type(sidecar.hello)(**fields)
    entry.role.on_up(restarted)
    assert book(entry).outcome == "unknown"
    assert restarted.submits == []


def test_large_response_is_recorded_without_body(entry: EntryUnderTest) -> None:
    # Guards against losing the booking because its record exceeds the store's limit.
    entry.add_sidecar(respond_plain(200, b"x" * 300_000), "spot-desk")
    assert len(book(entry).body) == 300_000
    again = book(entry)
    assert (again.status, again.body) == (200, b"")
    assert again.headers["X-Booking-Body"] == "not-recorded"
