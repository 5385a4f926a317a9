"""Names as they travel: packed 32-bit hashes, which both sides can name."""

import struct
from collections.abc import Iterable

from seamhold_messages.hashing import hash32

KEY_BYTES = 4


class NameTable:
    """Names by their 32-bit hash."""

    def __init__(self):
        self._names: dict[int, str] = {}

    def add(self, names: Iterable[str]) -> None:
        """Make these names readable."""
        for name in names:
            self._names[self.key(name)] = name

    @staticmethod
    def key(name: str) -> int:
        """The hash that a name travels as."""
        return hash32(name)

    def name(self, key: int) -> str | None:
        """The name behind a hash, if it is known here."""
        return self._names.get(key)


def pack(keys: Iterable[int]) -> bytes:
    """32-bit numbers, one behind the other."""
    numbers = list(keys)
    return struct.pack(f'<{len(numbers)}I', *numbers)


def unpack(data: bytes) -> tuple[int, ...]:
    """The numbers that were packed; raises struct.error if they are cut."""
    return struct.unpack(f'<{len(data) // KEY_BYTES}I', data)


def pack_names(names: Iterable[str]) -> bytes:
    """The hashes of names, packed."""
    return pack(map(NameTable.key, names))
