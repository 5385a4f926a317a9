"""Names on the wire: packed 32-bit hashes that the receiver resolves to names."""

import struct
from collections.abc import Iterable

from seamhold_messages.hashing import hash32

KEY_BYTES = 4


class NameTable:
    """Resolves 32-bit hashes to names."""

    def __init__(self):
        self._names: dict[int, str] = {}

    def add(self, names: Iterable[str]) -> None:
        """Register names, so that their hashes can be resolved."""
        for name in names:
            self._names[self.key(name)] = name

    @staticmethod
    def key(name: str) -> int:
        """Return the hash that stands for a name on the wire."""
        return hash32(name)

    def name(self, key: int) -> str | None:
        """Return the name of a hash, or None if it is not registered."""
        return self._names.get(key)


def pack(keys: Iterable[int]) -> bytes:
    """Pack 32-bit unsigned integers, little-endian."""
    numbers = list(keys)
    return struct.pack(f'<{len(numbers)}I', *numbers)


def unpack(data: bytes) -> tuple[int, ...]:
    """Return the packed integers; raises struct.error if the data is truncated."""
    return struct.unpack(f'<{len(data) // KEY_BYTES}I', data)


def pack_names(names: Iterable[str]) -> bytes:
    """Pack the hashes of names."""
    return pack(map(NameTable.key, names))
