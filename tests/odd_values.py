"""Odd objects of a store: texts that another writer may leave among sound ones."""

import json

DEEP = 1_100
"""Nesting beyond the recursion limits of JSON decoders."""

VERY_DEEP = 100_000

HUGE = "9" * 400

PLACE = '"PLACE"'
"""Stands for the odd text in a JSON template."""

SPEC = {
    "backend": "desk",
    "address": "127.0.0.1:9",
    "zone": "tartu-a",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq": 1,
    "born": 1000,
}


def nested(depth):
    """Return the text of nested lists."""
    return "[" * depth + "]" * depth


ODD_TEXTS = {
    "deep": nested(DEEP),
    "deep objects": '{"a":' * DEEP + "1" + "}" * DEEP,
    "very deep": nested(VERY_DEEP),
    "lone surrogate": '"\\ud800"',
    "invalid UTF-8": b'"\xff\xfe"',
    "null byte": b'"a\0b"',
    "bad escape": '"\\x"',
    "NaN": "NaN",
    "infinity": "-Infinity",
    "1e400": "1e400",
    "400 digits": HUGE,
    "5,000 digits": "9" * 5_000,
    "1 MB": '"' + "x" * 1_000_000 + '"',
}
"""Texts that are odd wherever they are, by name."""


def place(template, text):
    """Return the JSON text of `template` with `text` in its place."""
    odd = text if isinstance(text, bytes) else text.encode()
    return json.dumps(template).encode().replace(PLACE.encode(), odd)


def stored(name, spec=None, **fields):
    """Return an object with the spec of an endpoint entry."""
    metadata = {"name": name, "revision": 5, "created": 1}
    spec = SPEC if spec is None else spec
    return {"metadata": metadata, "spec": spec, "status": None} | fields


def odd_objects(name):
    """Yield the label and the text of odd objects that state `name`."""
    for label, text in ODD_TEXTS.items():
        spec = SPEC | {"extra": "PLACE"}
        yield f"{label} in spec", place(stored(name, spec), text)
        yield f"{label} in zone", place(stored(name, SPEC | {"zone": "PLACE"}), text)
        if label in ("deep", "deep objects", "very deep"):
            yield f"{label} in status", place(stored(name, status="PLACE"), text)
            yield f"{label} in a field", place(stored(name, extra="PLACE"), text)
            metadata = {"name": name, "revision": 5, "finalizers": "PLACE"}
            yield (
                f"{label} in metadata",
                place(stored(name, metadata=metadata), text),
            )
        metadata = {"name": name, "revision": "PLACE"}
        yield f"{label} as revision", place(stored(name, metadata=metadata), text)
    for field, text in FIELD_VALUES:
        label = f"{field} = {text[:30]}"
        yield label, place(stored(name, SPEC | {field: "PLACE"}), text)
    for text in ("null", "3", '"x"', "[]", "{}", "true", ""):
        yield f"spec = {text!r}", place(stored(name, "PLACE"), text)
    for text in ("-1", "1.5", '"5"', "null", "[]", "{}"):
        metadata = {"name": name, "revision": "PLACE"}
        yield f"revision = {text}", place(stored(name, metadata=metadata), text)
    twice = json.dumps(stored(name)).encode()
    yield "duplicate key", twice.replace(b'"seq": 1', b'"seq": 1, "state": "draining"')


FIELD_VALUES = [
    *(
        (field, text)
        for field in ("capacity", "born", "seq")
        for text in ("-1", "1.5", "1e400", HUGE, "NaN", '"1"', "null", "true", "[]")
    ),
    *(
        ("address", f'"{text}"')
        for text in (
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:-1",
            "127.0.0.1:99999999999",
            "127.0.0.1:" + "9" * 5_000,
            "127.0.0.1:8_0",
            "127.0.0.1:+80",
            "127.0.0.1: 80",
            " 127.0.0.1:80",
            "127.0.0.1:80 ",
            "127.0.0.1:\\u0668\\u0660",
            "127.0.0.1.x:80",
            "127.0.0.\\u00b2:80",
            "127.0.0.1",
            "127.0.0.1:",
            ":80",
            "[::1]:80",
            "::1:80",
            "localhost:80",
            "127.0.0.1\\u0000:80",
        )
    ),
    *(
        (field, text)
        for field in ("backend", "address", "zone", "state")
        for text in ("null", "3", "[]", "{}", "true", '"a\\u0000b"', f'"{"x" * 5_000}"')
    ),
    ("warmup_left_ms", '"x"'),
    ("version", "[]"),
]

ODD_NAMES = {
    "empty name": '""',
    "name with a slash": '"a/b"',
    "name of 5,000 characters": '"' + "n" * 5_000 + '"',
    "name with a line break": '"a\\r\\nHost: b"',
    "name with a null byte": '"a\\u0000b"',
    "name not text": "3",
    "name null": "null",
    "name a list": "[]",
    "name with a lone surrogate": '"\\ud800"',
}


def unnamed_objects():
    """Yield the label and the text of objects without a usable name."""
    for label, text in ODD_NAMES.items():
        metadata = {"name": "PLACE", "revision": 5}
        yield label, place(stored("", metadata=metadata), text)
    yield "name missing", place(stored("", metadata={"revision": 5}), "")
    for text in ("null", "3", '"x"', "[]", "{}"):
        yield f"metadata = {text}", place(stored("", metadata="PLACE"), text)
    for text in ("null", "3", '"x"', "[]", "{}", "NaN", "true", nested(DEEP)):
        yield f"element = {text[:20]}", text.encode()
