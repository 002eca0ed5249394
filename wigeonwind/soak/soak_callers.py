"""Callers of the soak, which reuse connections and abandon some requests."""

from collections.abc import Iterator
from random import Random

import gevent
from gevent import socket as gevent_socket

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.routing.response_parser import ResponseParser
from wigeonwind.soak.soak_fleet import (
    KEY,
    REVOKED_KEY,
    UNKNOWN_KEY,
    SoakFleet,
    SoakRouter,
)
from wigeonwind.soak.soak_records import ExchangeSeen, Kind, soak_now_ms

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 6.0
"""Timeout for a response; the routes themselves time out after 3 s."""

PAUSE_MS = 40.0
"""Mean pause between the requests of one caller."""

NEW_CONNECTION_SHARE = 0.15
"""Share of requests for which a caller draws a router and connects anew."""

ABANDON_SHARE = 0.03
"""Share of requests whose connection the caller closes after `ABANDON_AFTER_S`."""

ABANDON_AFTER_S = 0.08

SLOW_SHARE = 0.08
"""Share of requests whose bytes the caller writes in two parts."""

MAX_SLOW_S = 1.5
"""Longest pause between the two parts; the head is written within `MAX_SLOW_HEAD_S`."""

MAX_SLOW_HEAD_S = 0.3

CHUNKED_SHARE = 0.4
"""Share of requests whose body comes in chunks, with pauses between them."""

CHUNKS = (b"bo", b"d", b"y")
CHUNK_PAUSE_S = 0.05
"""Longest pause before a chunk."""

# Relative frequencies of the kinds of request.
WEIGHT_BY_KIND = {
    Kind.SAFE: 4,
    Kind.ONCE: 5,
    Kind.STREAM: 3,
    Kind.RESUMABLE: 3,
    Kind.UNKNOWN_KEY: 1,
    Kind.REVOKED_KEY: 2,
    Kind.MOVED: 2,
}
CRASHING_SHARE = 0.25
"""Share of the STREAM requests that become CRASHING while a part crashes workers."""

SHARED_PART, GROUP_PARTS = 0xA1, (0xB1, 0xB2)
"""Ids of the parts that prompts share: the first one, and one of the second."""

KEY_BY_KIND = {Kind.UNKNOWN_KEY: UNKNOWN_KEY, Kind.REVOKED_KEY: REVOKED_KEY}
ROUTE_BY_KIND = {
    Kind.UNKNOWN_KEY: "safe",
    Kind.REVOKED_KEY: "safe",
    Kind.CRASHING: "stream",
}


class SoakCaller:
    """Sends requests to randomly drawn routers, one at a time."""

    def __init__(self, fleet: SoakFleet, number: int, seed: int) -> None:
        self._fleet = fleet
        self._number = number
        self._rng = Random(f"{seed}/{number}")
        self._prompt_rng = Random(f"{seed}/{number}/prompts")
        self._body_rng = Random(f"{seed}/{number}/bodies")
        self._request_count = 0
        self._router: SoakRouter | None = None
        self._sock: gevent_socket.socket | None = None

    def run(self, until_ms: float) -> None:
        """Send requests until `until_ms`, then close the connection."""
        while soak_now_ms() < until_ms:
            gevent.sleep(self._rng.expovariate(1.0) * PAUSE_MS / MS_PER_SECOND)
            self._send_request()
        self._close()

    def _send_request(self) -> None:
        kinds = list(WEIGHT_BY_KIND)
        kind = self._rng.choices(kinds, [WEIGHT_BY_KIND[each] for each in kinds])[0]
        if self._sock is None or self._rng.random() < NEW_CONNECTION_SHARE:
            self._close()
            self._router = self._rng.choice(self._fleet.routers)
        router = self._router
        assert router is not None
        self._request_count += 1
        request_id = f"{self._number:04x}{self._request_count:012x}"
        seen = ExchangeSeen(request_id, kind, router.name, soak_now_ms())
        self._draw_prompt(seen)
        try:
            sock = self._sock or self._connect(router.address())
        except OSError:
            seen.is_connected = False
            self._record(seen)
            return
        self._sock = sock
        abandons = self._rng.random() < ABANDON_SHARE
        timeout_s = ABANDON_AFTER_S if abandons else RESPONSE_TIMEOUT_S
        can_reuse = False
        try:
            with gevent.Timeout(timeout_s):
                seen.is_sent_whole = False
                if self._body_rng.random() < CHUNKED_SHARE:
                    self._write_chunks(sock, seen)
                else:
                    self._write(sock, _encode_request(seen))
                seen.is_sent_whole = True
                seen.sent_ms = soak_now_ms()
                can_reuse = _read_response(sock, seen)
        except OSError:
            pass  # The exchange is recorded as not whole.
        except gevent.Timeout:
            seen.was_left = True
        self._record(seen)
        if not can_reuse:
            self._close()

    def _write(self, sock: gevent_socket.socket, data: bytes) -> None:
        """Write a request, at times with a pause within its head or its body."""
        if self._rng.random() >= SLOW_SHARE:
            sock.sendall(data)
            return
        is_head = self._rng.random() < 0.5
        split = len(data) // 2 if is_head else len(data) - 2
        sock.sendall(data[:split])
        longest_s = MAX_SLOW_HEAD_S if is_head else MAX_SLOW_S
        gevent.sleep(self._rng.uniform(0.0, longest_s))
        sock.sendall(data[split:])

    def _write_chunks(self, sock: gevent_socket.socket, seen: ExchangeSeen) -> None:
        """Write a request whose body comes in chunks, the last of them empty."""
        head = _encode_head(seen, "Transfer-Encoding: chunked")
        pieces = [b"%x\r\n%s\r\n" % (len(each), each) for each in (*CHUNKS, b"")]
        for number, piece in enumerate([head, *pieces]):
            if number:
                gevent.sleep(self._body_rng.uniform(0.0, CHUNK_PAUSE_S))
            sock.sendall(piece)

    def _draw_prompt(self, seen: ExchangeSeen) -> None:
        """Draw the prompt of a stream; it may contain a part that crashes workers."""
        if seen.kind not in (Kind.STREAM, Kind.RESUMABLE):
            return
        part = self._prompt_rng.choice(GROUP_PARTS)
        crashing_ids = self._fleet.crashing.part_ids
        is_drawn = self._prompt_rng.random() < CRASHING_SHARE
        if seen.kind is Kind.STREAM and crashing_ids and is_drawn:
            seen.kind, part = Kind.CRASHING, next(iter(crashing_ids))
        seen.prompt_parts = (SHARED_PART, part, int(seen.request_id, 16))

    def _connect(self, address: SocketAddress) -> gevent_socket.socket:
        target = (address.host, address.port)
        sock = gevent_socket.create_connection(target, CONNECT_TIMEOUT_S)
        sock.settimeout(None)
        return sock

    def _record(self, seen: ExchangeSeen) -> None:
        seen.ended_ms = soak_now_ms()
        self._fleet.history.exchanges.append(seen)

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _encode_request(seen: ExchangeSeen) -> bytes:
    return _encode_head(seen, "Content-Length: 4") + b"body"


def _encode_head(seen: ExchangeSeen, framing: str) -> bytes:
    route = ROUTE_BY_KIND.get(seen.kind, seen.kind.value)
    prompt = ",".join(f"{part_id:x}:100" for part_id in seen.prompt_parts)
    return "\r\n".join(
        [
            f"POST /{route}/x HTTP/1.1",
            "Host: a.example",
            f"X-Api-Key: {KEY_BY_KIND.get(seen.kind, KEY)}",
            f"Request-Id: {seen.request_id}",
            "Deadline-Ms: 5000",
            # Routers must replace this by the customer of the key.
            "Tenant: another",
            *([f"Prefix-Hash: {prompt}", "Token-Usage: 300,12"] if prompt else []),
            framing,
            "",
            "",
        ]
    ).encode()


def _read_response(sock: gevent_socket.socket, seen: ExchangeSeen) -> bool:
    """Read one response into `seen`; return whether the connection can be reused."""
    parser = ResponseParser()
    body = b""
    while True:
        data = sock.recv(READ_BYTES)
        if data:
            parser.feed(data)
        else:
            parser.feed_end()
        for response in list(parser.responses)[:1]:
            seen.status = response.status
            body += response.take_body()
            seen.body = body
            seen.is_whole = response.is_complete
            seen.signature = dict(_lowercase_names(response.headers)).get(
                "worker-signature", ""
            )
        seen.is_extra = len(parser.responses) > 1 or bool(parser.error)
        if seen.is_whole or not data or seen.is_extra:
            return seen.is_whole and bool(data) and parser.keeps_alive


def _lowercase_names(headers: list[tuple[bytes, bytes]]) -> Iterator[tuple[str, str]]:
    for name, value in headers:
        yield name.decode("latin-1").lower(), value.decode("latin-1")
