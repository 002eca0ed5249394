"""One fast hash for placement and digests; not for secrets."""

from xxhash import xxh64_intdigest


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of `text`, equal in every process.

    >>> stable_hash("a") == stable_hash("a")
    True
    """
    return xxh64_intdigest(text.encode())
