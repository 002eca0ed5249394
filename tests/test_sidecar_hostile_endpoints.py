"""A sidecar's endpoint that repeats responses or breaks off within one."""

import socket
import struct

import gevent
import pytest
from sidecar_fakes import SidecarHarness, wait_until

from wigeonwind.addresses import SocketAddress
from wigeonwind.links.messages import Cancel, Chunk, Failed, Finished, Head
from wigeonwind.side.engine_client import EngineClient, EngineFailure

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK_HEAD + b"Content-Length: 5\r\n\r\nwhole"
REFUSAL = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
FRAMED = {
    "length": WHOLE,
    "chunks": OK_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
    "after interim responses": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + WHOLE,
}
TOKEN = b'data: {"choices": [{"text": "a"}]}\n\n'
LAST_TOKEN = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
STREAM = TOKEN + TOKEN + LAST_TOKEN + b"data: [DONE]\n\n"
RESET_LINGER = struct.pack("ii", 1, 0)


class Endpoint:
    """A sidecar whose endpoint answers each request with the bytes of `respond`."""

    def __init__(self, kind):
        self.harness = SidecarHarness(kind=kind)
        self.kind = kind
        self.count = 0

    def respond(self, *parts, end="close"):
        """Submit a request and return its messages, up to the last one."""

        def answer(sock, path):
            for part in parts:
                sock.sendall(part)
                gevent.sleep(0.002 if len(parts) > 1 or end == "reset" else 0.0)
            if end == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            if end == "keep":
                self.harness.endpoint.gate.wait()

        self.harness.endpoint._answer = answer
        self.harness.link.sent.clear()
        self.count += 1
        path = "/x" if self.kind == "plain" else "/v1/completions"
        self.harness.submit(f"r{self.count}", path=path)
        if end != "keep":
            wait_until(lambda: self.ends())
        return self.harness.link.sent

    def ends(self):
        """Return the messages that end the request."""
        sent = self.harness.link.sent
        return [each for each in sent if type(each) in (Failed, Finished)]

    def body(self):
        """Return the body that was passed on."""
        return b"".join(each.data for each in self.harness.link.of_type(Chunk))


@pytest.fixture
def plain():
    endpoint = Endpoint("plain")
    yield endpoint
    endpoint.harness.close()


@pytest.fixture
def model():
    endpoint = Endpoint("model")
    yield endpoint
    endpoint.harness.close()


@pytest.mark.parametrize("copy", [REFUSAL, WHOLE])
@pytest.mark.parametrize("framing", FRAMED)
def test_a_second_response_is_not_part_of_the_first(plain, framing, copy):
    # Guards against the status of one response with the bodies of two.
    response = FRAMED[framing]
    for parts in ((response + copy,), (response[:-2], response[-2:] + copy)):
        plain.respond(*parts)
        assert [each.status for each in plain.harness.link.of_type(Head)] == [200]
        assert (type(plain.ends()[0]), plain.body()) == (Finished, b"whole")


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("framing", FRAMED)
def test_a_response_that_stops_at_any_byte_is_not_finished(plain, framing, end):
    # Guards against an empty or short body, framed as whole.
    response = FRAMED[framing]
    for cut in range(len(response)):
        plain.respond(response[:cut], end=end)
        failed = plain.ends()[0]
        assert type(failed) is Failed and failed.started, cut
    plain.respond(response)
    assert (type(plain.ends()[0]), plain.body()) == (Finished, b"whole")


def test_a_second_head_within_a_head_is_no_response(plain):
    # Guards against the headers of two responses taken for one.
    plain.respond(OK_HEAD + b"X: " + REFUSAL)
    assert type(plain.ends()[0]) is Failed
    assert plain.harness.link.of_type(Head) == []


def test_a_body_without_length_is_whole_only_after_fin(plain):
    # Guards against a short body, framed as whole, after a reset or without a byte.
    for end, expected in (("close", Finished), ("reset", Failed)):
        plain.respond(OK_HEAD + b"\r\nwho", b"le", end=end)
        assert type(plain.ends()[0]) is expected
    plain.respond(OK_HEAD + b"\r\n")
    assert type(plain.ends()[0]) is Failed


def test_a_cancelled_call_without_length_is_not_finished(plain):
    # Guards against the end of an aborted connection, taken for the end of the body.
    plain.respond(OK_HEAD + b"\r\nwho", end="keep")
    wait_until(lambda: plain.body() == b"who")
    plain.harness.sidecar.on_message(plain.harness.link, Cancel("r1", 0))
    wait_until(plain.ends)
    assert type(plain.ends()[0]) is Failed


@pytest.mark.parametrize("content_type", [b"text/event-stream", b"Text/Event-Stream"])
def test_a_plain_stream_that_ends_within_an_event_is_not_finished(plain, content_type):
    # Guards against a stream that is broken off and looks complete.
    head = OK_HEAD + b"Content-Type: %s\r\n\r\n" % content_type
    for newline in (b"\n", b"\r\n"):
        event = b"id: 2" + newline + b"data: 2" + newline
        for cut in range(1, len(event)):
            plain.respond(head + b"id: 1" + newline + newline + event[:cut])
            assert type(plain.ends()[0]) is Failed, cut
        plain.respond(head + event + newline)
        assert type(plain.ends()[0]) is Finished


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_token_stream_that_stops_at_any_byte_is_not_finished(model, is_chunked):
    # Guards against a generation that is broken off and looks complete.
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(STREAM), STREAM) if is_chunked else STREAM
    framing = b"Transfer-Encoding: chunked\r\n" if is_chunked else b""
    response = OK_HEAD + framing + b"\r\n" + body
    last = response.index(b"[DONE]\n") + len(b"[DONE]\n")
    for cut in range(last):
        model.respond(response[:cut])
        failed = model.ends()[0]
        assert type(failed) is Failed and failed.started, cut
    model.respond(response[:last])
    assert (type(model.ends()[0]), model.body()) == (Finished, b"aa")


@pytest.mark.parametrize("status", [503, 429, 421, 400])
def test_no_response_of_an_engine_promises_that_a_request_was_not_run(model, status):
    # Guards against an earlier refusal of another request, written once more.
    copy = REFUSAL.replace(b"503", b"%d" % status)
    for parts in ((copy,), (copy + OK_HEAD + b"\r\n" + STREAM,)):
        model.respond(*parts)
        assert model.ends()[0].started
        assert type(model.ends()[0]) is Failed and model.body() == b""


def test_an_empty_response_without_length_is_no_success(model):
    # Guards against an engine that stops after its head and is taken to have executed
    # a command.
    model.harness.endpoint._answer = lambda sock, path: sock.sendall(OK_HEAD + b"\r\n")
    host, _, port = model.harness.endpoint.address.partition(":")
    client = EngineClient(SocketAddress(host, int(port)), 1_000.0)
    assert isinstance(client.cancel("r1"), EngineFailure)
