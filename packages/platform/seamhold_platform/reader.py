"""Reads the objects of an answer, each by itself."""

from collections.abc import Callable, Iterable

from seamhold_messages.errors import PlatformUnreadable

from .json_parts import JsonUnreadable
from .objects import ObjectKind, PlatformObject

#: Called with the text of an object that has no readable name, and the reason.
OnUnnamed = Callable[[bytes, JsonUnreadable], None]


class ObjectReader:
    """Reads objects whose version is in the field `version_field` of their metadata.

    `unnamed` counts the objects of lists and watches that were left out because they have no
    readable name; `on_unnamed` is called for each.
    """

    def __init__(self, version_field: str, on_unnamed: OnUnnamed):
        self.unnamed = 0
        self._version_field = version_field
        self._on_unnamed = on_unnamed

    def read_named(self, kind: ObjectKind, texts: Iterable[bytes]) -> list[PlatformObject]:
        """Return the objects that have a name."""
        found = []
        for text in texts:
            try:
                found.append(PlatformObject.from_json(text, kind, self._version_field))
            except JsonUnreadable as error:
                self.unnamed += 1
                self._on_unnamed(text, error)
        return found

    def read_one(self, kind: ObjectKind, text: bytes) -> PlatformObject:
        """Return the only object of an answer; raises PlatformUnreadable."""
        try:
            item = PlatformObject.from_json(text, kind, self._version_field)
        except JsonUnreadable as error:
            raise PlatformUnreadable(f'{kind}: {error}') from error
        if item.unreadable:
            raise PlatformUnreadable(f'{kind}: {item.unreadable}')
        return item
