"""WebSocket handshake of a link, and authentication of the peer by the fleet key.

Both peers contribute a nonce: the client its Sec-WebSocket-Key, the server a header of
its handshake response. The token in a Hello is an HMAC over both nonces, the sender's
role in the handshake and its identity. The key is thus never transmitted, and a token
cannot be replayed on another link.
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
from wigeonwind.runtime.fair_receive import receive

NONCE_HEADER = "X-Wigeonwind-Nonce"
"""Response header that carries the server's nonce."""

RECEIVE_BYTES = 8_192
"""Maximum number of bytes per read from a socket. Other work waits while its frames are
processed, about 10 ms for the shortest ones."""


class HandshakeError(Exception):
    """The handshake of a link failed; the message is the reason."""


def hello_token(key: bytes, hello: Hello, sender: str, nonces: tuple[str, str]) -> str:
    """Return the token of a Hello from `sender` (`client` or `server`).

    It is empty without a key.
    """
    if not key:
        return ""
    parts = [sender, *nonces, hello.member_id, hello.incarnation, hello.role]
    return hmac.new(key, dumps(parts), sha256).hexdigest()


def has_valid_token(
    key: bytes, hello: Hello, sender: str, nonces: tuple[str, str]
) -> bool:
    """Return whether the token of a Hello was computed with the key.

    Without a key every token is valid.
    """
    if not key:
        return True
    expected = hello_token(key, hello, sender, nonces)
    return hmac.compare_digest(expected.encode(), hello.token.encode())


def accept_handshake(sock: Any, protocol: ServerProtocol) -> tuple[str, str]:
    """Accept a client's handshake and return (client nonce, server nonce).

    Raise HandshakeError if the request is invalid, OSError if the connection breaks.
    """
    request = _first_event(sock, protocol)
    if not isinstance(request, Request):
        raise HandshakeError("received data is not a handshake request")
    response = protocol.accept(request)
    server_nonce = new_id()
    response.headers[NONCE_HEADER] = server_nonce
    protocol.send_response(response)
    send_pending(sock, protocol)
    if response.status_code != 101:
        raise HandshakeError(f"handshake rejected with status {response.status_code}")
    return request.headers["Sec-WebSocket-Key"], server_nonce


def request_handshake(sock: Any, protocol: ClientProtocol) -> tuple[str, str]:
    """Request a handshake and return (client nonce, server nonce).

    Raise HandshakeError if the server rejects it, OSError if the connection breaks.
    """
    protocol.send_request(protocol.connect())
    send_pending(sock, protocol)
    response = _first_event(sock, protocol)
    if not isinstance(response, Response) or protocol.handshake_exc is not None:
        raise HandshakeError(f"handshake failed: {protocol.handshake_exc}")
    return protocol.key, response.headers.get(NONCE_HEADER, "")


def send_pending(sock: Any, protocol: WebsocketProtocol) -> None:
    """Write the output of the protocol to the socket."""
    data = b"".join(protocol.data_to_send())
    if data:
        sock.sendall(data)


def _first_event(sock: Any, protocol: WebsocketProtocol) -> Any:
    """Read until the first event; later events remain in the protocol."""
    while True:
        data = receive(sock, RECEIVE_BYTES)
        if not data:
            raise HandshakeError("connection closed during the handshake")
        protocol.receive_data(data)
        events = protocol.events_received()
        if events:
            protocol.events[:0] = events[1:]
            return events[0]
        if protocol.handshake_exc is not None:
            raise HandshakeError(f"handshake failed: {protocol.handshake_exc}")
