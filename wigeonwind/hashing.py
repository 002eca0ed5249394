"""A fast non-cryptographic hash for placement and digests."""

from xxhash import xxh64_intdigest


def stable_hash(value: str | bytes) -> int:
    """Return a 64-bit hash of `value` that is the same in every process.

    >>> stable_hash("a") == stable_hash("a")
    True
    """
    return xxh64_intdigest(value.encode() if isinstance(value, str) else value)
