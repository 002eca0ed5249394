"""One fast hash for placement and digests; not for secrets."""

from xxhash import xxh64_intdigest


def hash_text(text: str) -> int:
    """Return a 64-bit hash of `text`, equal in every process.

    >>> hash_text("a") == hash_text("a")
    True
    """
    return xxh64_intdigest(text.encode())
