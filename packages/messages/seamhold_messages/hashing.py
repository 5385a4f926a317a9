"""Hashes that all boxes compute alike (xxHash), of text unless a name says otherwise."""

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest, xxh32_intdigest

#: How many values `hash32` has.
HASH32_SPAN = 2**32


def hash32(text: str) -> int:
    """32 bits."""
    return xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """64 bits."""
    return xxh3_64_intdigest(text.encode())


def hash64_bytes(data: bytes) -> int:
    """64 bits of what is no text."""
    return xxh3_64_intdigest(data)


def hash128(text: str) -> str:
    """128 bits, as 32 hexadecimal digits."""
    return xxh3_128_hexdigest(text.encode())
