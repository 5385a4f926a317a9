"""Checks whether a backend server's process is alive or has ended."""

import socket
import time
from collections.abc import Callable
from enum import Enum, StrEnum, auto
from typing import Protocol

from .causes import caused_by

#: Connect timeout, in seconds.  A running server accepts within a few round trips, and a
#: machine whose process ended refuses as fast; a timeout shows neither.
PROBE_SECONDS = 0.1
#: How long a new connection must stay open to count as accepted, in seconds.  A process that
#: ends loses its connections some milliseconds before its port: until then it seems to listen,
#: and connections opened in between are reset.  If a running server cut a call, the probe
#: delays that call by this time.
CLOSING_SECONDS = 0.03
#: Pause before each probe, in seconds.  A process that ends may reset one more connection
#: before it refuses, and a running server at its connection limit resets them too.  Where the
#: processor is busy, a process needs longer between the two.
PROBE_PAUSES_SECONDS = (0.0, 0.002, 0.01, 0.03, 0.1)


class Liveness(StrEnum):
    """Whether a server's process runs, as far as its address shows.

    `ALIVE`: it accepts connections, even if it resets all of them, as a full server does.
    `UNKNOWN`: nothing answers there, as when the machine has lost power or cannot be reached.
    """

    ALIVE = 'alive'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


class ProbedConnection(Protocol):
    """The part of a connected socket that a probe uses."""

    def settimeout(self, seconds: float | None) -> None:
        """Limit each receive that follows, in seconds."""

    def recv_into(self, buffer: memoryview) -> int:
        """Receive bytes into a buffer; 0 at the end, raises OSError."""

    def close(self) -> None:
        """Close the connection."""


class _Found(Enum):
    """The result of one probe: refused, no answer, open and quiet, or reset."""

    REFUSES = auto()
    SILENT = auto()
    QUIET = auto()
    RESETS = auto()


LIVENESS_BY_FOUND = {
    _Found.REFUSES: Liveness.ENDED,
    _Found.SILENT: Liveness.UNKNOWN,
    _Found.QUIET: Liveness.ALIVE,
}


def refuses_connections(address: str) -> bool:
    """Whether no process listens at `address` (`ip:port`), or its process is ending.

    False where that is unknown: the machine is unreachable, or has lost power.
    """
    return liveness_at(address) is Liveness.ENDED


def liveness_at(address: str) -> Liveness:
    """Return whether a process listens at `address` (`ip:port`) and is not ending."""
    host, _, port = address.rpartition(':')
    return find_liveness(lambda: socket.create_connection((host, int(port)), PROBE_SECONDS))


def find_liveness(connect: Callable[[], ProbedConnection]) -> Liveness:
    """Return whether the process that `connect` connects to is alive.

    `connect` raises OSError, which is a ConnectionRefusedError if no process listens.
    """
    for pause in PROBE_PAUSES_SECONDS:
        time.sleep(pause)
        found = _probe(connect)
        if found is not _Found.RESETS:
            return LIVENESS_BY_FOUND[found]
    return Liveness.ALIVE


def _probe(connect: Callable[[], ProbedConnection]) -> _Found:
    """Connect without sending anything, and check whether the connection stays open."""
    try:
        connection = connect()
    except ConnectionRefusedError:
        return _Found.REFUSES
    except ConnectionResetError:
        return _Found.RESETS
    except OSError:
        return _Found.SILENT
    try:
        connection.settimeout(CLOSING_SECONDS)
        received = connection.recv_into(memoryview(bytearray(1)))
        return _Found.QUIET if received else _Found.RESETS
    except TimeoutError:
        return _Found.QUIET
    except OSError:
        return _Found.RESETS
    finally:
        connection.close()


def was_refused(error: BaseException) -> bool:
    """Whether a connection was refused."""
    return caused_by(error, ConnectionRefusedError)
