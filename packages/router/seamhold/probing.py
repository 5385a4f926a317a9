"""Whether a backend server's process has ended."""

import socket
import time
from enum import Enum, auto

#: A server that is there answers within some round trips, and a machine whose process
#: ended refuses as fast; one that says nothing tells nothing.  In seconds.
PROBE_SECONDS = 0.1
#: A process that ends loses its connections some milliseconds before its port: until then
#: it seems to listen, and what was opened meanwhile is reset.  In seconds; a server that
#: lives holds a call that it cut up for so long.
CLOSING_SECONDS = 0.03
#: Pauses before each look, in seconds: what ends may reset one more before it refuses, and
#: what lives may have as many connections as it takes.
LOOK_PAUSES_SECONDS = (0.0, 0.002, 0.01)


class _Found(Enum):
    """What a look at an address found."""

    REFUSES = auto()
    QUIET = auto()
    RESETS = auto()


def refuses_connections(address: str) -> bool:
    """Whether nobody listens at `address` (`ip:port`) any more, or in a moment.

    False where that cannot be told: the machine is cut off, or has lost power.
    """
    for pause in LOOK_PAUSES_SECONDS:
        time.sleep(pause)
        found = _look(address)
        if found is not _Found.RESETS:
            return found is _Found.REFUSES
    return False


def _look(address: str) -> _Found:
    """Connect, and see whether a connection on which nothing is asked stays."""
    host, _, port = address.rpartition(':')
    try:
        with socket.create_connection((host, int(port)), PROBE_SECONDS) as connection:
            connection.settimeout(CLOSING_SECONDS)
            return _Found.QUIET if connection.recv(1) else _Found.RESETS
    except ConnectionRefusedError:
        return _Found.REFUSES
    except TimeoutError:
        return _Found.QUIET
    except OSError:
        return _Found.RESETS


def was_refused(error: BaseException) -> bool:
    """Whether a connection failed since nobody listens there; the libraries wrap why."""
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, ConnectionRefusedError):
        cause = cause.__cause__
    return cause is not None
