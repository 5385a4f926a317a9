"""Tells the tasks that follow the platform's store when this box needs it."""

import threading


class StoreWanted:
    """Whether the store is wanted for long, and the number of single looks so far."""

    def __init__(self):
        self._changed = threading.Condition()
        self._wanted = True
        self.look = 0

    def is_set(self) -> bool:
        """Whether the store is wanted for long."""
        return self._wanted

    def set(self, wanted: bool) -> None:
        """Change whether the store is wanted for long."""
        with self._changed:
            self._wanted = wanted
            self._changed.notify_all()

    def begin_look(self) -> None:
        """Let each task read the store once."""
        with self._changed:
            self.look += 1
            self._changed.notify_all()

    def wait(self, looked: int, seconds: float) -> None:
        """Wait at most `seconds` until the store is wanted, or for a look after `looked`."""
        with self._changed:
            self._changed.wait_for(lambda: self._wanted or self.look != looked, seconds)
