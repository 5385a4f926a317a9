"""Bounds on what is read of one answer: a deadline and a number of bytes.

A socket's timeout limits one read, so a peer that sends a byte now and then, or interim answers
or header lines without end, holds its reader for as long as it likes.
"""

import io
import math
from collections.abc import Callable
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from .strict_response import StrictResponse

#: The socket's timeout is set again once the time left falls below this share of it: a system
#: call per read would cost more than a deadline that is late by 5 %.
TIMEOUT_REUSE_SHARE = 0.95


class AnswerTooLong(ValueError):
    """A peer sent more bytes than an answer may have."""


class BoundedSocket:
    """A connected socket whose reads end at a deadline, and after a number of bytes.

    Without limits it is as the socket that it wraps.
    """

    def __init__(self, connected: Any, clock: Callable[[], float]):
        self._connected = connected
        self._clock = clock
        self._deadline = math.inf
        self._bytes_left = math.inf
        #: The timeout asked for by the user of the socket, and the one that is set on it.
        self._asked = math.inf
        self._timeout = math.inf

    def limit(self, deadline: float, max_bytes: float) -> None:
        """Limit what is read from now on; `deadline` is in seconds on the clock."""
        self._deadline = deadline
        self._bytes_left = max_bytes
        self._timeout = math.inf

    def makefile(self, *_args: Any, **_options: Any) -> io.BufferedReader:
        """Return a file to read from; the connection stays open until it is closed, too."""
        raw = self._connected.makefile('rb', buffering=0)
        return io.BufferedReader(_BoundedFile(raw, self))

    def before_read(self) -> None:
        """Set the timeout of the next read; raises TimeoutError if the deadline has passed."""
        left = self._deadline - self._clock()
        if left <= 0:
            raise TimeoutError('the answer did not end in time')
        wanted = min(left, self._asked)
        if wanted < self._timeout * TIMEOUT_REUSE_SHARE:
            self._timeout = wanted
            self._connected.settimeout(wanted)

    def settimeout(self, seconds: float | None) -> None:
        """Limit each send and read; None for no limit but the deadline."""
        self._asked = self._timeout = math.inf if seconds is None else seconds
        self._connected.settimeout(seconds)

    def count(self, received: int) -> None:
        """Count received bytes; raises AnswerTooLong beyond the limit."""
        self._bytes_left -= received
        if self._bytes_left < 0:
            raise AnswerTooLong('the peer sent more bytes than an answer may have')

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connected, name)


class _BoundedFile(io.RawIOBase):
    """A readable file over a bounded socket."""

    def __init__(self, raw: io.RawIOBase, bounds: BoundedSocket):
        self._raw = raw
        self._bounds = bounds

    def readable(self) -> bool:
        """Tell the buffered reader that this file can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer; raises OSError or AnswerTooLong."""
        self._bounds.before_read()
        received = self._raw.readinto(buffer)
        self._bounds.count(received or 0)
        return received

    def close(self) -> None:
        """Close the file."""
        if not self.closed:
            super().close()
            self._raw.close()


def bounded_pools(
    clock: Callable[[], float], max_bytes: float, **options: Any
) -> urllib3.PoolManager:
    """Return connection pools that read each answer within its timeout and `max_bytes`."""

    class Connection(HTTPConnection):
        response_class = StrictResponse

        def connect(self) -> None:
            super().connect()
            self.bounds = BoundedSocket(self.sock, clock)
            self.sock: Any = self.bounds

        def getresponse(self) -> Any:
            if isinstance(self.timeout, int | float):
                self.bounds.limit(clock() + self.timeout, max_bytes)
            return super().getresponse()

    class Pool(HTTPConnectionPool):
        ConnectionCls = Connection

    pools = urllib3.PoolManager(**options)
    pools.pool_classes_by_scheme = {'http': Pool}
    return pools
