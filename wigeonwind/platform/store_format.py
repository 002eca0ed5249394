"""Encoding of requests to the platform's object store, decoding of its responses."""

from typing import Annotated, Any
from urllib.parse import quote, urlencode

import msgspec

from wigeonwind.outcomes import Ok
from wigeonwind.platform.json_text import (
    is_nested_too_deep,
    split_array,
    split_object,
)
from wigeonwind.state.store_format import StoreRequest
from wigeonwind.state.store_http import StoreResponse
from wigeonwind.state.store_types import (
    Conflict,
    HistoryExpired,
    NotFound,
    ObjectPage,
    StoredObject,
    WatchBatch,
    WatchEvent,
)

OBJECTS_PATH = "/api/objects/"
JSON_HEADERS = {"Content-Type": "application/json"}


MAX_NAME_CHARS = 1_024
"""Longest name of an object, in characters."""

MAX_ELEMENTS = 20_000
"""Most entries or events in a response. Pages of a listing have about 500."""

MAX_REVISION = 2**63 - 1
"""Largest revision of the store."""

SHOWN_NAME_CHARS = 60
"""Characters of an invalid name that are kept for log lines."""

DECODE_ERRORS = (ValueError, OverflowError, RecursionError)
"""What the decoding of JSON text raises; ValueError includes the errors of `msgspec`
and of character encodings."""

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Metadata(msgspec.Struct):
    name: str
    revision: Revision = 0
    """Store revision at which the object last changed."""


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct):
    entries: list[msgspec.Raw]
    """Texts of objects, decoded one by one because any of them may be invalid."""
    store_revision: Revision
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Changes(msgspec.Struct):
    events: list[msgspec.Raw]
    """Texts of events, decoded one by one."""
    store_revision: Revision


_decode_object = msgspec.json.Decoder(_Object).decode
_decode_listing = msgspec.json.Decoder(_Listing).decode
_decode_event = msgspec.json.Decoder(_Event).decode
_decode_changes = msgspec.json.Decoder(_Changes).decode
_decode_name = msgspec.json.Decoder(str).decode
_decode_revision = msgspec.json.Decoder(Revision).decode


class PlatformStoreFormat:
    """Implements `wigeonwind.state.store_format.StoreFormat`.

    Keys are `kind/name`, prefixes are `kind/`, values are the JSON text of `spec`. The
    version of an object is the store revision of its last change.

    Other programs may write objects as well. One that cannot be decoded has an empty
    value, and the others of its response are decoded as usual. If its name is invalid,
    its key is `kind//` with the beginning of that name; no other object has such a key.
    """

    era_header = "Store-Era"

    def get(self, key: str) -> StoreRequest:
        """Return the request that reads one object."""
        return StoreRequest("GET", OBJECTS_PATH + quote(key, safe="/"))

    def read_get(
        self, key: str, response: StoreResponse
    ) -> Ok[StoredObject] | NotFound | None:
        """Decode the response to `get`; None if it is invalid."""
        if response.status == 404:
            return NotFound(key)
        if response.status != 200:
            return None
        stored = _read_object(_kind(key), response.body)
        return Ok(stored) if stored.value else None

    def put(self, key: str, value: bytes, if_version: int) -> StoreRequest:
        """Return the request that creates (version 0) or replaces an object."""
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": name}
        if if_version:
            metadata["revision"] = if_version
        body = msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(value)})
        if if_version:
            path = OBJECTS_PATH + quote(key, safe="/")
            return StoreRequest("PUT", path, body, JSON_HEADERS)
        return StoreRequest("POST", OBJECTS_PATH + quote(kind), body, JSON_HEADERS)

    def read_put(self, key: str, response: StoreResponse) -> Ok[int] | Conflict | None:
        """Decode the response to `put`; None if it is invalid."""
        if response.status == 404:
            return Conflict(key, 0)
        if response.status == 409:
            return Conflict(key, _find_metadata(response.body).revision)
        stored = _decode_body(_decode_object, response, statuses=(200, 201))
        return None if stored is None else Ok(stored.metadata.revision)

    def delete(self, key: str, if_version: int) -> StoreRequest:
        """Return the request that deletes an object if its version is `if_version`."""
        path = OBJECTS_PATH + quote(key, safe="/")
        return StoreRequest("DELETE", f"{path}?revision={if_version}")

    def read_delete(
        self, key: str, response: StoreResponse
    ) -> Ok[None] | Conflict | None:
        """Decode the response to `delete`; None if it is invalid."""
        if response.status in (200, 204):
            return Ok(None)
        if response.status == 404:
            return Conflict(key, 0)
        if response.status == 409:
            return Conflict(key, _find_metadata(response.body).revision)
        return None

    def list_page(self, prefix: str, after: str) -> StoreRequest:
        """Return the request for a page of the objects of a kind, after a name."""
        path = OBJECTS_PATH + quote(_kind(prefix))
        query = "?" + urlencode({"after": after}) if after else ""
        return StoreRequest("GET", path + query)

    def read_list_page(
        self, prefix: str, response: StoreResponse
    ) -> Ok[ObjectPage] | None:
        """Decode the response to `list_page`; None if it is invalid."""
        listing = _decode_body(_decode_listing, response, elements=b"entries")
        if listing is None:
            return None
        kind = _kind(prefix)
        objects = tuple(_read_object(kind, bytes(each)) for each in listing.entries)
        names = [_name(each.key) for each in objects] if listing.has_more else []
        after = next(filter(is_valid_name, reversed(names)), "")
        return Ok(ObjectPage(objects, listing.store_revision, after))

    def watch(self, prefix: str, after: int, timeout_ms: float) -> StoreRequest:
        """Return the request that waits for changes after a revision."""
        query = urlencode({"watch": after, "wait_ms": int(timeout_ms)})
        return StoreRequest("GET", f"{OBJECTS_PATH}{quote(_kind(prefix))}?{query}")

    def read_watch(
        self, prefix: str, after: int, response: StoreResponse
    ) -> Ok[WatchBatch] | HistoryExpired | None:
        """Decode the response to `watch`; None if it is invalid."""
        if response.status == 410:
            return HistoryExpired(after)
        changes = _decode_body(_decode_changes, response, elements=b"events")
        if changes is None:
            return None
        kind = _kind(prefix)
        events = tuple(_read_event(kind, bytes(each)) for each in changes.events)
        return Ok(WatchBatch(changes.store_revision, events))


def is_valid_name(name: str) -> bool:
    """Return whether an object can have a name.

    >>> is_valid_name("i-1"), is_valid_name("a/b"), is_valid_name("")
    (True, False, False)
    """
    is_in_range = 0 < len(name) <= MAX_NAME_CHARS
    return is_in_range and name.isprintable() and "/" not in name


def _kind(key: str) -> str:
    return key.partition("/")[0]


def _name(key: str) -> str:
    return key.partition("/")[2]


def _read_object(kind: str, text: bytes) -> StoredObject:
    """Decode the text of an object; an invalid one has an empty value."""
    try:
        stored = _decode_object(text)
    except DECODE_ERRORS:
        found = _find_metadata(text)
        return StoredObject(_key(kind, found.name), found.revision, b"")
    metadata = stored.metadata
    is_valid = is_valid_name(metadata.name) and not is_nested_too_deep(text)
    value = bytes(stored.spec) if is_valid else b""
    return StoredObject(_key(kind, metadata.name), metadata.revision, value)


def _read_event(kind: str, text: bytes) -> WatchEvent:
    """Decode the text of an event; an invalid one is a change to an invalid object."""
    try:
        event = _decode_event(text)
        object_text, is_removed = bytes(event.object), event.removed
    except DECODE_ERRORS:
        members = split_object(text) or {}
        object_text = members.get(b"object", b"")
        is_removed = members.get(b"removed") == b"true"
    stored = _read_object(kind, object_text)
    return WatchEvent(
        stored.key, stored.version, stored.version, is_removed, stored.value
    )


def _key(kind: str, name: str) -> str:
    if is_valid_name(name):
        return f"{kind}/{name}"
    return f"{kind}//{name[:SHOWN_NAME_CHARS]}"


def _find_metadata(text: bytes) -> _Metadata:
    """Return what is valid of the metadata of an object that may be invalid.

    The name is empty and the revision 0 if they are missing or invalid.
    """
    members = split_object((split_object(text) or {}).get(b"metadata", b"")) or {}
    found = _Metadata("")
    try:
        found.name = _decode_name(members.get(b"name", b""))
        found.revision = _decode_revision(members.get(b"revision", b""))
    except DECODE_ERRORS:
        pass  # The fields after an invalid one are not needed.
    return found


def _decode_body(
    decode: Any,
    response: StoreResponse,
    statuses: tuple[int, ...] = (200,),
    elements: bytes = b"",
) -> Any:
    """Return the decoded body; None if the status is unexpected or the body invalid.

    `elements` is the key of a list of texts. A text that cannot be skipped by `decode`
    does not make the body invalid.
    """
    if response.status not in statuses:
        return None
    try:
        decoded = decode(response.body)
    except DECODE_ERRORS:
        if not elements:
            return None
        decoded = _decode_in_parts(decode, response.body, elements)
    if elements and len(getattr(decoded, elements.decode(), ())) > MAX_ELEMENTS:
        return None
    return decoded


def _decode_in_parts(decode: Any, body: bytes, elements: bytes) -> Any:
    """Return the decoded body with elements that were not decoded."""
    members = split_object(body) or {}
    texts = split_array(members.pop(elements, b""))
    if texts is None:
        return None
    members[elements] = b"[]"
    rest = b",".join(b'"%s":%s' % member for member in members.items())
    try:
        decoded = decode(b"{%s}" % rest)
    except DECODE_ERRORS:
        return None
    setattr(decoded, elements.decode(), [msgspec.Raw(each) for each in texts])
    return decoded
