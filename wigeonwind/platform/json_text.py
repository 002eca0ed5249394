"""Splitting of JSON text into its direct parts, without decoding and recursion."""

import re

MAX_NESTING = 64
"""Deepest nesting of lists and objects in a stored object, in levels."""

# Possessive quantifiers and the optional end keep the search linear in the text.
_MARK = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{]++|[\]}]++|,', re.DOTALL)
_KEY = re.compile(rb'\s*"((?:[^"\\]++|\\.)*+)"\s*:', re.DOTALL)
_WHITESPACE = b" \t\r\n"
_OPENING = frozenset(b"[{")
_CLOSING = frozenset(b"]}")
_COMMA = ord(",")


def split_array(text: bytes) -> list[bytes] | None:
    """Return the texts of the elements, None if the text is not one array.

    Strings and brackets are matched. The elements are not checked, but none is empty.

    >>> split_array(b'[1, {"a": [2, NaN]}]')
    [b'1', b'{"a": [2, NaN]}']
    """
    return _split(text, b"[", b"]")


def split_object(text: bytes) -> dict[bytes, bytes] | None:
    """Return the texts of the values by the text of their key, of duplicates the last.

    None if the text is not one object. The values are not checked.

    >>> split_object(b'{"a": 1, "b": [2]}')
    {b'a': b'1', b'b': b'[2]'}
    """
    parts = _split(text, b"{", b"}")
    if parts is None:
        return None
    value_by_key = {}
    for part in parts:
        key = _KEY.match(part)
        if key is None:
            return None
        value_by_key[key[1]] = part[key.end() :].strip(_WHITESPACE)
    return value_by_key


def is_nested_too_deep(text: bytes) -> bool:
    """Return whether lists and objects are nested more than MAX_NESTING levels deep.

    >>> is_nested_too_deep(b"[[1]]"), is_nested_too_deep(b"[" * 100_000)
    (False, True)
    """
    if text.count(b"[") + text.count(b"{") <= MAX_NESTING:
        return False
    depth = 0
    for mark in _MARK.finditer(text):
        first = text[mark.start()]
        if first in _OPENING:
            depth += len(mark[0])
            if depth > MAX_NESTING:
                return True
        elif first in _CLOSING:
            depth -= len(mark[0])
    return False


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes] | None:
    text = text.strip(_WHITESPACE)
    if not text.startswith(opening) or not text.endswith(closing):
        return None
    parts: list[bytes] = []
    depth, start = 0, len(opening)
    for mark in _MARK.finditer(text):
        first = text[mark.start()]
        if first in _OPENING:
            depth += len(mark[0])
        elif first in _CLOSING:
            depth -= len(mark[0])
        if depth <= 0:
            end = mark.end() + depth
            if end != len(text):
                return None
            last = text[start : end - 1].strip(_WHITESPACE)
            if last:
                return [*parts, last]
            return None if parts else []
        if first == _COMMA and depth == 1:
            part = text[start : mark.start()].strip(_WHITESPACE)
            if not part:
                return None
            parts.append(part)
            start = mark.end()
    return None
