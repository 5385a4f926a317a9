"""Recognises entries of other writers on the platform's list of engines."""

from collections import Counter
from collections.abc import Container

from seamhold_messages.fleet import Engine


def without_foreign_entries(engines: list[Engine], tracked: Container[str]) -> list[Engine]:
    """Return the list without entries that other writers added, recognised by a missing start.

    If most engines of a service carry their start time, an entry without one is not an engine
    of the service; if most do not, the platform does not provide it.  A `tracked` engine stays:
    an upgrade that adds the start time replaces engines one after the other.
    """
    listed = Counter(engine.service for engine in engines)
    with_start = Counter(engine.service for engine in engines if engine.started)
    return [
        engine
        for engine in engines
        if engine.started
        or engine.name in tracked
        or 2 * with_start[engine.service] <= listed[engine.service]
    ]
