"""Encodes requests to the object store and decodes its responses."""

import json
from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import quote, urlencode

from wigeonwind.outcomes import Ok
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

MAX_VERSION = 2**63 - 1
"""Largest version of an object, and largest revision of the store."""

CONTENT_TYPE = "application/octet-stream"


@dataclass(frozen=True)
class StoreRequest:
    """One HTTP request to the store."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


class StoreFormat(Protocol):
    """Encodes the requests of one object store API and decodes its responses.

    `era_header` names the response header that states the store's era, empty if the API
    has none.
    """

    era_header: str

    def get(self, key: str) -> StoreRequest:
        """Return the request that reads one object."""
        ...

    def read_get(
        self, key: str, response: StoreResponse
    ) -> Ok[StoredObject] | NotFound | None:
        """Decode the response to `get`; None if it is malformed."""
        ...

    def put(self, key: str, value: bytes, if_version: int) -> StoreRequest:
        """Return the request that writes if the object has `if_version`."""
        ...

    def read_put(self, key: str, response: StoreResponse) -> Ok[int] | Conflict | None:
        """Decode the response to `put`; None if it is malformed."""
        ...

    def delete(self, key: str, if_version: int) -> StoreRequest:
        """Return the request that deletes if the object has `if_version`."""
        ...

    def read_delete(
        self, key: str, response: StoreResponse
    ) -> Ok[None] | Conflict | None:
        """Decode the response to `delete`; None if it is malformed."""
        ...

    def list_page(self, prefix: str, after: str) -> StoreRequest:
        """Return the request that lists the objects under a prefix."""
        ...

    def read_list_page(
        self, prefix: str, response: StoreResponse
    ) -> Ok[ObjectPage] | None:
        """Decode the response to `list_page`; None if it is malformed."""
        ...

    def watch(self, prefix: str, after: int, timeout_ms: float) -> StoreRequest:
        """Return the request that waits for changes after a revision."""
        ...

    def read_watch(
        self, prefix: str, after: int, response: StoreResponse
    ) -> Ok[WatchBatch] | HistoryExpired | None:
        """Decode the response to `watch`; None if it is malformed."""
        ...


class NativeStoreFormat:
    """The object API of the project's own deployments and test doubles.

    Its listings and watch events contain versions but no values.
    """

    era_header = ""

    def get(self, key: str) -> StoreRequest:
        """Return the request that reads one object."""
        return StoreRequest("GET", _path(key))

    def read_get(
        self, key: str, response: StoreResponse
    ) -> Ok[StoredObject] | NotFound | None:
        """Decode the response to `get`; None if it is malformed."""
        if response.status == 404:
            return NotFound(key)
        body = _json(response)
        try:
            value = b64decode(body["value"], validate=True)
            return Ok(StoredObject(key, _number(body["version"]), value))
        except (*MALFORMED_RESPONSE_ERRORS, Base64Error):
            return None

    def put(self, key: str, value: bytes, if_version: int) -> StoreRequest:
        """Return the request that writes; the value is the raw body."""
        headers = {"If-Match": str(if_version), "Content-Type": CONTENT_TYPE}
        return StoreRequest("PUT", _path(key), value, headers)

    def read_put(self, key: str, response: StoreResponse) -> Ok[int] | Conflict | None:
        """Decode the response to `put`; None if it is malformed."""
        if response.status == 412:
            return _conflict(key, response)
        version = _version(response)
        if response.status == 200 and isinstance(version, int):
            return Ok(version)
        return None

    def delete(self, key: str, if_version: int) -> StoreRequest:
        """Return the request that deletes if the object has `if_version`."""
        headers = {"If-Match": str(if_version)}
        return StoreRequest("DELETE", _path(key), headers=headers)

    def read_delete(
        self, key: str, response: StoreResponse
    ) -> Ok[None] | Conflict | None:
        """Decode the response to `delete`; None if it is malformed."""
        if response.status == 412:
            return _conflict(key, response)
        if response.status in (200, 204):
            return Ok(None)
        return Conflict(key, 0) if response.status == 404 else None

    def list_page(self, prefix: str, after: str) -> StoreRequest:
        """Return the request that lists all objects, which are always one page."""
        return StoreRequest("GET", "/v1/objects?" + urlencode({"prefix": prefix}))

    def read_list_page(
        self, prefix: str, response: StoreResponse
    ) -> Ok[ObjectPage] | None:
        """Decode the response to `list_page`; None if it is malformed."""
        body = _json(response)
        rows: Any = body.get("objects") if isinstance(body, dict) else body
        try:
            objects = [
                StoredObject(_key(row["key"]), _number(row["version"]), b"")
                for row in rows
            ]
        except MALFORMED_RESPONSE_ERRORS:
            return None
        return Ok(ObjectPage(tuple(objects), 0))

    def watch(self, prefix: str, after: int, timeout_ms: float) -> StoreRequest:
        """Return the request that waits for changes after a revision."""
        fields = {"prefix": prefix, "after": after, "timeout_ms": int(timeout_ms)}
        return StoreRequest("GET", "/v1/watch?" + urlencode(fields))

    def read_watch(
        self, prefix: str, after: int, response: StoreResponse
    ) -> Ok[WatchBatch] | HistoryExpired | None:
        """Decode the response to `watch`; None if it is malformed."""
        body = _json(response)
        try:
            events = tuple(_event(row) for row in body["events"])
            return Ok(WatchBatch(_number(body["revision"]), events))
        except MALFORMED_RESPONSE_ERRORS:
            return None


MALFORMED_RESPONSE_ERRORS = (KeyError, TypeError, ValueError, OverflowError)
"""Exceptions raised when a decoded response has another structure than expected."""


def _path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="/")


def _json(response: StoreResponse) -> Any:
    try:
        return json.loads(response.body)
    except (ValueError, RecursionError):
        return {}


def _version(response: StoreResponse) -> int | None:
    """Return the field `version` of a response, or None if it has none."""
    body = _json(response)
    version = body.get("version") if isinstance(body, dict) else None
    try:
        return _number(version) if isinstance(version, int) else None
    except ValueError:
        return None


def _number(value: Any) -> int:
    """Return a version or revision; raises ValueError if it is out of range."""
    number = int(value)
    if not 0 <= number <= MAX_VERSION:
        raise ValueError(f"a version is not from 0 to {MAX_VERSION}")
    return number


def _key(value: Any) -> str:
    """Return a key; raises ValueError if it has no encoding."""
    key = str(value)
    key.encode()
    return key


def _event(row: Any) -> WatchEvent:
    revision, version = _number(row["revision"]), _number(row["version"])
    return WatchEvent(_key(row["key"]), version, revision, bool(row["deleted"]))


def _conflict(key: str, response: StoreResponse) -> Conflict:
    version = _version(response)
    return Conflict(key, version if isinstance(version, int) else 0)
