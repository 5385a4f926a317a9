"""Detects callers that disconnect while a worker thread waits for a backend server.

A thread that is blocked on a backend server does not notice that its caller's
connection closes.  One task watches the connections of all calls in flight and
cancels the call whose connection closes.
"""

import select
import socket
import threading

from ..ports import Cancellation

WAIT_SECONDS = 1.0
#: Each connection is reported once, when its caller closes or resets it.  Data is not an event:
#: after a pipelined request, or the line end that some callers add to a body, the close of the
#: connection must still be reported.
EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT


class CallerWatch:
    """The task that watches callers' connections and cancels calls whose caller left."""

    def __init__(self):
        self._poll = select.epoll()
        self._watched: dict[int, tuple[socket.socket, Cancellation]] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name='caller-watch', daemon=True)

    def start(self) -> None:
        """Start the watching thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the watching thread within WAIT_SECONDS."""
        self._stopped.set()

    def add(self, connection: socket.socket, cancellation: Cancellation) -> None:
        """Watch a caller's connection while its call is in flight."""
        number = connection.fileno()
        self._watched[number] = (connection, cancellation)
        self._poll.register(number, EVENTS)

    def remove(self, connection: socket.socket) -> None:
        """Stop watching a connection whose call has ended."""
        number = connection.fileno()
        if self._watched.pop(number, None) is not None:
            self._poll.unregister(number)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for number, _ in self._poll.poll(WAIT_SECONDS):
                watched = self._watched.get(number)
                if watched is not None and has_left(watched[0]):
                    watched[1].cancel()


def is_readable(connection: socket.socket) -> bool:
    """Whether a read from an open connection would not wait; this does not wait itself."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


def has_left(connection: socket.socket) -> bool:
    """Whether the caller closed or reset the connection; this does not wait.

    The watch may get an event of an earlier connection with the same file descriptor.
    """
    poll = select.poll()
    try:
        poll.register(connection, select.POLLRDHUP)
    except ValueError:
        # This box has closed it.
        return True
    return bool(poll.poll(0))
