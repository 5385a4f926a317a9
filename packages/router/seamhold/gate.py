"""Limits the calls in progress on a box, and refuses new ones when the box stops."""

import threading

from seamhold_messages.errors import BoxFull, NotReady

RETRY_AFTER_SECONDS = 1.0


def stopping() -> NotReady:
    """Return the refusal of a box that stops."""
    return NotReady('this box is stopping; retry at another box', RETRY_AFTER_SECONDS)


class Gate:
    """Counts the calls in progress, up to `limit`, and refuses new ones once closed."""

    def __init__(self, limit: int):
        self.limit = limit
        self.draining = False
        self.closed = False
        self._active = 0
        self._paused = 0
        self._changed = threading.Condition()

    @property
    def active(self) -> int:
        """Number of calls in progress."""
        return self._active

    def enter(self) -> None:
        """Count a new call; raises BoxFull or NotReady."""
        with self._changed:
            if self.closed:
                raise stopping()
            if self._active >= self.limit:
                raise BoxFull('every thread of this box is serving a call', RETRY_AFTER_SECONDS)
            self._active += 1

    def leave(self) -> None:
        """Record that a call has ended."""
        with self._changed:
            self._active -= 1
            self._changed.notify_all()

    def pause(self) -> None:
        """Record that a call waits for its caller to read, without a thread."""
        with self._changed:
            self._active -= 1
            self._paused += 1

    def resume(self) -> None:
        """Record that a paused call goes on; it is not refused for the limit."""
        with self._changed:
            self._paused -= 1
            self._active += 1

    def close(self) -> None:
        """Refuse further calls."""
        with self._changed:
            self.closed = True

    def wait_empty(self, seconds: float) -> bool:
        """Wait at most `seconds` for all calls to end, also paused ones; whether they did."""
        with self._changed:
            return self._changed.wait_for(lambda: self._active + self._paused == 0, seconds)
