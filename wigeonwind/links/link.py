"""Links between processes: a server that accepts them and a function that opens them.

Re-exports `Link`, `LinkHandler`, `LinkOptions` and `LinkCounts`.
"""

import logging
import socket
import ssl
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from gevent import socket as gevent_socket
from gevent.pool import Pool
from gevent.server import StreamServer
from websockets.client import ClientProtocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from wigeonwind.addresses import SocketAddress
from wigeonwind.clock import MS_PER_SECOND
from wigeonwind.links.handshake import HandshakeError
from wigeonwind.links.link_types import Link, LinkCounts, LinkHandler, LinkOptions
from wigeonwind.links.messages import Hello
from wigeonwind.links.websocket import MAX_HELLO_BYTES, SOCKET_ERRORS, WebsocketLink
from wigeonwind.outcomes import ErrorCode, Failure, Invalid, Ok, Outcome, Problem
from wigeonwind.settings import LinkSettings

__all__ = [
    "Link",
    "LinkCounts",
    "LinkHandler",
    "LinkOptions",
    "LinkServer",
    "connect_link",
    "link_options",
]

ACCEPT_BACKLOG = 256
"""Most connections that wait to be accepted: all peers reconnect after a partition."""

STOP_TIMEOUT_S = 2.0
"""Time limit for sending queued messages and close frames when a server stops."""

# The websockets library logs every connection; connections are counted instead.
_WEBSOCKET_LOGGER = logging.getLogger("wigeonwind.websocket")
_WEBSOCKET_LOGGER.setLevel(logging.ERROR)


class LinkServer:
    """Accepts links at `address`; port 0 selects a free port."""

    def __init__(
        self,
        address: SocketAddress,
        local_hello: Callable[[], Hello],
        handler: LinkHandler,
        options: LinkOptions,
    ) -> None:
        self._local_hello = local_hello
        self._handler = handler
        self._options = options
        self._links: set[WebsocketLink] = set()
        self._stopped = False
        self._pool = Pool(options.max_links)
        self._server = StreamServer(
            (address.host, address.port),
            self._serve,
            backlog=ACCEPT_BACKLOG,
            spawn=self._pool,
        )

    def start(self) -> SocketAddress:
        """Start to accept and return the address; raise OSError if it is in use."""
        self._server.start()
        return SocketAddress(self._server.server_host, self._server.server_port)

    def stop(self) -> None:
        """Stop accepting, send queued messages and close all links."""
        self._stopped = True
        self._server.close()
        for link in list(self._links):
            link.close("the link server is stopping")
        self._pool.join(timeout=STOP_TIMEOUT_S)
        self._pool.kill()

    def _serve(self, sock: Any, _address: object) -> None:
        protocol = ServerProtocol(max_size=MAX_HELLO_BYTES, logger=_WEBSOCKET_LOGGER)
        try:
            sock = _prepare_socket(sock, self._options.server_tls, True, self._options)
            link = WebsocketLink(sock, protocol, self._handler, self._options)
            link.open(self._local_hello)
        except (HandshakeError, *SOCKET_ERRORS):
            self._options.counts.refused += 1
            return
        if self._stopped:
            link.abort()
            return
        self._links.add(link)
        try:
            link.run()
        finally:
            self._links.discard(link)


def connect_link(
    address: SocketAddress,
    local_hello: Callable[[], Hello],
    handler: LinkHandler,
    options: LinkOptions,
) -> Ok[Link] | Failure:
    """Open a link; `handler.on_up` is called before the link is returned."""
    uri = parse_uri(f"ws://{address}/link")
    protocol = ClientProtocol(uri, max_size=MAX_HELLO_BYTES, logger=_WEBSOCKET_LOGGER)
    timeout_s = options.timeout_ms / MS_PER_SECOND
    try:
        sock = gevent_socket.create_connection((address.host, address.port), timeout_s)
        sock = _prepare_socket(sock, options.client_tls, False, options)
        link = WebsocketLink(sock, protocol, handler, options)
        link.open(local_hello)
    except (HandshakeError, *SOCKET_ERRORS) as error:
        options.counts.refused += 1
        message = f"cannot open a link to {address}: {error}"
        return Failure(Outcome.NOT_RUN, ErrorCode.NO_ENDPOINT, message)
    link.start()
    return Ok(link)


def _prepare_socket(
    sock: Any, tls: ssl.SSLContext | None, is_server: bool, options: LinkOptions
) -> Any:
    """Set TCP_NODELAY and wrap in TLS if configured; close the socket on failure."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if tls is not None:
            sock.settimeout(options.timeout_ms / MS_PER_SECOND)
            sock = tls.wrap_socket(sock, server_side=is_server)
        # Heartbeats detect silent peers, and the handshake has a timeout of its own.
        sock.settimeout(None)
    except SOCKET_ERRORS:
        sock.close()
        raise
    return sock


def link_options(
    settings: LinkSettings, max_body_bytes: int = 4_000_000
) -> Ok[LinkOptions] | Invalid:
    """Return the options with the keys and certificates that the settings name."""
    problems = list(_file_problems(settings))
    if problems:
        return Invalid(tuple(problems))
    keys = read_keys(settings.key_file)
    message_bytes = max_body_bytes + LinkOptions().max_message_bytes
    try:
        server_tls, client_tls = _tls_contexts(settings)
    except (ssl.SSLError, OSError) as error:
        value = f"{settings.tls_certificate} ({error})"
        problem = Problem(
            "links", "tls_certificate", value, "a certificate and its key"
        )
        return Invalid((problem,))
    return Ok(
        LinkOptions(
            heartbeat_ms=settings.heartbeat_ms,
            timeout_ms=settings.timeout_ms,
            max_message_bytes=message_bytes,
            max_queue_bytes=message_bytes,
            key=keys[0],
            more_keys=keys[1:],
            server_tls=server_tls,
            client_tls=client_tls,
        )
    )


def read_keys(path: str) -> tuple[bytes, ...]:
    """Return the keys in a file, one per line; tokens are signed with the first.

    An empty path gives one empty key. Raise OSError if the file cannot be read.
    """
    lines = Path(path).read_bytes().splitlines() if path else []
    return tuple(line.strip() for line in lines if line.strip()) or (b"",)


def _file_problems(settings: LinkSettings) -> Iterator[Problem]:
    tls = (settings.tls_certificate, settings.tls_key, settings.tls_authority)
    if any(tls) and not all(tls):
        expected = "tls_certificate, tls_key and tls_authority together"
        yield Problem("links", "tls_certificate", settings.tls_certificate, expected)
    for name in ("key_file", "tls_certificate", "tls_key", "tls_authority"):
        value = getattr(settings, name)
        if value and not Path(value).is_file():
            yield Problem("links", name, value, "an existing file")
    key_file = Path(settings.key_file)
    if settings.key_file and key_file.is_file() and not key_file.read_bytes().strip():
        yield Problem("links", "key_file", settings.key_file, "a file with a key")


def _tls_contexts(
    settings: LinkSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return (server, client) contexts for mutual TLS, (None, None) without TLS."""
    if not settings.tls_certificate:
        return None, None
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers have no host names, and the authority signs only this fleet.
    client.check_hostname = False
    for context in (server, client):
        context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        context.load_verify_locations(settings.tls_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return server, client
