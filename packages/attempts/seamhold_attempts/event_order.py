"""Decides whether an event of a stream is the next one that its caller may get.

The ids of a stream's events rise.  One order is kept for a call, over all its attempts and over
what the caller had received before it took the stream up.
"""

from seamhold_messages.errors import EventOutOfOrder

from .event_format import Event

#: A number above 64 bits is not read as one.
DIGITS_MAX = 20


class EventOrder:
    """The order of one call's events.

    `resume_after` is the id of the last event that the caller received earlier, '' for none.
    Ids are numbers if they consist of digits.  Other ids have no order: they are only refused
    where a server that takes the stream up begins with the last one or with the first one.
    """

    def __init__(self, resume_after: str = ''):
        self._last = resume_after.encode('latin-1')
        self._number = _number_of(self._last)
        self._call_first = b''
        self._run_first = b''

    @property
    def position(self) -> str:
        """The id of the last event that was accepted, '' for none."""
        return self._last.decode('latin-1')

    @property
    def first(self) -> str:
        """The id of the first event since the stream began or was taken up, '' for none."""
        return self._run_first.decode('latin-1')

    def accept(self, event: Event) -> None:
        """Record the next event; raises EventOutOfOrder if the caller may not get it."""
        if not event.id:
            return
        number = _number_of(event.id)
        self._check_rises(event.id, number)
        if not self._run_first:
            self._run_first = event.id
            self._call_first = self._call_first or event.id
        self._last = event.id
        if number is not None:
            self._number = number

    def _check_rises(self, event_id: bytes, number: int | None) -> None:
        if number is not None and self._number is not None:
            repeated = number <= self._number
        else:
            repeated = not self._run_first and event_id in (self._last, self._call_first)
        if repeated:
            raise EventOutOfOrder(
                f'an id above {_shown(self._last)} is due, not {_shown(event_id)}'
            )

    def take_up(self) -> None:
        """Expect the rest of the stream from another server."""
        self._run_first = b''


def _number_of(event_id: bytes) -> int | None:
    return int(event_id) if event_id.isdigit() and len(event_id) <= DIGITS_MAX else None


def _shown(event_id: bytes) -> str:
    return event_id[: DIGITS_MAX + 1].decode('latin-1')
