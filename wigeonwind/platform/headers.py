"""Decoding and encoding of the headers of the platform's requests and responses."""

from collections.abc import Iterator, Sequence
from math import isfinite

from wigeonwind.hashing import stable_hash
from wigeonwind.hop_headers import HOP_BY_HOP
from wigeonwind.routing.header_codec import (
    Header,
    PromptChunk,
    RequestMetadata,
    ResponseMetadata,
    SendMetadata,
)

REQUEST_ID = b"request-id"
API_KEY = b"x-api-key"
DEADLINE_MS = b"deadline-ms"
LENGTH_HINT = b"length-hint"
TOKEN_USAGE = b"token-usage"
PREFIX_HASH = b"prefix-hash"
LAST_EVENT_ID = b"last-event-id"
WORKER_SIGNATURE = b"worker-signature"
NOT_EXECUTED = b"not-executed"
SERVER_LEAVING = b"server-leaving"
LEAVING = b"1"
"""Value of the header of an endpoint that leaves."""

MAX_TOKENS = 100_000_000
"""Largest number of tokens of a prompt, or of a chunk of it; a larger one is not
believed."""

MAX_CHUNK_ID = 2**64 - 1

MAX_EVENT_ID = 2**53
"""Largest id of an event; beyond it a float is not exact."""

MAX_PRIORITY = 9
"""Highest value of Request-Priority, the least urgent one."""

SYSTEM_HEADERS = frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        b"tenant",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"pin-ms",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
    }
)
"""Headers that only this system may send to endpoints; callers' values are dropped."""

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"expect"})

HOP_HEADERS = frozenset(name.encode() for name in HOP_BY_HOP)


class PlatformHeaderCodec:
    """Implements `wigeonwind.routing.header_codec.HeaderCodec`."""

    def decode_request_headers(self, headers: Sequence[Header]) -> RequestMetadata:
        """Decode the headers of a caller's request; of duplicates the first is used."""
        by_name: dict[bytes, bytes] = {}
        for name, value in headers:
            by_name.setdefault(name.lower(), value)
        dropped = SYSTEM_HEADERS | FRAMING_HEADERS | HOP_HEADERS
        dropped |= _connection_options(by_name.get(b"connection", b""))
        dropped -= {b"host", REQUEST_ID}
        api_key = by_name.get(API_KEY)
        prompt_tokens = by_name.get(TOKEN_USAGE, b"").partition(b",")[0]
        return RequestMetadata(
            by_name.get(REQUEST_ID, b"").decode("latin-1"),
            _host(by_name.get(b"host", b"")),
            tuple(each for each in headers if each[0].lower() not in dropped),
            None if api_key is None else api_key.decode("latin-1"),
            _non_negative_number(by_name.get(DEADLINE_MS)),
            _token_count(prompt_tokens),
            tuple(_prompt_chunks(by_name.get(PREFIX_HASH, b""))),
            _event_id(by_name.get(LAST_EVENT_ID)),
            _token_count(by_name.get(LENGTH_HINT)),
        )

    def encode_request_headers(
        self, metadata: RequestMetadata, send: SendMetadata
    ) -> bytes:
        """Return the header lines of a request to an endpoint, without framing."""
        lines = [b"%s: %s\r\n" % header for header in metadata.forwarded_headers]
        lines.append(b"Deadline-Ms: %d\r\n" % max(1, int(send.time_left_ms)))
        lines.append(b"Expect-Instance: %s\r\n" % send.instance_id.encode())
        if send.customer is not None:
            lines.append(b"Tenant: %s\r\n" % send.customer.encode())
        if send.priority is not None:
            priority = min(max(send.priority, 0), MAX_PRIORITY)
            lines.append(b"Request-Priority: %d\r\n" % priority)
        if send.fetch_from is not None:
            lines.append(b"Kv-Fetch: %s\r\n" % str(send.fetch_from).encode())
        if send.last_event_id is not None:
            lines.append(b"Last-Event-Id: %d\r\n" % send.last_event_id)
        return b"".join(lines)

    def decode_response_headers(self, headers: Sequence[Header]) -> ResponseMetadata:
        """Decode the headers of an endpoint's response.

        A response with two request ids has none: nobody knows to whom it belongs.
        """
        by_name = {name.lower(): value for name, value in headers}
        request_ids = {each[1] for each in headers if each[0].lower() == REQUEST_ID}
        if len(request_ids) > 1:
            by_name[REQUEST_ID] = b""
        dropped = FRAMING_HEADERS | HOP_HEADERS
        dropped |= _connection_options(by_name.get(b"connection", b""))
        content_type = by_name.get(b"content-type", b"")
        announced = {each[1] for each in headers if each[0].lower() == SERVER_LEAVING}
        return ResponseMetadata(
            by_name.get(REQUEST_ID, b"").decode("latin-1"),
            WORKER_SIGNATURE in by_name,
            NOT_EXECUTED in by_name,
            content_type.lower().startswith(b"text/event-stream"),
            b"content-encoding" in by_name,
            tuple(each for each in headers if each[0].lower() not in dropped),
            announced == {LEAVING},
            b", ".join(sorted(announced - {LEAVING})).decode("latin-1"),
        )

    def local_response_headers(self, request_id: str) -> Sequence[Header]:
        """Return the headers of a response that this process generates itself."""
        return ((b"Request-Id", request_id.encode("latin-1")),) if request_id else ()


def _host(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].strip().lower()


def _connection_options(value: bytes) -> frozenset[bytes]:
    return frozenset(part.strip().lower() for part in value.split(b",") if part.strip())


def _non_negative_number(value: bytes | None) -> float | None:
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0.0 else None


def _token_count(value: bytes | None) -> int:
    """Return a bounded number of tokens, 0 for none or an invalid one."""
    return int(min(_non_negative_number(value) or 0.0, MAX_TOKENS))


def _event_id(value: bytes | None) -> int | None:
    number = _non_negative_number(value)
    return None if number is None or number > MAX_EVENT_ID else int(number)


def _chunk_id(stated_id: int) -> int:
    """Return an id of at most 64 bits; a longer one is replaced by its hash."""
    return stated_id if stated_id <= MAX_CHUNK_ID else stable_hash(f"{stated_id:x}")


def _prompt_chunks(value: bytes) -> Iterator[PromptChunk]:
    """Yield the chunks of an ID:TOKENS list, up to the first invalid item."""
    for entry in value.split(b","):
        chunk_id, _, tokens = entry.strip().partition(b":")
        try:
            chunk = PromptChunk(_chunk_id(int(chunk_id, 16)), int(tokens))
        except ValueError:
            return
        if chunk.chunk_id < 0 or not 0 <= chunk.tokens <= MAX_TOKENS:
            return
        yield chunk
