"""Opening of a link: websocket handshake, then proof that the peer has the fleet key.

Each side contributes a nonce: the client's is its Sec-WebSocket-Key, the server's a
header of the handshake's response. The token in a Hello is an HMAC over both nonces,
the side and the sender's identity, so the key never crosses the wire and a recorded
token is of no use on another link.
"""

import hmac
from hashlib import sha256
from typing import Any

from cbor2 import dumps
from websockets.client import ClientProtocol
from websockets.http11 import Request, Response
from websockets.protocol import Protocol as WebsocketProtocol
from websockets.server import ServerProtocol

from wigeonwind.ids import new_id
from wigeonwind.links.messages import Hello

NONCE_HEADER = "X-Wigeonwind-Nonce"
"""Response header that carries the server's nonce."""

RECEIVE_BYTES = 65_536
"""Most bytes taken from a socket at a time."""


class HandshakeError(Exception):
    """A link that does not open; the text is the reason."""


def hello_token(key: bytes, hello: Hello, side: str, nonces: tuple[str, str]) -> str:
    """Return the token of a Hello sent by `side` (`client` or `server`)."""
    if not key:
        return ""
    parts = [side, *nonces, hello.member_id, hello.incarnation, hello.role]
    return hmac.new(key, dumps(parts), sha256).hexdigest()


def has_valid_token(
    key: bytes, hello: Hello, side: str, nonces: tuple[str, str]
) -> bool:
    """Return whether the Hello's token shows possession of the key."""
    if not key:
        return True
    expected = hello_token(key, hello, side, nonces)
    return hmac.compare_digest(expected.encode(), hello.token.encode())


def accept_handshake(sock: Any, protocol: ServerProtocol) -> tuple[str, str]:
    """Answer a client's handshake and return (client nonce, server nonce)."""
    request = _first_event(sock, protocol)
    if not isinstance(request, Request):
        raise HandshakeError("no handshake request")
    response = protocol.accept(request)
    server_nonce = new_id()
    response.headers[NONCE_HEADER] = server_nonce
    protocol.send_response(response)
    send_pending(sock, protocol)
    if response.status_code != 101:
        raise HandshakeError(f"handshake refused with status {response.status_code}")
    return request.headers["Sec-WebSocket-Key"], server_nonce


def request_handshake(sock: Any, protocol: ClientProtocol) -> tuple[str, str]:
    """Make a handshake and return (client nonce, server nonce)."""
    protocol.send_request(protocol.connect())
    send_pending(sock, protocol)
    response = _first_event(sock, protocol)
    if not isinstance(response, Response) or protocol.handshake_exc is not None:
        raise HandshakeError(f"handshake failed: {protocol.handshake_exc}")
    return protocol.key, response.headers.get(NONCE_HEADER, "")


def send_pending(sock: Any, protocol: WebsocketProtocol) -> None:
    """Write what the protocol wants to send."""
    data = b"".join(protocol.data_to_send())
    if data:
        sock.sendall(data)


def _first_event(sock: Any, protocol: WebsocketProtocol) -> Any:
    """Read up to the first event and leave later ones in the protocol."""
    while True:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            raise HandshakeError("closed during the handshake")
        protocol.receive_data(data)
        events = protocol.events_received()
        if events:
            protocol.events[:0] = events[1:]
            return events[0]
        if protocol.handshake_exc is not None:
            raise HandshakeError(f"handshake failed: {protocol.handshake_exc}")
