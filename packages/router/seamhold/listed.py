"""One of the platform's lists as a box has it in use."""

import threading
from typing import Generic, TypeVar

Item = TypeVar('Item')


class ListInUse(Generic[Item]):
    """The items of a list, the revision that they stood at, and whether there are any yet.

    A version of 0 means that the platform does not tell one.
    """

    def __init__(self):
        #: None before the first list.
        self.items: list[Item] | None = None
        self.version = 0
        self.known = threading.Event()

    def is_news(self, version: int) -> bool:
        """Whether a list of this version goes before the one in use; 0 always does."""
        return self.items is None or not 0 < version <= self.version

    def put(self, items: list[Item], version: int) -> None:
        """Take a list into use."""
        self.items = items
        self.version = version
        self.known.set()
