"""Reads what a starting box needs from the platform's store, before the box serves calls."""

import threading
from collections.abc import Callable

from .clock import boot_seconds

#: Delay before a failed call is retried, in seconds.
RETRY_SECONDS = 2.0
#: The same before the box serves calls, in seconds.
FIRST_RETRY_SECONDS = 0.2


def read_until_loaded(
    read: Callable[[], bool],
    loaded: threading.Event,
    stopped: threading.Event,
    serve_seconds: float,
) -> None:
    """Call `read` until it succeeds, which it returns, or until `stopped`; then set `loaded`.

    A failed read does not mean that there is nothing.  If the store stays unavailable, `loaded`
    is set at the first failure after `serve_seconds`, so that the box serves calls.
    """
    serves_at = boot_seconds() + serve_seconds
    try:
        while not stopped.is_set() and not read():
            if boot_seconds() >= serves_at:
                loaded.set()
            stopped.wait(RETRY_SECONDS if loaded.is_set() else FIRST_RETRY_SECONDS)
    finally:
        loaded.set()
