"""Events that spread from box to box: small, relayed and deduplicated.

Each event names its subject and the subject's incarnation, so that a repeat is recognised and
an old event does not affect a later start of the subject.  An event is relayed a number of
times that grows with the logarithm of the fleet size, as in the SWIM protocol's piggybacked
dissemination (Das, Gupta and Motivala), and is then kept only to recognise repeats.

When all boxes see the same occurrence at once, their events must not all be relayed: a box
accepts the events of an occurrence from a limited number of origins.
"""

import math
from collections import OrderedDict
from enum import IntEnum

from msgspec import Struct


class EventKind(IntEnum):
    """What happened; the lower number is sent first when bytes are short."""

    ENGINE_LEAVING = 1
    BOX_LEAVING = 2
    # 3 was a failing engine, which digests now carry as state.
    BOX_GONE = 4
    #: A watch of the platform's store by this box was not answered.
    WATCH_UNANSWERED = 5


#: Boxes that must report another box as gone before it counts as gone.
REPORTERS_FOR_GONE = 3
#: Origins from which an event is accepted and relayed; further ones add nothing.
ORIGINS_MAX = {
    EventKind.ENGINE_LEAVING: 1,
    EventKind.BOX_LEAVING: 1,
    EventKind.BOX_GONE: REPORTERS_FOR_GONE,
    EventKind.WATCH_UNANSWERED: 1,
}


class Event(Struct, frozen=True):
    """An occurrence and `origin`, the box that observed it."""

    kind: EventKind
    subject: str
    incarnation: str
    origin: str = ''

    @property
    def occurrence(self) -> tuple[EventKind, str, str]:
        """The event without its origin."""
        return (self.kind, self.subject, self.incarnation)


class EventLog:
    """Events to relay, and occurrences already seen."""

    SEEN_MAX = 8192
    RELAY_FACTOR = 2

    def __init__(self):
        #: The boxes that reported each occurrence.
        self._seen: OrderedDict[tuple[EventKind, str, str], set[str]] = OrderedDict()
        self._relays: dict[Event, int] = {}
        #: Number of events accepted so far; a caller that sees it grow can send at once.
        self.accepted = 0

    def add(self, event: Event, boxes: int) -> bool:
        """Accept `event`; False if it is a repeat or enough boxes reported the occurrence."""
        origins = self._seen.setdefault(event.occurrence, set())
        if event.origin in origins or len(origins) >= ORIGINS_MAX[event.kind]:
            return False
        origins.add(event.origin)
        self.accepted += 1
        while len(self._seen) > self.SEEN_MAX:
            self._seen.popitem(last=False)
        self._relays[event] = self.RELAY_FACTOR * (1 + math.ceil(math.log2(max(2, boxes))))
        return True

    def pending(self, limit: int) -> list[Event]:
        """Return up to `limit` events for the next message, by kind, then most relays left."""
        ordered = sorted(self._relays, key=lambda event: (event.kind, -self._relays[event]))
        return ordered[:limit]

    def record_relayed(self, events: list[Event]) -> None:
        """Record that one message with `events` was sent."""
        for event in events:
            left = self._relays.get(event, 0) - 1
            if left > 0:
                self._relays[event] = left
            else:
                self._relays.pop(event, None)
