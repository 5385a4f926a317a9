"""One of the platform's lists as a box uses it."""

import threading
from typing import Generic, TypeVar

Item = TypeVar('Item')


class ListInUse(Generic[Item]):
    """The items of a list, their version, and an event that is set by the first list.

    Version 0 means that the platform states none.
    """

    def __init__(self):
        #: None before the first list.
        self.items: list[Item] | None = None
        self.version = 0
        self.loaded = threading.Event()

    def is_update(self, version: int) -> bool:
        """Whether a list of this version replaces the one in use; version 0 always does."""
        return self.items is None or not 0 < version <= self.version

    def put(self, items: list[Item], version: int) -> None:
        """Replace the list in use."""
        self.items = items
        self.version = version
        self.loaded.set()
