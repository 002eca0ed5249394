"""Trace spans of the entry: parent, export and absence of API keys."""

import json
from pathlib import Path

from entry_fakes import KEY, EntryUnderTest, respond_with_words

from wigeonwind.clock import ManualClock
from wigeonwind.entry.metrics_sink import PrometheusSink
from wigeonwind.runtime.metrics import Metrics
from wigeonwind.runtime.tracing import PropagatingTracer, make_tracer
from wigeonwind.settings import TraceSettings

PARENT = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"


def test_span_continues_the_callers_trace(tmp_path: Path) -> None:
    # Guards against broken traces, and API keys in them.
    path = tmp_path / "spans.jsonl"
    tracer = make_tracer(TraceSettings(file=str(path)), "entry-1", "entry")
    entry = EntryUnderTest(tracer=tracer)
    sidecar = entry.add_sidecar(respond_with_words("x"))
    headers = {"traceparent": PARENT, "Authorization": f"Bearer {KEY}"}
    body = {"model": "barley-7b", "messages": [{"role": "user", "content": "x"}]}
    assert entry.call("POST", "/v1/chat/completions", body, headers).status == 200
    entry.role.stop()
    tracer.shutdown()
    span = json.loads(path.read_text())
    assert span["parent_id"] == "0x0123456789abcdef"
    assert span["attributes"]["outcome"] == "whole"
    sent = sidecar.submits[0].traceparent.split("-")
    assert sent[1] == PARENT.split("-")[1]
    assert "0x" + sent[2] == span["context"]["span_id"]
    assert KEY not in path.read_text()


def test_unsampled_spans_are_not_written(tmp_path: Path) -> None:
    # Guards against ignoring the `sample` setting.
    path = tmp_path / "spans.jsonl"
    settings = TraceSettings(file=str(path), sample=0.0)
    tracer = make_tracer(settings, "entry-1", "entry")
    tracer.start_span("entry", "", {}).end({})
    tracer.start_span("entry", "malformed", {}).end({})
    tracer.shutdown()
    assert path.read_text() == ""


def test_without_exporter_the_parent_is_passed_on() -> None:
    # Guards against a trace that ends at an entry without an exporter.
    tracer = make_tracer(TraceSettings(), "entry-1", "entry")
    assert isinstance(tracer, PropagatingTracer)
    assert tracer.start_span("entry", PARENT, {}).traceparent == PARENT


def test_sink_separates_metrics_by_labels() -> None:
    # Guards against counters with different labels that share one value.
    sink = PrometheusSink(Metrics(ManualClock()))
    sink.count("entry_refused", {"code": "overloaded"}, 2)
    sink.count("entry_refused", {"code": "draining"})
    sink.count("entry_cancelled", {})
    sink.observe_ms("entry_whole", {"service": "s", "class": "lot-desk"}, 5.0)
    text = sink.render().decode()
    assert 'wigeonwind_entry_refused_total{code="overloaded"} 2.0' in text
    assert 'wigeonwind_entry_refused_total{code="draining"} 1.0' in text
    assert "wigeonwind_entry_cancelled_total 1.0" in text
    assert "wigeonwind_entry_whole_lot_desk_ms_count 1" in text
