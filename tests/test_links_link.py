"""Links over loopback sockets, also with hostile and silent peers."""

import gevent
import pytest
from cbor2 import dumps
from gevent import socket
from gevent.event import Event
from gevent.queue import Queue

from wigeonwind.addresses import SocketAddress
from wigeonwind.links.handshake import request_handshake
from wigeonwind.links.link import LinkOptions, LinkServer, connect_link, link_options
from wigeonwind.links.messages import Chunk, Hello, Leaving, Ping
from wigeonwind.links.websocket import WebsocketLink
from wigeonwind.outcomes import Failure, Invalid, Ok
from wigeonwind.settings import LinkSettings

LIMIT_S = 5.0
"""Longest wait for an event; only a failing test waits so long."""


class Recorder:
    """Handler that records the events of links."""

    def __init__(self):
        self.links, self.messages, self.downs = Queue(), Queue(), Queue()

    def on_up(self, link):
        self.links.put(link)

    def on_message(self, link, message):
        self.messages.put((link, message))

    def on_down(self, link, reason):
        self.downs.put((link, reason))


def make_hello_factory(name="side-1", **fields):
    return lambda: Hello(name, 1, "side", "zone-a", "wigeon-llm", 0, **fields)


class LinkHarness:
    """A server with its recorder, and its clients."""

    def __init__(self, **options):
        self.options = options
        self.raw = []
        self.server_options = LinkOptions(**options)
        self.recorder = Recorder()
        local = SocketAddress("127.0.0.1", 0)
        self.server = LinkServer(
            local, make_hello_factory(), self.recorder, self.server_options
        )
        self.address = self.server.start()

    def connect(self, name="entry-1", **options):
        recorder = Recorder()
        merged = LinkOptions(**{**self.options, **options})
        result = connect_link(self.address, make_hello_factory(name), recorder, merged)
        return result, recorder

    def connect_raw(self):
        """Return socket and protocol after the handshake and a valid Hello."""
        from websockets.client import ClientProtocol
        from websockets.uri import parse_uri

        from wigeonwind.links.codec import encode

        sock = socket.create_connection((self.address.host, self.address.port))
        protocol = ClientProtocol(parse_uri(f"ws://{self.address}/link"))
        self.raw.append(sock)  # garbage collection would close the socket
        request_handshake(sock, protocol)
        protocol.send_binary(encode(make_hello_factory("raw-1")()))
        sock.sendall(b"".join(protocol.data_to_send()))
        self.recorder.links.get(timeout=LIMIT_S)
        return sock, protocol


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**options):
        harnesses.append(LinkHarness(**options))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.server.stop()


def send_raw(sock, protocol, data):
    protocol.send_binary(data)
    sock.sendall(b"".join(protocol.data_to_send()))


def test_messages_arrive_in_order_both_ways(make_harness):
    harness = make_harness()
    result, client = harness.connect()
    assert isinstance(result, Ok)
    served = harness.recorder.links.get(timeout=LIMIT_S)
    assert (result.value.hello.member_id, served.hello.member_id) == (
        "side-1",
        "entry-1",
    )
    sent = [Chunk("r", 0, seq, b"x" * (seq * 100), 1) for seq in range(50)]
    for message in sent:
        assert result.value.send(message)
        assert served.send(message)
    received = [harness.recorder.messages.get(timeout=LIMIT_S)[1] for _ in sent]
    assert received == sent
    assert [client.messages.get(timeout=LIMIT_S)[1] for _ in sent] == sent
    # All were queued before the writer ran, so one write must send them.
    assert harness.server_options.counts.writes == 1


def test_close_sends_what_is_queued_first(make_harness):
    # Guards against a draining process that loses queued answers.
    harness = make_harness()
    result, client = harness.connect()
    served = harness.recorder.links.get(timeout=LIMIT_S)
    for seq in range(100):
        served.send(Chunk("r", 0, seq, b"x" * 10_000, 1))
        result.value.send(Chunk("r", 0, seq, b"unread", 1))
    served.close("drained")
    assert not served.send(Ping(0.0))
    received = [client.messages.get(timeout=LIMIT_S)[1].seq for _ in range(100)]
    assert received == list(range(100))
    assert client.downs.get(timeout=LIMIT_S) == (result.value, "closed by the peer")
    assert harness.recorder.downs.get(timeout=LIMIT_S) == (served, "drained")


@pytest.mark.parametrize("data", [b"\xff", dumps([1, 7, "r"]), dumps([2, 26, 1.0])])
def test_a_malformed_message_closes_only_its_link(make_harness, data):
    harness = make_harness()
    good, _ = harness.connect()
    harness.recorder.links.get(timeout=LIMIT_S)
    sock, protocol = harness.connect_raw()
    send_raw(sock, protocol, data)
    _, reason = harness.recorder.downs.get(timeout=LIMIT_S)
    assert "decoded" in reason
    assert harness.server_options.counts.decode_failures == 1
    assert harness.recorder.messages.empty()
    good.value.send(Leaving("entry-1", 1))
    assert harness.recorder.messages.get(timeout=LIMIT_S)[1] == Leaving("entry-1", 1)


def test_bytes_that_are_no_websocket_frame_close_the_link(make_harness):
    harness = make_harness()
    sock, _ = harness.connect_raw()
    sock.sendall(b"\xff" * 100)
    assert "websocket" in harness.recorder.downs.get(timeout=LIMIT_S)[1]


def test_a_message_over_the_size_bound_is_refused_at_both_ends(make_harness):
    harness = make_harness(max_message_bytes=1000)
    result, _ = harness.connect()
    assert not result.value.send(Chunk("r", 0, 0, b"x" * 2000, 1))
    assert result.value.is_open
    sock, protocol = harness.connect_raw()
    send_raw(sock, protocol, b"x" * 2000)
    assert "websocket" in harness.recorder.downs.get(timeout=LIMIT_S)[1]


@pytest.mark.parametrize("client_key, opens", [(b"k1", True), (b"k2", False), (b"", 0)])
def test_only_a_peer_with_the_fleet_key_gets_a_link(make_harness, client_key, opens):
    harness = make_harness(key=b"k1")
    result, _ = harness.connect(key=client_key)
    gevent.sleep(0)
    # A client without a key accepts any server; only the server refuses the link.
    assert isinstance(result, Ok) == bool(opens) or client_key == b""
    if not opens:
        sleep_until(lambda: harness.server_options.counts.refused)
        assert harness.recorder.links.empty()


def sleep_until(condition):
    with gevent.Timeout(LIMIT_S):
        while not condition():
            gevent.sleep(0.001)


def test_a_token_is_not_valid_on_another_link(make_harness):
    # Guards against an eavesdropper that replays a recorded token.
    from wigeonwind.links.handshake import has_valid_token, hello_token

    token = hello_token(b"k", make_hello_factory()(), "client", ("n1", "n2"))
    stolen = make_hello_factory(token=token)()
    assert has_valid_token(b"k", stolen, "client", ("n1", "n2"))
    assert not has_valid_token(b"k", stolen, "client", ("n1", "n3"))
    assert not has_valid_token(b"k", stolen, "server", ("n1", "n2"))


def test_only_the_link_of_a_silent_peer_is_closed(make_harness):
    harness = make_harness(heartbeat_ms=10, timeout_ms=60)
    active, _ = harness.connect()
    harness.recorder.links.get(timeout=LIMIT_S)
    harness.connect_raw()
    link, reason = harness.recorder.downs.get(timeout=LIMIT_S)
    assert (link.hello.member_id, reason) == ("raw-1", "silence")
    assert active.value.is_open


def test_a_peer_that_does_not_read_is_closed_and_does_not_block_others(make_harness):
    harness = make_harness(max_queue_bytes=2_000_000)
    harness.connect_raw()  # never reads
    slow = next(iter(harness.server._links))
    good, client = harness.connect()
    fast = harness.recorder.links.get(timeout=LIMIT_S)
    big = Chunk("r", 0, 0, b"x" * 500_000, 1)
    with gevent.Timeout(LIMIT_S):
        while slow.send(big):
            gevent.sleep(0)
    assert fast.send(Leaving("side-1", 1))
    assert client.messages.get(timeout=LIMIT_S)[1] == Leaving("side-1", 1)
    assert "does not read" in harness.recorder.downs.get(timeout=LIMIT_S)[1]


def test_messages_received_during_a_pause_beyond_the_timeout_are_discarded():
    # Guards against a resumed process that acts on commands of a peer which has since
    # closed the link.
    from websockets.client import ClientProtocol
    from websockets.uri import parse_uri

    from wigeonwind.clock import ManualClock

    clock = ManualClock()
    recorder = Recorder()
    protocol = ClientProtocol(parse_uri("ws://127.0.0.1:1/link"))
    options = LinkOptions(clock=clock)
    link = WebsocketLink(socket.socket(), protocol, recorder, options)
    link.is_open = True
    assert link._record_received(10)
    clock.advance(options.timeout_ms + 1)
    assert not link._record_received(10)
    assert not link.is_open


def test_a_refused_connection_returns_a_failure():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = SocketAddress("127.0.0.1", sock.getsockname()[1])
        result = connect_link(address, make_hello_factory(), Recorder(), LinkOptions())
    assert isinstance(result, Failure)


def test_invalid_files_in_the_settings_are_reported_by_key(tmp_path):
    empty = tmp_path / "key"
    empty.write_text(" \n")
    result = link_options(LinkSettings(key_file=str(empty), tls_key="missing"))
    assert isinstance(result, Invalid)
    assert {p.key for p in result.problems} == {
        "key_file",
        "tls_key",
        "tls_certificate",
    }


def test_on_down_is_called_once_if_both_peers_close(make_harness):
    harness = make_harness()
    result, client = harness.connect()
    served = harness.recorder.links.get(timeout=LIMIT_S)
    served.close("a")
    result.value.close("b")
    assert client.downs.get(timeout=LIMIT_S)[1] == "b"
    assert harness.recorder.downs.get(timeout=LIMIT_S)[1] == "a"
    Event().wait(0.01)
    assert client.downs.empty()
    assert harness.recorder.downs.empty()


def test_a_long_body_waits_for_a_slow_peer_without_breaking_the_link(make_harness):
    harness = make_harness(max_queue_bytes=2_000_000)
    _, client = harness.connect()
    served = harness.recorder.links.get(timeout=LIMIT_S)
    for seq in range(40):
        assert served.send(Chunk("r", 0, seq, b"x" * 500_000, 0))
        served.wait_writable()
    received = [client.messages.get(timeout=LIMIT_S)[1].seq for _ in range(40)]
    assert received == list(range(40))
