"""Encoding of requests to the platform's object store, decoding of its responses."""

from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from wigeonwind.outcomes import Ok
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


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0
    """Store revision at which the object last changed."""


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct):
    entries: list[_Object]
    store_revision: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Changes(msgspec.Struct):
    events: list[_Event]
    store_revision: int


_decode_object = msgspec.json.Decoder(_Object).decode
_decode_listing = msgspec.json.Decoder(_Listing).decode
_decode_changes = msgspec.json.Decoder(_Changes).decode


class PlatformStoreFormat:
    """Implements `wigeonwind.state.store_format.StoreFormat`.

    Keys are `kind/name`, prefixes are `kind/`, values are the JSON text of `spec`. The
    version of an object is the store revision of its last change.
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
        stored = _decode_body(_decode_object, response)
        return None if stored is None else Ok(_to_stored_object(_kind(key), stored))

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
        stored = _decode_body(_decode_object, response, statuses=(200, 201, 409))
        if stored is None:
            return Conflict(key, 0) if response.status == 409 else None
        revision = stored.metadata.revision
        return Conflict(key, revision) if response.status == 409 else Ok(revision)

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
        stored = _decode_body(_decode_object, response, statuses=(409,))
        if stored is None:
            return Conflict(key, 0) if response.status == 409 else None
        return Conflict(key, stored.metadata.revision)

    def list_page(self, prefix: str, after: str) -> StoreRequest:
        """Return the request for a page of the objects of a kind, after a name."""
        path = OBJECTS_PATH + quote(_kind(prefix))
        query = "?" + urlencode({"after": after}) if after else ""
        return StoreRequest("GET", path + query)

    def read_list_page(
        self, prefix: str, response: StoreResponse
    ) -> Ok[ObjectPage] | None:
        """Decode the response to `list_page`; None if it is invalid."""
        listing = _decode_body(_decode_listing, response)
        if listing is None:
            return None
        kind = _kind(prefix)
        objects = tuple(_to_stored_object(kind, each) for each in listing.entries)
        has_next = listing.has_more and listing.entries
        after = listing.entries[-1].metadata.name if has_next else ""
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
        changes = _decode_body(_decode_changes, response)
        if changes is None:
            return None
        events = tuple(_to_watch_event(_kind(prefix), each) for each in changes.events)
        return Ok(WatchBatch(changes.store_revision, events))


def _kind(key: str) -> str:
    return key.partition("/")[0]


def _to_stored_object(kind: str, stored: _Object) -> StoredObject:
    metadata = stored.metadata
    return StoredObject(
        f"{kind}/{metadata.name}", metadata.revision, bytes(stored.spec)
    )


def _to_watch_event(kind: str, event: _Event) -> WatchEvent:
    stored = _to_stored_object(kind, event.object)
    return WatchEvent(
        stored.key, stored.version, stored.version, event.removed, stored.value
    )


def _decode_body(
    decode: Any, response: StoreResponse, statuses: tuple[int, ...] = (200,)
) -> Any:
    """Return the decoded body; None if the status is unexpected or the body invalid."""
    if response.status not in statuses:
        return None
    try:
        return decode(response.body)
    except msgspec.DecodeError:
        return None
