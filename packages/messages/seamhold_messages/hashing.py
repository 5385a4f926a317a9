"""Hashes (xxHash) that are the same on all boxes; of text unless the name says otherwise."""

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest, xxh32_intdigest

#: Number of distinct values of `hash32`.
HASH32_SPAN = 2**32


def hash32(text: str) -> int:
    """Return a 32-bit hash."""
    return xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a 64-bit hash."""
    return xxh3_64_intdigest(text.encode())


def hash64_bytes(data: bytes) -> int:
    """Return a 64-bit hash of binary data."""
    return xxh3_64_intdigest(data)


def hash128(text: str) -> str:
    """Return a 128-bit hash as 32 hexadecimal digits."""
    return xxh3_128_hexdigest(text.encode())
