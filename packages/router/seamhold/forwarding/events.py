"""Checks the events of a stream that passes through."""

from seamhold_attempts.event_format import EventReader
from seamhold_attempts.event_order import EventOrder
from seamhold_messages.errors import AnswerTooLarge, EventOutOfOrder, SeamholdError

#: An event larger than this is not passed on.
PENDING_MAX_BYTES = 1024 * 1024


class EventCheck:
    """Passes on only whole events, each only if it is the next one of the call."""

    def __init__(self, resume_after: str = ''):
        self.error: SeamholdError | None = None
        self.events = 0
        self._reader = EventReader()
        self._order = EventOrder(resume_after)

    @property
    def position(self) -> str:
        """The id of the last event that was passed on, '' for none."""
        return self._order.position

    @property
    def first(self) -> str:
        """The id of the first event since the stream began or was taken up, '' for none."""
        return self._order.first

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return all complete events that were not returned before."""
        ready = []
        for event in self._reader.feed(data):
            try:
                self._order.accept(event)
            except EventOutOfOrder as error:
                self.error = error
                break
            self.events += event.has_data
            ready.append(event.data)
        if self._reader.pending_bytes > PENDING_MAX_BYTES:
            self.error = AnswerTooLarge(f'an event exceeds {PENDING_MAX_BYTES} bytes')
        return b''.join(ready)

    def end(self) -> bool:
        """Return whether a stream that the server closed ended with a whole event."""
        return not self._reader.pending_bytes

    def restart(self) -> None:
        """Drop an incomplete event, before the stream continues from another server."""
        self._reader.reset()
        self.error = None
        self.events = 0
        self._order.take_up()
