"""Counts the calls in progress on a box, and closes when the box stops."""

import threading

from seamhold_messages.errors import BoxFull, NotReady


class Gate:
    """Counts calls in progress, and closes when the box stops."""

    def __init__(self, most: int):
        self.most = most
        self.draining = False
        self.closed = False
        self._active = 0
        self._changed = threading.Condition()

    @property
    def active(self) -> int:
        """Calls in progress."""
        return self._active

    def enter(self) -> None:
        """One more call, or BoxFull or NotReady."""
        with self._changed:
            if self.closed:
                raise NotReady('this box is stopping; another will serve you', 1.0)
            if self._active >= self.most:
                raise BoxFull('every thread of this box carries a call', 1.0)
            self._active += 1

    def leave(self) -> None:
        """A call has ended."""
        with self._changed:
            self._active -= 1
            self._changed.notify_all()

    def close(self) -> None:
        """Take no more calls."""
        with self._changed:
            self.closed = True

    def wait_empty(self, seconds: float) -> bool:
        """Whether all calls ended within `seconds`."""
        with self._changed:
            return self._changed.wait_for(lambda: self._active == 0, seconds)
