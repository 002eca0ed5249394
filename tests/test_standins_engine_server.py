"""Engine test double over HTTP: responses, streams, control and faults."""

import json
import socket
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, IncompleteRead, RemoteDisconnected

import gevent
import pytest
from xxhash import xxh64

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import ManualClock
from wigeonwind.entry.openai_request import prefix_keys as entry_prefix_keys
from wigeonwind.outcomes import Ok
from wigeonwind.standins.answer_text import (
    AnswerMismatch,
    answer_text,
    check_complete_answer,
    check_partial_answer,
    prefix_keys,
)
from wigeonwind.standins.engine_server import EngineServer
from wigeonwind.standins.engine_types import EngineConfig

ANY_PORT = SocketAddress("127.0.0.1", 0)
CONFIG = EngineConfig(slots=4, report_lag_ms=0.0, event_lag_ms=0.0)


@contextmanager
def running(speed=100.0, config=CONFIG, clock=None):
    server = EngineServer(ANY_PORT, config, speed, clock=clock)
    server.start()
    try:
        yield server
    finally:
        server.stop()


def connect(server, timeout_s=5.0):
    address = server.address
    return HTTPConnection(address.host, address.port, timeout=timeout_s)


def call_api(server, method, path, body=None):
    connection = connect(server)
    connection.request(method, path, json.dumps(body) if body is not None else None)
    reply = connection.getresponse()
    content = reply.read()
    connection.close()
    return reply.status, json.loads(content)


def open_stream(server, prompt, **fields):
    connection = connect(server)
    body = {"prompt": prompt, "stream": True, **fields}
    connection.request("POST", "/v1/completions", json.dumps(body))
    return connection, connection.getresponse()


def event_data(reply):
    """Yield the data of each event of an event stream."""
    for line in reply:
        if line.startswith(b"data: "):
            yield line[6:].strip().decode()


def complete_stream(server, prompt, **fields):
    """Read a complete stream; return (text, last event, events)."""
    connection, reply = open_stream(server, prompt, **fields)
    events = list(event_data(reply))
    connection.close()
    assert events.pop() == "[DONE]"
    parsed = [json.loads(event) for event in events]
    text = "".join(event["choices"][0]["text"] for event in parsed)
    return text, parsed[-1], parsed


def advance_engine(server, clock, duration_ms):
    """Advance the manual clock of the engine and let the engine catch up."""
    clock.advance(duration_ms)
    server.wake()


def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        gevent.sleep(0.005)
    raise AssertionError("condition did not become true within 2.5 s")


def test_the_answer_is_the_documented_function_of_the_prompt():
    prompt = "brewing quality, ভুট্টা len=3"
    digits = [xxh64(f"{prompt}:{i}".encode()).hexdigest()[:8] for i in range(3)]
    assert answer_text(prompt) == " ".join(f"w{i}-{d}" for i, d in enumerate(digits))


@pytest.mark.parametrize("damage", [
    lambda tokens: tokens[:-1],
    lambda tokens: tokens + tokens[-1:],
    lambda tokens: [tokens[1], tokens[0], *tokens[2:]],
    lambda tokens: tokens[:2] + tokens[3:],
    lambda tokens: [tokens[0][:-1] + "x", *tokens[1:]],
])  # fmt: skip
def test_a_corrupted_answer_is_detected(damage):
    tokens = answer_text("p len=6").split(" ")
    found = check_complete_answer("p len=6", " ".join(damage(tokens)))
    assert isinstance(found, AnswerMismatch)


def test_an_answer_to_another_prompt_is_not_a_partial_answer():
    other = answer_text("q len=6", max_tokens=1)
    assert isinstance(check_partial_answer("p len=6", other), AnswerMismatch)


def test_a_stream_has_one_token_per_event_then_usage():
    with running() as server:
        text, last, events = complete_stream(server, "malt len=20")
        assert check_complete_answer("malt len=20", text) == Ok(20)
        assert [event["choices"][0]["text"].count("w") for event in events[:-1]] == [
            1
        ] * 20
        assert last["choices"][0]["finish_reason"] == "stop"
        assert last["usage"]["completion_tokens"] == 20


def test_a_chat_without_streaming_is_capped_by_max_tokens():
    messages = [{"role": "system", "content": "s"}, {"role": "user", "content": "u"}]
    body = {"messages": messages, "max_tokens": 5}
    with running() as server:
        status, reply = call_api(server, "POST", "/v1/chat/completions", body)
    choice = reply["choices"][0]
    assert (status, choice["finish_reason"]) == (200, "length")
    assert choice["message"]["content"] == answer_text("s\nu", 5)


@pytest.mark.parametrize("delivered", [0, 1, 7, 11, 12])
def test_a_resumed_answer_equals_the_uninterrupted_answer(delivered):
    prompt = "lot 17 len=12"
    delivered_text = answer_text(prompt, max_tokens=delivered)
    with running() as server:
        remaining_text, last, _ = complete_stream(
            server, prompt, resume_text=delivered_text
        )
    assert delivered_text + remaining_text == answer_text(prompt)
    assert last["usage"]["completion_tokens"] == 12 - delivered


def test_a_resume_text_of_another_answer_is_refused():
    body = {"prompt": "a len=9", "resume_text": answer_text("b len=2")}
    with running() as server:
        status, reply = call_api(server, "POST", "/v1/completions", body)
    assert (status, reply["error"]["code"]) == (400, "bad_request")


@pytest.mark.parametrize("kv", ["keep", "export", "drop"])
def test_a_paused_stream_completes_after_resume(kv):
    prompt, clock = "dossier len=60", ManualClock()
    with running(speed=1.0, clock=clock) as server:
        connection, reply = open_stream(server, prompt, request_id="r1")
        advance_engine(server, clock, 200.0)
        events = event_data(reply)
        texts = [json.loads(next(events))["choices"][0]["text"]]
        body = {"request_id": "r1", "kv": kv}
        _, stopped = call_api(server, "POST", "/control/pause", body)
        assert 1 < stopped["tokens"] < 60
        assert (stopped["dropped_tokens"] > 0) == (kv == "drop")
        advance_engine(server, clock, 60_000.0)
        assert call_api(server, "GET", "/load")[1]["paused"] == 1
        call_api(server, "POST", "/control/resume", {"request_id": "r1"})
        advance_engine(server, clock, 60_000.0)
        for event in events:
            if event != "[DONE]":
                texts.append(json.loads(event)["choices"][0]["text"])
        connection.close()
    assert "".join(texts) == answer_text(prompt)


def test_a_client_disconnect_cancels_its_request():
    with running(speed=1.0) as server:
        connection, reply = open_stream(server, "long len=5000")
        next(event_data(reply))
        reply.close()
        connection.close()
        wait_until(lambda: server.model.current_load().running == 0)
        assert server.model.counters().dropped_tokens > 0


def test_a_client_disconnect_cancels_its_waiting_request():
    config = EngineConfig(slots=1)
    with running(speed=1.0, config=config) as server:
        first, reply = open_stream(server, "long len=5000")
        next(event_data(reply))
        body = json.dumps({"prompt": "waits len=5"}).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
        )
        address = (server.address.host, server.address.port)
        with socket.create_connection(address) as waiting:
            waiting.sendall(head.encode() + b"\r\n\r\n" + body)
            wait_until(lambda: server.model.current_load().waiting == 1)
        wait_until(lambda: server.model.current_load().waiting == 0)
        first.close()


def test_a_crash_truncates_the_stream_and_lasts_until_cleared():
    prompt = "crash len=50"
    with running(speed=20.0) as server:
        fault = {"name": "crash", "after_tokens": 10}
        call_api(server, "POST", "/faults", fault)
        _, reply = open_stream(server, prompt)
        events = []
        # A truncated stream raises only if it ends inside a chunk.
        with suppress(IncompleteRead):
            events.extend(event_data(reply))
        texts = [json.loads(event)["choices"][0]["text"] for event in events]
        text = "".join(texts)
        assert check_partial_answer(prompt, text) == Ok(10)
        with pytest.raises((RemoteDisconnected, ConnectionError)):
            call_api(server, "GET", "/health")
        call_api(server, "DELETE", "/faults")
        assert complete_stream(server, prompt)[0] == answer_text(prompt)


def test_commands_obey_fences_and_a_load_refuses_requests_until_done():
    command = {"fence": 5, "action": "load_model", "model": "barley-7b", "version": "2"}
    clock = ManualClock()
    with running(speed=1.0, clock=clock) as server:
        loading = gevent.spawn(call_api, server, "POST", "/orders", command)
        wait_until(lambda: server.model.control.blocks_requests)
        status, reply = call_api(server, "POST", "/v1/completions", {"prompt": "x"})
        assert (status, reply["error"]["code"]) == (503, "loading")
        advance_engine(server, clock, CONFIG.load_model_ms)
        assert loading.get(timeout=5)[1]["version"] == "2"
        status, reply = call_api(server, "POST", "/orders", {**command, "fence": 4})
        assert (status, reply["fence"]) == (409, 5)
        call_api(server, "POST", "/faults", {"name": "ignore_fence"})
        stale_command = {"fence": 4, "action": "change_role", "role": "prefill"}
        changing = gevent.spawn(call_api, server, "POST", "/orders", stale_command)
        wait_until(lambda: server.model.control.blocks_requests)
        advance_engine(server, clock, CONFIG.change_role_ms)
        assert changing.get(timeout=5)[0] == 200
        assert call_api(server, "GET", "/load")[1]["role"] == "prefill"


def test_cache_events_contain_the_prefix_keys_of_the_prompt():
    prompt = "archive " * 100 + "len=2"
    with running() as server:
        complete_stream(server, prompt)
        _, last, _ = complete_stream(server, prompt + " more")
        assert last["usage"]["cached_tokens"] == 192
        _, reply = call_api(server, "GET", "/cache/events?after=0")
    found = [event["prefix"] for event in reply["events"]]
    assert found == [key.key for key in prefix_keys(prompt)]


def test_the_entry_and_the_engine_compute_the_same_prefix_keys():
    # Guards against hashes of the entry that differ from those of the engine: the entry
    # could not use cache events.
    prompt = "লট 17, barley archive " * 200
    keys = tuple(key.key for key in prefix_keys(prompt))
    assert len(keys) == 17
    assert entry_prefix_keys(prompt) == keys


def test_kv_cache_is_transferred_to_another_engine():
    prompt, clock = "report " * 400 + "len=40", ManualClock()
    with running(1.0, clock=clock) as first, running() as second:
        connection, reply = open_stream(first, prompt, request_id="r1")
        advance_engine(first, clock, 300.0)
        events = event_data(reply)
        text = json.loads(next(events))["choices"][0]["text"]
        _, exported = call_api(first, "POST", "/kv/export", {"request_id": "r1"})
        kv_id = exported["kv_id"]
        call_api(second, "POST", "/kv/import", {"kv_id": kv_id})
        fields = {"request_id": "r1.2", "kv_id": kv_id, "resume_text": text}
        remaining_text, _, _ = complete_stream(second, prompt, **fields)
        connection.close()
        assert text + remaining_text == answer_text(prompt)
        assert second.model.counters().prefill_tokens == 0


def test_a_frozen_engine_does_not_respond_and_continues_when_unfrozen():
    clock = ManualClock()
    with running(speed=1.0, clock=clock) as server:
        connection, reply = open_stream(server, "frozen len=30")
        advance_engine(server, clock, 100.0)
        events = event_data(reply)
        next(events)
        call_api(server, "POST", "/faults", {"name": "freeze"})
        decoded_tokens = server.model.counters().decode_tokens
        advance_engine(server, clock, 60_000.0)
        pending_load = gevent.spawn(call_api, server, "GET", "/load")
        gevent.sleep(0.02)
        assert not pending_load.ready()
        assert server.model.counters().decode_tokens == decoded_tokens
        call_api(server, "DELETE", "/faults")
        advance_engine(server, clock, 60_000.0)
        assert pending_load.get(timeout=5)[0] == 200
        assert list(events)[-1] == "[DONE]"
        connection.close()


@pytest.mark.parametrize("fault", [
    {"name": "nonsense"},
    {"name": "skip_watch"},
    {"name": "straggle", "factor": "much"},
    {"name": "straggle", "speed": 2},
    {"name": "slow", "ms": -1},
    {"name": "straggle", "factor": 0},
    {"name": "event_gap", "share": 1.5},
    {"name": "crash", "when": "later"},
    {"name": "crash", "after_tokens": 1.5},
    [],
])  # fmt: skip
def test_an_invalid_fault_is_refused(fault):
    with running() as server:
        status, reply = call_api(server, "POST", "/faults", fault)
        assert (status, reply["error"]["code"]) == (400, "bad_request")
        assert call_api(server, "GET", "/faults")[1] == {"faults": []}
