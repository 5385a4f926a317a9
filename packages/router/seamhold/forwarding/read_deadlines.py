"""Ends reads of callers' requests that do not arrive in time.

A socket's timeout limits one read, so a caller that sends a byte now and then would hold a
thread for as long as it likes.
"""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

CHECK_SECONDS = 0.5


class ReadLimit:
    """The time that one read of a request has; `passed` is set once it is over."""

    def __init__(self, connection: socket.socket, ends_at: float):
        self.connection = connection
        self.ends_at = ends_at
        self.passed = False

    def end(self) -> None:
        """Let the read see the end of the caller's data; answers can still be sent."""
        self.passed = True
        try:
            self.connection.shutdown(socket.SHUT_RD)
        except OSError:
            # The caller has closed the connection, which ends the read, too.
            pass


class ReadDeadlines:
    """The task that ends the reads whose time is over, at most CHECK_SECONDS late."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._limits: set[ReadLimit] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='read-deadlines', daemon=True)

    def start(self) -> None:
        """Start the checking thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the checking thread."""
        self._stopped.set()

    def end_all(self) -> None:
        """End all reads now, as the box stops."""
        with self._lock:
            self._end(self._limits)

    @contextmanager
    def limit(self, connection: socket.socket, seconds: float) -> Iterator[ReadLimit]:
        """Limit the time of the reads within the context."""
        limit = ReadLimit(connection, self._clock() + seconds)
        with self._lock:
            self._limits.add(limit)
        try:
            yield limit
        finally:
            with self._lock:
                self._limits.discard(limit)

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_SECONDS):
            now = self._clock()
            with self._lock:
                self._end({limit for limit in self._limits if limit.ends_at <= now})

    def _end(self, limits: set[ReadLimit]) -> None:
        # Under the lock: the connection may serve the next request once its read ended.
        for limit in limits:
            limit.end()
        self._limits = self._limits - limits
