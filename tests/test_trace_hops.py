"""Spans of all hops, and the command that shows them."""

import json
from pathlib import Path

import pytest
from sidecar_fakes import SidecarHarness
from test_end_to_end import book
from test_entry_tracing import PARENT

from wigeonwind.links.messages import Finished
from wigeonwind.runtime.demo import CONFIGURATION_PATH, start_fleet
from wigeonwind.runtime.tracing import PropagatingTracer, make_tracer
from wigeonwind.settings import TraceSettings
from wigeonwind.tool.main import run
from wigeonwind.tool.trace_command import format_span_tree, read_spans


@pytest.mark.parametrize("kind", ["model", "plain"])
def test_sidecar_continues_the_trace_to_its_endpoint(kind, tmp_path):
    # Guards against a trace that ends at the entry or lacks the queueing time.
    path = tmp_path / "spans.jsonl"
    harness = SidecarHarness(kind)
    tracer = make_tracer(TraceSettings(file=str(path)), "side-1", "side")
    harness.sidecar._runner._tracer = tracer
    harness.submit(traceparent=PARENT)
    harness.link.wait_for(Finished)
    harness.close()
    tracer.shutdown()
    spans = {span.name: span for span in read_spans(path.read_text().splitlines())}
    assert spans["sidecar"].parent_id == PARENT.split("-")[2]
    assert spans["endpoint"].parent_id == spans["sidecar"].span_id
    assert spans["sidecar"].attributes["outcome"] == "finished"
    received = [
        fields for _, url, fields, _ in harness.endpoint.requests if url != "/load"
    ]
    assert received[0]["traceparent"].split("-")[1:3] == [
        PARENT.split("-")[1],
        spans["endpoint"].span_id,
    ]


def test_a_malformed_parent_is_not_forwarded():
    # Guards against header injection from callers to endpoints.
    for value in ("x", PARENT + "\r\nX-Own: 1", PARENT + "\n", PARENT.upper()[:-2]):
        assert PropagatingTracer().start_span("entry", value, {}).traceparent == ""


def test_the_trace_command_shows_a_booking_as_a_tree(
    tmp_path: Path, monkeypatch, capsys
):
    # Guards against missing hops and hops below a wrong parent.
    path = tmp_path / "spans.jsonl"
    traced = TraceSettings(file=str(path))
    monkeypatch.setattr(
        "wigeonwind.runtime.process.make_tracer",
        lambda _, name, role: make_tracer(traced, name, role),
    )
    fleet = start_fleet(CONFIGURATION_PATH.read_text())
    try:
        response, _ = book(fleet, "traced")
    finally:
        fleet.stop()
    assert response.status_code == 200
    request_id = response["X-Request-Id"]
    capsys.readouterr()
    assert run(["trace", str(path), f"--request={request_id}"]) == 0
    lines = capsys.readouterr().out.splitlines()[2:]
    hops = [line[23:].split()[0] for line in lines]
    assert hops == ["entry", "store.put", "sidecar", "endpoint", "store.put"]
    depths = [len(line[23:]) - len(line[23:].lstrip()) for line in lines]
    assert depths == [0, 2, 2, 4, 2]
    assert run(["trace", str(path), "--request=nothing"]) == 1
    assert run(["trace", str(path)]) == 2


def test_a_cycle_of_spans_and_truncated_lines_are_skipped():
    # Guards against an endless loop on spans whose parents form a cycle, and against an
    # error on truncated lines; a corrupted file may have both.
    span = {"name": "a", "start_time": "2026-01-01T00:00:00.000000Z"}
    span |= {"end_time": "2026-01-01T00:00:01.000000Z", "parent_id": "0x2"}
    span["context"] = {"trace_id": "0x1", "span_id": "0x2"}
    lines = [json.dumps(span), json.dumps(span)[:40], "[]", "null"]
    rows = list(read_spans(lines))
    assert len(rows) == 1 and rows[0].duration_us == 1_000_000
    assert list(format_span_tree(rows)) == []
